package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Requests that must not run twice are sent to a server that is not trusted with them only as the one trial that its
// trust entry allows, and to suspect servers only while the others are full.
func TestTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := New(multiServiceSettings(), rapid.Uint64().Draw(t, "seed"))
		assert.NilError(t, err)
		now, id := time.Second, RequestID(0)
		handle := func(ev Event) (sent []Send) {
			now += ms
			for _, a := range g.Handle(now, ev, nil) {
				if s, ok := a.(Send); ok {
					sent = append(sent, s)
				}
			}
			return sent
		}
		servers := makeServers(4, "desk")
		for i := range servers {
			servers[i].Slots = 2
		}
		handle(multiServiceConfig(Plan{Name: "p"}))
		handle(GatewaySet{Gateways: 1})
		handle(ServerList{Kind: CompleteList, Servers: servers})
		trust := TrustUpdate{Servers: map[ServerID]Trust{
			servers[0].ID: {Level: TrustLevel(rapid.IntRange(0, 3).Draw(t, "level")), Trial: rapid.Bool().Draw(t, "try")},
			servers[1].ID: {Level: Suspect},
		}}
		handle(trust)
		tested := trust.Servers[servers[0].ID]
		trials := 0
		for range 40 {
			class := rapid.SampledFrom([]string{"safe", "once"}).Draw(t, "class")
			id++
			for _, s := range handle(Request{ID: id, Customer: "c", Plan: "p", Class: class, Units: 1,
				Remaining: 2 * time.Second, Service: "desk"}) {
				mustNotRepeat := class == "once"
				switch {
				case s.Server == servers[0].ID && (tested.Level == TrialsOnly || tested.Level == SafeOnly && mustNotRepeat):
					trials++
					assert.Assert(t, tested.Trial && mustNotRepeat == (tested.Level == SafeOnly))
				case s.Server == servers[1].ID && mustNotRepeat:
					t.Fatal("sent to a suspect server though others have room")
				}
				handle(Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 30 * ms, ClientAnswered: true})
			}
		}
		assert.Assert(t, trials <= 1, "%d trials", trials)
	})
}
