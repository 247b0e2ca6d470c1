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

// disconnects are the ways in which a side leaves.
var disconnects = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) { reset(c, nil); c.Close() },
	"half":  func(c net.Conn) { _ = c.(interface{ CloseWrite() error }).CloseWrite() },
	"stall": func(net.Conn) {},
}

// cutPoints are where in a message it breaks off: bytes from its beginning, from its end where they are below 0.
var cutPoints = map[string]int{"window": 5000, "window's end": bodyWindow, "beyond": bodyWindow + 4000, "middle": large / 2, "last": -1}

func cutAt(b []byte, place int) []byte {
	if place < 0 {
		place += len(b)
	}
	return b[:place]
}

// Wherever a client leaves or stops in its body, no server sees a whole request, and a client that is still there is
// promised so.
func TestInterruptedUpload(t *testing.T) {
	framings(t, func(t *testing.T, chunked bool) {
		play(t, false, func(r *rig) {
			h := r.open(nil, nil)
			for place, n := range cutPoints {
				for how, end := range disconnects {
					c := r.dial()
					_, err := c.Write(cutAt(upload("/act/", content(large), chunked), n))
					assert.NilError(t, err)
					end(c)
					if how == "stall" {
						a := r.answer(c)
						assert.Assert(t, a.StatusCode == 408 && a.Close, "%s: %d", place, a.StatusCode)
						assert.Assert(t, a.took < 800*time.Millisecond, "%s: %v", place, a.took)
					}
					time.Sleep(2 * time.Second)
					c.Close()
					assert.Equal(t, h.complete(), 0, "%s, %s", place, how)
				}
			}
			assert.Equal(t, r.ask("/act/", "").StatusCode, 200)
			open, _ := r.Estate.node.server.connectionActivity()
			assert.Assert(t, open <= 1 && r.Estate.node.upstream.open <= 1)
		})
	})
}

