package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// useOnly sends all requests to one server.
func (r *managedFixture) useOnly(address string) {
	r.applyConfiguration()
	r.SetServers(1, []serverlist.Entry{{ID: "i-0", Service: "x", Address: address, Zone: "a", Slots: 9}})
	r.SetPeers(0, 1, 0, []netip.AddrPort{{}}, nil)
}

// An answer that is cut off at any byte never counts as complete, and a request that may have run is not sent again.
func TestAnswerCutAtEachByte(t *testing.T) {
	for _, frame := range []string{"Content-Length: 3\r\n\r\nyes", "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n2\r\nes\r\n0\r\n\r\n"} {
		runManaged(t, false, func(r *managedFixture) {
			whole := "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: s\r\n" + frame
			r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
				var cut int
				_, _ = fmt.Sscan(q.Header.Get("X-Cut"), &cut)
				text := strings.ReplaceAll(whole, "ID", q.Header.Get("Attempt-Id"))
				_, _ = io.WriteString(c, text[:len(text)-cut])
				return false
			}}
			r.configure()
			for cut := range len(whole) {
				before := len(r.receivedRequests())
				a := r.request("/act/a", fmt.Sprintf("X-Cut: %d\r\n", cut))
				assert.Equal(t, a.StatusCode == 200, cut == 0, "%d bytes cut off: %d %q", cut, a.StatusCode, a.body)
				assert.Assert(t, cut == 0 || a.StatusCode == 502 && a.Header.Get(fieldSeal) == "", "%d bytes cut off: %d", cut, a.StatusCode)
				assert.Equal(t, len(r.receivedRequests())-before, 1)
			}
		})
	}
}

// A reused connection breaks when the server has read k bytes of the next request. A request that may run only once then fails
// with 502, not with 503. It goes to another connection only if no more than the probe's bytes were written.
func TestReusedConnectionBreaks(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for k, whole := 0, 1; k <= whole; k++ {
			runManaged(t, false, func(r *managedFixture) {
				var runs atomic.Int64
				ln, err := r.net.Listen(t.Context(), "tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer ln.Close()
				serve := func(c net.Conn) {
					defer c.Close()
					buf, n := make([]byte, 4096), 0
					for !strings.HasSuffix(string(buf[:n]), "\r\n\r\nbody") {
						m, err := c.Read(buf[n:])
						if err != nil {
							return
						}
						n += m
					}
					whole = n
					runs.Add(1)
					_, id, _ := strings.Cut(string(buf[:n]), "Attempt-Id: ")
					id, _, _ = strings.Cut(id, "\r\n")
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes", id)
					time.Sleep(20 * time.Millisecond) // time for the answer to be read
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					if m, _ := io.ReadFull(c, buf[:k]); m > 0 && m == whole {
						runs.Add(1)
					}
					if reset {
						_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
					}
				}
				go func() {
					for {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						go serve(c)
					}
				}()
				r.useOnly(ln.Addr().String())
				first := r.request("/act/a", "")
				assert.Equal(t, first.StatusCode, 200, "%d: %s", k, first.body)
				time.Sleep(50 * time.Millisecond) // the connection is idle or has been closed
				a := r.request("/act/a", "")
				if k <= len("POST") {
					assert.Assert(t, a.StatusCode == 200 && runs.Load() == 2, "%d: %d", k, a.StatusCode)
				} else {
					assert.Assert(t, a.StatusCode == 502 && runs.Load() <= 2, "%d: %d after %d runs", k, a.StatusCode, runs.Load())
					assert.Equal(t, runs.Load() == 2, k == whole)
				}
			})
		}
	}
}

