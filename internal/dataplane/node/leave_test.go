package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/sim"
	"pepperfall.example/pepperfall/internal/testbed/standin"
	"pepperfall.example/pepperfall/policy"
)

// One of three proxies stops. Its quota units go to exactly one configured proxy that stays, over a network that loses and
// duplicates datagrams. If no proxy can take the units, they are lost, and the stop still ends in time.
func TestUnitsAreHandedOver(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaving []int // in addition to the first
		taken   bool
	}{{"to one that stays", []int{2}, true}, {"all leave", []int{1, 2}, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := sim.New(1)
				net.Set(sim.Faults{Least: time.Millisecond, Most: 30 * time.Millisecond})
				var all [3]*ManagedNode
				var at []netip.AddrPort
				var stops [3]context.CancelFunc
				var ended [3]chan error
				took, of := -1, -1
				body := strings.Replace(managedConfiguration, `"api_keys":["k1"]`, `"api_keys":["k1"],"rate_per_s":0.001,"burst":12`, 1)
				p, err := routeconfig.Parse([]byte(body))
				assert.NilError(t, err)
				for i := range all {
					e, err := NewManagedNode(ManagedConfig{Listen: "127.0.0.1:0", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)).String(),
						Zone: "a", Region: "r", Seed: uint64(i + 1), Sockets: 100, World: net, Regions: map[string]string{"a": "r"},
						Grace: 6 * time.Second, QuotaExcess: 0.1, QuotaSlack: 0, QuotaWindow: 5 * time.Second, RetrySlack: 10,
						OnUnitsTransferred: func(units, n int) {
							if i == 0 {
								took, of = units, n
							}
						}})
					assert.NilError(t, err)
					all[i] = e
					at = append(at, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)))
					ctx, stop := context.WithCancel(t.Context())
					stops[i], ended[i] = stop, make(chan error, 1)
					defer stop()
					go func() { ended[i] <- e.Run(ctx) }()
				}
				units := func(i int) (n float64) {
					all[i].runOnLoop(func(l *loop) { n = l.gateway.Ceiling("t") })
					return n
				}
				for i, e := range all {
					e.SetConfiguration(p)
					e.SetServers(1, []serverlist.Entry{{ID: "i", Service: "x", Address: "127.0.0.1:9", Zone: "a", Slots: 9}})
					e.SetPeers(i, 3, 0, at, []string{"r", "r", "r"})
				}
				for i, e := range all { // two proxies hold the units of one, and one has used its units up
					e.runOnLoop(func(l *loop) {
						l.decide(policy.UnitsReceived{Customer: policy.KeyOf("t"), Units: []uint16{4, 0, 4}[i]})
					})
				}
				time.Sleep(time.Second)
				before := units(0) + units(1) + units(2)
				for _, i := range c.leaving {
					stops[i]()
				}
				stops[0]()
				began := time.Now()
				assert.NilError(t, <-ended[0])
				assert.Assert(t, time.Since(began) < 4*time.Second)
				assert.Assert(t, of > 0 && (took == of) == c.taken, "%d of %d taken", took, of)
				time.Sleep(time.Second)
				for _, i := range c.leaving {
					assert.NilError(t, <-ended[i])
				}
				if c.taken {
					assert.Assert(t, units(1) > 3 && units(1) <= before, "%v of %v", units(1), before)
					stops[1]()
					assert.NilError(t, <-ended[1])
				}
				synctest.Wait()
			})
		})
	}
}

// slowReadNetwork is a network on whose listeners a read returns its data only after a delay, as on a machine without a free
// core.
type slowReadNetwork struct {
	*sim.Net
	conns sync.Map // by client address
}

type slowReadListener struct {
	net.Listener
	network *slowReadNetwork
}

type slowReadConn struct {
	net.Conn
	bytesRead atomic.Int64
}

func (d *slowReadNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	l, err := d.Net.Listen(ctx, network, address)
	return slowReadListener{l, d}, err
}

func (l slowReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &slowReadConn{Conn: c}
	l.network.conns.Store(c.RemoteAddr().String(), x)
	return x, nil
}

func (c *slowReadConn) Peek() world.Peeked { return world.Peek(c.Conn) }

func (c *slowReadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.bytesRead.Add(int64(n)); n > 0 {
		time.Sleep(30 * time.Millisecond)
	}
	return n, err
}

