package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// disconnects are the ways in which a client or server ends a connection or stops sending.
var disconnects = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) { reset(c, nil); c.Close() },
	"half":  func(c net.Conn) { _ = c.(interface{ CloseWrite() error }).CloseWrite() },
	"stall": func(net.Conn) {},
}

// cutPoints are the places where a message is interrupted: bytes from its start, or from its end if negative.
var cutPoints = map[string]int{"window": 5000, "window's end": bodyWindowBytes, "beyond": bodyWindowBytes + 4000, "middle": largeBodyBytes / 2, "last": -1}

// cutAt returns the bytes before the place.
func cutAt(b []byte, place int) []byte {
	if place < 0 {
		place += len(b)
	}
	return b[:place]
}

// If a client disconnects or stalls anywhere in a request body, no server sees a complete request, and a client that is still
// connected gets 408, which promises that the request has not run.
func TestInterruptedUpload(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		runManaged(t, false, func(r *managedFixture) {
			h := r.startScriptedServers(nil, nil)
			for place, n := range cutPoints {
				for how, end := range disconnects {
					c := r.dial()
					_, err := c.Write(cutAt(uploadRequest("/act/", content(largeBodyBytes), chunked), n))
					assert.NilError(t, err)
					end(c)
					if how == "stall" {
						a := r.readAnswer(c)
						assert.Assert(t, a.StatusCode == 408 && a.Close, "%s: %d", place, a.StatusCode)
						assert.Assert(t, a.took < 800*time.Millisecond, "%s: %v", place, a.took)
					}
					time.Sleep(2 * time.Second)
					c.Close()
					assert.Equal(t, h.countComplete(), 0, "%s, %s", place, how)
				}
			}
			assert.Equal(t, r.request("/act/", "").StatusCode, 200)
			open, _ := r.ManagedNode.node.server.connectionActivity()
			assert.Assert(t, open <= 1 && r.ManagedNode.node.upstream.openConns <= 1)
		})
	})
}

// If a server disconnects in the middle of a request body, the request has not run and its client gets 503 at once. If the
// whole body was written, the request may have run and the client gets 502. It is not sent again in either case.
func TestServerDisconnectsDuringUpload(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		for _, path := range []string{"/act/", "/get/"} {
			for name, status := range map[string]int{"window": 503, "middle": 503, "last": 502} {
				for _, how := range []string{"close", "reset"} {
					t.Run(name+how+path, func(t *testing.T) {
						runManaged(t, false, func(r *managedFixture) {
							h := r.startScriptedServers(func(c net.Conn, q *http.Request) bool {
								n := cutPoints[name]
								if n < 0 {
									n += largeBodyBytes
								}
								_, err := io.CopyN(io.Discard, q.Body, int64(n))
								assert.Check(t, err)
								time.Sleep(100 * time.Millisecond)
								disconnects[how](c)
								return false
							}, nil)
							c := r.sendInBackground(uploadRequest(path, content(largeBodyBytes), chunked))
							defer c.Close()
							a := r.readAnswer(c)
							assert.Equal(t, a.StatusCode, status, a.body)
							assert.Equal(t, a.StatusCode == 503, a.Close && a.Header.Get("Retry-After") != "")
							assert.Assert(t, a.took < time.Second, "%v", a.took)
							assert.Equal(t, len(h.conns), 1)
						})
					})
				}
			}
		}
	})
}