// A request whose last bytes were never written has not run. Its client gets a 503, and its next attempt runs once.
func TestPartlyWrittenRequest(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		ln, err := r.net.Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer ln.Close()
		var begun atomic.Int64
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 1000))
				begun.Add(1)
				reset(c, nil)
				c.Close()
			}
		}()
		r.behaviors = []serverBehavior{servedAnswer}
		r.applyConfiguration()
		list := []serverlist.Entry{{ID: "i-9", Service: "x", Address: ln.Addr().String(), Zone: "a", Slots: 9}, r.servers[0]}
		r.SetServers(1, list)
		r.SetPeers(0, 1, 0, []netip.AddrPort{{}}, nil)
		body := strings.Repeat("x", 1<<20)
		for served := 0; served < 10; {
			c := r.dial()
			text := strings.Replace(requestText("/act/a", ""), "Content-Length: 4\r\n\r\nbody", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), 1)
			_, err := io.WriteString(c, text+body)
			assert.NilError(t, err)
			switch status := r.readAnswer(c).StatusCode; status {
			case 200:
				served++
			default:
				assert.Equal(t, status, 503)
			}
			assert.Equal(t, len(r.receivedRequests()), served)
			c.Close()
		}
		assert.Assert(t, begun.Load() > 0)
		assert.Equal(t, len(r.receivedRequests()), 10)
	})
}

// Each attempt names its intended server, also when the server moves to another address. A connection that was in use during the
// move is not reused.
func TestServerMovesDuringAttempt(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		var at []string
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			at = append(at, c.LocalAddr().String()+" "+q.Header.Get(fieldTarget))
			time.Sleep(300 * time.Millisecond)
			return servedAnswer(c, q)
		}}
		r.useOnly(r.servers[0].Address)
		done := make(chan int)
		go func() { done <- r.request("/act/a", "").StatusCode }()
		time.Sleep(100 * time.Millisecond)
		moved := serverlist.Entry{ID: "i-0", Service: "x", Address: r.servers[1].Address, Zone: "a", Slots: 9}
		r.SetServers(2, []serverlist.Entry{moved, {ID: "i-7", Service: "y", Address: r.servers[0].Address, Zone: "a", Slots: 9}})
		assert.Equal(t, <-done, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.request("/act/a", "").StatusCode, http.StatusOK)
		assert.DeepEqual(t, at, []string{r.servers[0].Address + " i-0", r.servers[1].Address + " i-0"})
	})
}

// Each proxy's retry budget is its share of the whole budget, by the number of shares.
func TestRetryBudgetByShares(t *testing.T) {
	retries := func(shares int) (n int) {
		runManaged(t, false, func(r *managedFixture) {
			r.behaviors = []serverBehavior{notRunAnswer}
			r.applyConfiguration()
			r.SetServers(1, r.servers)
			r.SetPeers(0, shares, 0, make([]netip.AddrPort, shares), nil)
			for range 5 {
				assert.Equal(t, r.request("/act/a", "").StatusCode, 503)
				time.Sleep(20 * time.Second) // until the servers get requests again
			}
			n = len(r.receivedRequests()) - 5
		})
		return n
	}
	one, some, none := retries(1), retries(70), retries(700) // of 700 proxies only a few have any retries, and this is none of them
	assert.Assert(t, one == 10 && some > 0 && some <= 5 && none == 0, "%d, %d, %d", one, some, none)
}

func TestHeadLimitFromConfiguration(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{servedAnswer}
		r.configure()
		long := "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n"
		assert.Equal(t, r.request("/act/", long).StatusCode, 431)
		p, err := routeconfig.Parse([]byte(strings.Replace(managedConfiguration, `"gen":"r1",`, `"gen":"r2","limits":{"max_header_bytes":32768},`, 1)))
		assert.NilError(t, err)
		r.SetConfiguration(p)
		assert.Equal(t, r.request("/act/", long).StatusCode, 200)
		assert.Equal(t, r.request("/act/", long+long).StatusCode, 431)
	})
}

func TestSplitWeights(t *testing.T) {
	e := &managedState{rnd: rand.New(rand.NewPCG(1, 2))}
	n := map[string]int{}
	for range 2000 {
		n[e.pickService(&routeconfig.Route{Split: []routeconfig.Share{{Backend: "x", Weight: 70}, {Backend: "y"}, {Backend: "z", Weight: 30}}})]++
	}
	assert.Assert(t, n["x"] > 1300 && n["x"] < 1500 && n["y"] == 0 && n["x"]+n["z"] == 2000, "%v", n)
}