// Every request that a stopping proxy has read is answered, at any stage of the stop and on old and new connections. Requests
// that it has not read may be sent again by their clients.
func TestRequestsReadWhileLeavingAreAnswered(t *testing.T) {
	d := &slowReadNetwork{}
	runManagedIn(t, false, func(n *sim.Net) world.World { d.Net = n; return d }, func(r *managedFixture) {
		r.behaviors = []serverBehavior{servedAnswer}
		r.configure()
		var delays []time.Duration // since the stop
		for _, from := range []time.Duration{0, 1800, 2900, 3000, 3100, 3200, 3700} {
			for i := range time.Duration(10) {
				delays = append(delays, from*time.Millisecond+i*10*time.Millisecond)
			}
		}
		var jobs sync.WaitGroup
		var answers, unread atomic.Int64
		stop := time.Now().Add(5 * time.Second)
		for i, at := range delays {
			text, kept := requestText("/act/", ""), i%3 > 0
			ask := func(c net.Conn, before int) {
				_, err := io.WriteString(c, text)
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(bufio.NewReader(c), nil)
				}
				x, met := d.conns.Load(c.LocalAddr().String())
				switch {
				case err == nil && resp.StatusCode == 200:
					answers.Add(1)
				case met && x.(*slowReadConn).bytesRead.Load() > int64(before):
					t.Errorf("request read %v after the stop was not answered: %v", at, err)
				default:
					unread.Add(1)
				}
			}
			var old net.Conn
			first := requestText("/act/", "")
			if kept {
				old = r.dial()
				_, err := io.WriteString(old, first)
				assert.NilError(t, err)
				assert.Assert(t, !r.readAnswer(old).Close)
			}
			jobs.Go(func() {
				time.Sleep(time.Until(stop.Add(at)))
				if kept {
					defer old.Close()
					ask(old, len(first))
					return
				}
				c, err := r.net.Dial(r.t.Context(), "tcp", r.Addr().String())
				if err != nil {
					return // the listener is closed
				}
				defer c.Close()
				ask(c, 0)
			})
		}
		time.Sleep(time.Until(stop))
		r.stop()
		r.ended <- <-r.ended
		assert.Assert(t, time.Since(stop) < 6*time.Second)
		jobs.Wait()
		t.Logf("%d requests answered, %d connections closed before they were read", answers.Load(), unread.Load())
		assert.Assert(t, answers.Load() > 0 && unread.Load() > 0)
	})
}

// A server that would work beyond the grace period gets a shorter deadline and answers before that, so that it is not interrupted.
func TestLeaveInterruptsNoServer(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
			time.Sleep(min(9*time.Second, time.Duration(ms)*time.Millisecond))
			return respond("504 Late", sealField, "late")(c, q)
		}}
		r.configure()
		p, err := routeconfig.Parse([]byte(strings.ReplaceAll(strings.Replace(managedConfiguration, `"r1"`, `"r2"`, 1), `"timeout_ms":2000`, `"timeout_ms":9000`)))
		assert.NilError(t, err)
		r.SetConfiguration(p)
		r.stop()
		time.Sleep(2950 * time.Millisecond)
		a := r.request("/act/", "Deadline-Ms: 9000\r\n")
		assert.Assert(t, a.StatusCode == 504 && a.Header.Get("Server-Seal") == "s", "%d %v", a.StatusCode, a.Header)
		r.ended <- <-r.ended
	})
}

// Requests that are still open near the end of the grace period are answered then, so that the stop cuts off none.
func TestLastAnswersAreSentWithinGrace(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{standin.Deaf}
		r.configure()
		p, err := routeconfig.Parse([]byte(strings.ReplaceAll(strings.Replace(managedConfiguration, `"r1"`, `"r2"`, 1), `"timeout_ms":2000`, `"timeout_ms":9000`)))
		assert.NilError(t, err)
		r.SetConfiguration(p)
		r.stop()
		stop := time.Now()
		time.Sleep(2900 * time.Millisecond)
		a := r.request("/act/", "Deadline-Ms: 9000\r\n")
		assert.Assert(t, a.StatusCode == 504 && a.Close, "%d", a.StatusCode)
		r.ended <- <-r.ended
		assert.Assert(t, time.Since(stop) < 6*time.Second)
	})
}