// If a server's answer is interrupted, the client gets exactly one answer: an incomplete one if the proxy has begun to stream
// it, otherwise a complete 502 or 504.
func TestInterruptedAnswer(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		for place, n := range cutPoints {
			for how, end := range disconnects {
				t.Run(place+how, func(t *testing.T) {
					runManaged(t, false, func(r *managedFixture) {
						stays := make(chan bool)
						defer close(stays)
						h := r.startScriptedServers(nil, func(c net.Conn, q *http.Request) bool {
							_, err := c.Write(cutAt(serverAnswer(q, "200 OK", content(largeBodyBytes), chunked), n))
							assert.Check(t, err)
							if how == "reset" {
								time.Sleep(20 * time.Millisecond)
							}
							if end(c); how == "half" || how == "stall" {
								<-stays
							}
							return false
						})
						path, within := "/get/", n == cutPoints["window"] || n == cutPoints["window's end"]
						if within {
							path = "/act/"
						}
						c := r.sendInBackground([]byte(requestText(path, longDeadlineField)))
						defer c.Close()
						began := time.Now()
						b, err := io.ReadAll(io.LimitReader(c, 2*largeBodyBytes))
						took := time.Since(began)
						text := string(b[:min(len(b), 12)])
						assert.Equal(t, bytes.Count(b, []byte("HTTP/1.1 ")), 1)
						assert.Equal(t, len(h.received()), 1)
						r.runOnLoop(func(l *loop) { assert.Equal(t, len(l.requests), 0) })
						if within {
							want := "HTTP/1.1 502"
							if how == "stall" {
								want = "HTTP/1.1 504"
							}
							assert.Equal(t, text, want)
							return
						}
						assert.NilError(t, err)
						assert.Equal(t, text, "HTTP/1.1 200")
						assert.Assert(t, len(b) < len(cutAt(serverAnswer(h.received()[0].Request, "200 OK", content(largeBodyBytes), chunked), n))+200)
						_, err = readAnswerBody(bytes.NewReader(b))
						assert.Equal(t, err, io.ErrUnexpectedEOF)
						assert.Equal(t, how == "stall", took > 1500*time.Millisecond, "%v", took)
					})
				})
			}
		}
	})
}

// A request is rejected at once even if its body has not arrived completely; the rest of the body is discarded.
func TestLargeBodiesAreRejected(t *testing.T) {
	over := func(c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get(fieldID))
		time.Sleep(time.Second)
		return false
	}
	for name, c := range map[string]struct {
		path, key string
		n         int
		status    int
		conns     [2]int // expected connections to servers: body with length, chunked body
		before    func(c net.Conn, q *http.Request) bool
	}{
		"no route":      {path: "/none/", n: largeBodyBytes, status: 404},
		"no such key":   {path: "/act/", key: "nobody's", n: largeBodyBytes, status: 401},
		"too long":      {path: "/act/", n: configuredMaxBodyBytes + 1, status: 413, conns: [2]int{0, 1}},
		"not too long":  {path: "/act/", n: configuredMaxBodyBytes, status: 200, conns: [2]int{1, 1}},
		"by the server": {path: "/act/", n: largeBodyBytes, status: 503, conns: [2]int{1, 1}, before: over},
	} {
		t.Run(name, func(t *testing.T) {
			runForEachFraming(t, func(t *testing.T, chunked bool) {
				runManaged(t, false, func(r *managedFixture) {
					h := r.startScriptedServers(c.before, nil)
					b := uploadRequest(c.path, content(c.n), chunked)
					if c.key != "" {
						b = bytes.Replace(b, []byte("X-Api-Key: k1"), []byte("X-Api-Key: "+c.key), 1)
					}
					conn := r.dial()
					defer conn.Close()
					all := make(chan error, 1)
					go func() {
						_, err := conn.Write(b)
						all <- err
					}()
					a := r.readAnswer(conn)
					assert.Equal(t, a.StatusCode, c.status, a.body)
					assert.Assert(t, a.took < time.Second, "%v", a.took)
					assert.Equal(t, a.Close, c.status != 200)
					time.Sleep(time.Second)
					synctest.Wait()
					assert.NilError(t, <-all)
					assert.Equal(t, h.countComplete() == 1, c.status == 200)
					assert.Equal(t, len(h.conns), c.conns[map[bool]int{true: 1}[chunked]])
				})
			})
		})
	}
}