// Where a server leaves in the middle of a body it has not run, and its client is told so at once; once all of it was
// written it may have run. Nothing of it is sent a second time.
func TestServerDisconnectsDuringUpload(t *testing.T) {
	framings(t, func(t *testing.T, chunked bool) {
		for _, path := range []string{"/act/", "/get/"} {
			for name, status := range map[string]int{"window": 503, "middle": 503, "last": 502} {
				for _, how := range []string{"close", "reset"} {
					t.Run(name+how+path, func(t *testing.T) {
						play(t, false, func(r *rig) {
							h := r.open(func(c net.Conn, q *http.Request) bool {
								n := cutPoints[name]
								if n < 0 {
									n += large
								}
								_, err := io.CopyN(io.Discard, q.Body, int64(n))
								assert.Check(t, err)
								time.Sleep(100 * time.Millisecond)
								disconnects[how](c)
								return false
							}, nil)
							c := r.send(upload(path, content(large), chunked))
							defer c.Close()
							a := r.answer(c)
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

// Wherever a server's answer breaks off, its client gets one answer that is not complete, or another that is.
func TestInterruptedAnswer(t *testing.T) {
	framings(t, func(t *testing.T, chunked bool) {
		for place, n := range cutPoints {
			for how, end := range disconnects {
				t.Run(place+how, func(t *testing.T) {
					play(t, false, func(r *rig) {
						stays := make(chan bool)
						defer close(stays)
						h := r.open(nil, func(c net.Conn, q *http.Request) bool {
							_, err := c.Write(cutAt(told(q, "200 OK", content(large), chunked), n))
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
						c := r.send([]byte(wired(path, patient)))
						defer c.Close()
						began := time.Now()
						b, err := io.ReadAll(io.LimitReader(c, 2*large))
						took := time.Since(began)
						text := string(b[:min(len(b), 12)])
						assert.Equal(t, bytes.Count(b, []byte("HTTP/1.1 ")), 1)
						assert.Equal(t, len(h.seen()), 1)
						r.in(func(l *loop) { assert.Equal(t, len(l.calls), 0) })
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
						assert.Assert(t, len(b) < len(cutAt(told(h.seen()[0].Request, "200 OK", content(large), chunked), n))+200)
						_, err = read(bytes.NewReader(b))
						assert.Equal(t, err, io.ErrUnexpectedEOF)
						assert.Equal(t, how == "stall", took > 1500*time.Millisecond, "%v", took)
					})
				})
			}
		}
	})
}

// What is turned away is so at once, though its body has not come whole: what follows is passed over.
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
		conns     [2]int // to the server: with a length, in chunks
		before    func(c net.Conn, q *http.Request) bool
	}{
		"no route":      {path: "/none/", n: large, status: 404},
		"no such key":   {path: "/act/", key: "nobody's", n: large, status: 401},
		"too long":      {path: "/act/", n: mostBytes + 1, status: 413, conns: [2]int{0, 1}},
		"not too long":  {path: "/act/", n: mostBytes, status: 200, conns: [2]int{1, 1}},
		"by the server": {path: "/act/", n: large, status: 503, conns: [2]int{1, 1}, before: over},
	} {
		t.Run(name, func(t *testing.T) {
			framings(t, func(t *testing.T, chunked bool) {
				play(t, false, func(r *rig) {
					h := r.open(c.before, nil)
					b := upload(c.path, content(c.n), chunked)
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
					a := r.answer(conn)
					assert.Equal(t, a.StatusCode, c.status, a.body)
					assert.Assert(t, a.took < time.Second, "%v", a.took)
					assert.Equal(t, a.Close, c.status != 200)
					time.Sleep(time.Second)
					synctest.Wait()
					assert.NilError(t, <-all)
					assert.Equal(t, h.complete() == 1, c.status == 200)
					assert.Equal(t, len(h.conns), c.conns[map[bool]int{true: 1}[chunked]])
				})
			})
		})
	}
}

// What a server says ahead of its answer, while the body is on its way, changes nothing; an early answer ends it.
func TestEarlyServerResponses(t *testing.T) {
	framings(t, func(t *testing.T, chunked bool) {
		for name, c := range map[string]struct {
			text   string
			status int
		}{
			"goes on":      {"HTTP/1.1 100 Continue\r\n\r\n", 200},
			"another's":    {otherBody, 200},
			"long other":   {strings.Replace(otherBody, "5\r\n\r\nwrong", "50000\r\n\r\n"+strings.Repeat("x", 50000), 1), 200},
			"both":         {"HTTP/1.1 100 Continue\r\n\r\n" + otherBody + "HTTP/1.1 103 Hints\r\n\r\n", 200},
			"its own":      {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes", 200},
			"too long":     {"HTTP/1.1 413 Long\r\nAttempt-Id: ID\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n", 413},
			"failed":       {"HTTP/1.1 500 No\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n", 500},
			"no answer":    {"no", 503},
			"not run":      {"HTTP/1.1 429 No\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503},
			"another's id": {strings.Repeat(otherBody, 9), 503},
		} {
			t.Run(name, func(t *testing.T) {
				play(t, false, func(r *rig) {
					r.open(func(s net.Conn, q *http.Request) bool {
						_, err := io.WriteString(s, strings.ReplaceAll(c.text, "ID", q.Header.Get(fieldID)))
						time.Sleep(300 * time.Millisecond)
						return err == nil
					}, nil)
					conn := r.send(upload("/act/", content(large), chunked))
					defer conn.Close()
					a := r.answer(conn)
					assert.Equal(t, a.StatusCode, c.status, a.body)
				})
			})
		}
	})
}

// A long request goes to another server as long as nothing of it was let go; a long answer is asked for again as long
// as none of it was passed on.
func TestLargeBodiesRetryElsewhere(t *testing.T) {
	framings(t, func(t *testing.T, chunked bool) {
		for name, spoilt := range map[string]func(q *http.Request) []byte{
			"cut":    func(q *http.Request) []byte { return told(q, "200 OK", content(large), chunked)[:bodyWindow] },
			"failed": func(q *http.Request) []byte { return told(q, "500 No", content(large), chunked) },
		} {
			play(t, false, func(r *rig) {
				times := 0
				h := r.open(nil, func(c net.Conn, q *http.Request) bool {
					if times++; times == 1 {
						_, _ = c.Write(spoilt(q))
						return false
					}
					_, err := c.Write(told(q, "200 OK", content(large), chunked))
					return err == nil
				})
				c := r.send([]byte(wired("/get/", patient)))
				defer c.Close()
				n, err := read(c)
				assert.Assert(t, err == nil && n == large, "%s: %d bytes, %v", name, n, err)
				assert.Equal(t, h.complete(), 2)
				r.list[0].Address = "127.0.0.1:1" // nobody is there
				r.Servers(2, r.list)
				for i := range 9 {
					c := r.send(upload("/act/", content(large), chunked))
					n, err := read(c)
					assert.Assert(t, err == nil && n == large, "%s: %d bytes, %v", name, n, err)
					assert.Equal(t, len(h.seen()[2+i].body), large)
					c.Close()
				}
			})
		}
	})
}

// A long failure of a repeatable request waits for what another server says, and is its client's, unchanged, where that
// is nothing better.
func TestLargeFailuresAreReturned(t *testing.T) {
	long := func(c net.Conn, q *http.Request) bool {
		_, err := c.Write(told(q, "500 No", content(large), true))
		return err == nil
	}
	short := func(c net.Conn, q *http.Request) bool {
		_, err := c.Write(told(q, "502 No", content(3), false))
		return err == nil
	}
	none := func(net.Conn, *http.Request) bool { return false }
	full := func(c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get(fieldID))
		return true
	}
	for name, c := range map[string]struct {
		acts     []func(net.Conn, *http.Request) bool // by attempts
		from, to string                               // in the client's request
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
			play(t, false, func(r *rig) {
				times := 0
				h := r.open(nil, func(s net.Conn, q *http.Request) bool { times++; return c.acts[times-1](s, q) })
				conn := r.send([]byte(strings.Replace(wired("/get/", patient), c.from, c.to, 1)))
				defer conn.Close()
				a, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprintf("%d %d %s", a.StatusCode, len(body), a.Header.Get(fieldSeal)), c.want)
				assert.Assert(t, len(body) < large || bytes.Equal(body, content(large)))
				assert.Equal(t, h.complete(), len(c.acts))
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
				r.in(func(l *loop) { // nothing is held any more
					l.up.mu.Lock()
					defer l.up.mu.Unlock()
					idle := 0
					for _, s := range l.up.servers {
						idle += len(s.idle)
					}
					assert.Equal(t, l.up.open, idle)
				})
			})
		})
	}
}

// An answer that is on its way to its client is not called back for another, however long it takes, and its server is
// not held for one that is silent; nor is a request that can't be sent again.
func TestLargeTransfersAreNotCancelled(t *testing.T) {
	play(t, false, func(r *rig) {
		slow := func(c net.Conn, b []byte) bool {
			for ; len(b) > 0; b = b[min(len(b), 25_000):] {
				if _, err := c.Write(b[:min(len(b), 25_000)]); err != nil {
					return false
				}
				time.Sleep(110 * time.Millisecond)
			}
			return true
		}
		h := r.open(nil, func(c net.Conn, q *http.Request) bool {
			b := told(q, "200 OK", content(3), true)
			if q.URL.RawQuery == "long" {
				return slow(c, told(q, "200 OK", content(large), false))
			}
			_, err := c.Write(b)
			return err == nil
		})
		for range 40 {
			assert.Equal(t, r.ask("/get/", "").StatusCode, 200)
		}
		c := r.send([]byte(wired("/get/?long", patient)))
		defer c.Close()
		n, err := read(c)
		assert.Assert(t, err == nil && n == large, "%d bytes, %v", n, err)
		c = r.dial()
		defer c.Close()
		go slow(c, bytes.Replace(upload("/get/", content(large), false), []byte("GET"), []byte("PUT"), 1))
		n, err = read(c)
		assert.Assert(t, err == nil && n == 3, "%d bytes, %v", n, err)
		assert.Equal(t, h.complete(), 42)
	})
}
