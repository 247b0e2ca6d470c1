package node

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/grove"
	"pepperfall.example/pepperfall/internal/plot"
	"pepperfall.example/pepperfall/internal/sim"
	"pepperfall.example/pepperfall/policy"
)

// Three edge nodes, of which one is told to end: its units are another's that knows what there is and stays, once, in
// a lossy and doubling network; where nobody can take them they are lost, and the end comes in time all the same.
func TestUnitsAreHandedOver(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaving []int // beside the first
		taken   bool
	}{{"to one that stays", []int{2}, true}, {"all leave", []int{1, 2}, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := sim.New(1)
				net.Set(sim.Faults{Least: time.Millisecond, Most: 30 * time.Millisecond})
				var all [3]*Estate
				var at []netip.AddrPort
				var stops [3]context.CancelFunc
				var ended [3]chan error
				took, of := -1, -1
				body := strings.Replace(estatePlot, `"api_keys":["k1"]`, `"api_keys":["k1"],"rate_per_s":0.001,"burst":12`, 1)
				p, err := plot.Parse([]byte(body))
				assert.NilError(t, err)
				for i := range all {
					e, err := NewEstate(EstateConfig{Listen: "127.0.0.1:0", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)).String(),
						Zone: "a", Region: "r", Seed: uint64(i + 1), Sockets: 100, World: net, Regions: map[string]string{"a": "r"},
						Grace: 6 * time.Second, QuotaExcess: 0.1, QuotaSlack: 0, QuotaWindow: 5 * time.Second, RetrySlack: 10,
						Given: func(units, n int) {
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
					all[i].in(func(l *loop) { n = l.gateway.Ceiling("t") })
					return n
				}
				for i, e := range all {
					e.Plot(p)
					e.Servers(1, []grove.Listed{{ID: "i", Service: "x", Address: "127.0.0.1:9", Zone: "a", Slots: 9}})
					e.Peers(i, 3, 0, at, []string{"r", "r", "r"})
				}
				for i, e := range all { // two hold what one may, one has used its units up
					e.in(func(l *loop) {
						l.decide(policy.Given{Customer: policy.KeyOf("t"), Units: []uint16{4, 0, 4}[i]})
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