// Interim answers and answers to other requests that a server sends during the upload have no effect. An early final answer
// ends the upload.
func TestEarlyServerResponses(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		for name, c := range map[string]struct {
			text   string
			status int
		}{
			"goes on":      {"HTTP/1.1 100 Continue\r\n\r\n", 200},
			"another's":    {foreignAnswer, 200},
			"long other":   {strings.Replace(foreignAnswer, "5\r\n\r\nwrong", "50000\r\n\r\n"+strings.Repeat("x", 50000), 1), 200},
			"both":         {"HTTP/1.1 100 Continue\r\n\r\n" + foreignAnswer + "HTTP/1.1 103 Hints\r\n\r\n", 200},
			"its own":      {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes", 200},
			"too long":     {"HTTP/1.1 413 Long\r\nAttempt-Id: ID\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n", 413},
			"failed":       {"HTTP/1.1 500 No\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n", 500},
			"no answer":    {"no", 503},
			"not run":      {"HTTP/1.1 429 No\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503},
			"another's id": {strings.Repeat(foreignAnswer, 9), 503},
		} {
			t.Run(name, func(t *testing.T) {
				runManaged(t, false, func(r *managedFixture) {
					r.startScriptedServers(func(s net.Conn, q *http.Request) bool {
						_, err := io.WriteString(s, strings.ReplaceAll(c.text, "ID", q.Header.Get(fieldID)))
						time.Sleep(300 * time.Millisecond)
						return err == nil
					}, nil)
					conn := r.sendInBackground(uploadRequest("/act/", content(largeBodyBytes), chunked))
					defer conn.Close()
					a := r.readAnswer(conn)
					assert.Equal(t, a.StatusCode, c.status, a.body)
				})
			})
		}
	})
}

// A request with a large body is sent to another server if none of the streamed body has been dropped from memory. A large
// answer is requested again if none of it has been forwarded.
func TestLargeBodiesRetryElsewhere(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		for name, firstAnswer := range map[string]func(q *http.Request) []byte{
			"cut": func(q *http.Request) []byte {
				return serverAnswer(q, "200 OK", content(largeBodyBytes), chunked)[:bodyWindowBytes]
			},
			"failed": func(q *http.Request) []byte { return serverAnswer(q, "500 No", content(largeBodyBytes), chunked) },
		} {
			runManaged(t, false, func(r *managedFixture) {
				times := 0
				h := r.startScriptedServers(nil, func(c net.Conn, q *http.Request) bool {
					if times++; times == 1 {
						_, _ = c.Write(firstAnswer(q))
						return false
					}
					_, err := c.Write(serverAnswer(q, "200 OK", content(largeBodyBytes), chunked))
					return err == nil
				})
				c := r.sendInBackground([]byte(requestText("/get/", longDeadlineField)))
				defer c.Close()
				n, err := readAnswerBody(c)
				assert.Assert(t, err == nil && n == largeBodyBytes, "%s: %d bytes, %v", name, n, err)
				assert.Equal(t, h.countComplete(), 2)
				r.servers[0].Address = "127.0.0.1:1" // nothing listens there
				r.SetServers(2, r.servers)
				for i := range 9 {
					c := r.sendInBackground(uploadRequest("/act/", content(largeBodyBytes), chunked))
					n, err := readAnswerBody(c)
					assert.Assert(t, err == nil && n == largeBodyBytes, "%s: %d bytes, %v", name, n, err)
					assert.Equal(t, len(h.received()[2+i].body), largeBodyBytes)
					c.Close()
				}
			})
		}
	})
}

// A large error answer to an idempotent request is held back while another server is tried. If no better answer comes, the
// client gets it unchanged.
func TestLargeFailuresAreReturned(t *testing.T) {
	long := func(c net.Conn, q *http.Request) bool {
		_, err := c.Write(serverAnswer(q, "500 No", content(largeBodyBytes), true))
		return err == nil
	}
	short := func(c net.Conn, q *http.Request) bool {
		_, err := c.Write(serverAnswer(q, "502 No", content(3), false))
		return err == nil
	}
	none := func(net.Conn, *http.Request) bool { return false }
	full := func(c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get(fieldID))
		return true
	}
	for name, c := range map[string]struct {
		acts     []func(net.Conn, *http.Request) bool // one per attempt
		from, to string                               // replacement in the client's request
		want     string
	}{
		"always":         {acts: []func(net.Conn, *http.Request) bool{long, long, long}, want: "500 300001 s"},
		"then refused":   {acts: []func(net.Conn, *http.Request) bool{long, full, full}, want: "500 300001 s"},
		"then broken":    {acts: []func(net.Conn, *http.Request) bool{full, long, none}, want: "500 300001 s"},
		"then another":   {acts: []func(net.Conn, *http.Request) bool{long, none, short}, want: "502 3 s"},
		"end not known":  {acts: []func(net.Conn, *http.Request) bool{long, long, long}, from: "HTTP/1.1", to: "HTTP/1.0", want: "502 6 "},
		"not repeatable": {acts: []func(net.Conn, *http.Request) bool{long}, from: "/get/", to: "/act/", want: "500 300001 s"},
	} {
		t.Run(name, func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				times := 0
				h := r.startScriptedServers(nil, func(s net.Conn, q *http.Request) bool { times++; return c.acts[times-1](s, q) })
				conn := r.sendInBackground([]byte(strings.Replace(requestText("/get/", longDeadlineField), c.from, c.to, 1)))
				defer conn.Close()
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprintf("%d %d %s", a.StatusCode, len(body), a.Header.Get(fieldSeal)), c.want)
				assert.Assert(t, len(body) < largeBodyBytes || bytes.Equal(body, content(largeBodyBytes)))
				assert.Equal(t, h.countComplete(), len(c.acts))
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
				r.runOnLoop(func(l *loop) { // no connection is held for a large answer any more
					l.upstream.mu.Lock()
					defer l.upstream.mu.Unlock()
					idle := 0
					for _, s := range l.upstream.servers {
						idle += len(s.idle)
					}
					assert.Equal(t, l.upstream.openConns, idle)
				})
			})
		})
	}
}

// An answer that is being streamed to its client is not cancelled in favour of another attempt, however long it takes, and its
// server does not count as silent. The same holds for an upload that can't be sent again.
func TestLargeTransfersAreNotCancelled(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		slow := func(c net.Conn, b []byte) bool {
			for ; len(b) > 0; b = b[min(len(b), 25_000):] {
				if _, err := c.Write(b[:min(len(b), 25_000)]); err != nil {
					return false
				}
				time.Sleep(110 * time.Millisecond)
			}
			return true
		}
		h := r.startScriptedServers(nil, func(c net.Conn, q *http.Request) bool {
			b := serverAnswer(q, "200 OK", content(3), true)
			if q.URL.RawQuery == "long" {
				return slow(c, serverAnswer(q, "200 OK", content(largeBodyBytes), false))
			}
			_, err := c.Write(b)
			return err == nil
		})
		for range 40 {
			assert.Equal(t, r.request("/get/", "").StatusCode, 200)
		}
		c := r.sendInBackground([]byte(requestText("/get/?long", longDeadlineField)))
		defer c.Close()
		n, err := readAnswerBody(c)
		assert.Assert(t, err == nil && n == largeBodyBytes, "%d bytes, %v", n, err)
		c = r.dial()
		defer c.Close()
		go slow(c, bytes.Replace(uploadRequest("/get/", content(largeBodyBytes), false), []byte("GET"), []byte("PUT"), 1))
		n, err = readAnswerBody(c)
		assert.Assert(t, err == nil && n == 3, "%d bytes, %v", n, err)
		assert.Equal(t, h.countComplete(), 42)
	})
}
