package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What may run once goes to no server that is unfit for it but as one named trial, to doubted ones not while others
// have room, and the rest goes on wherever it may.
func TestTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := New(multiServiceSettings(), rapid.Uint64().Draw(t, "seed"))
		assert.NilError(t, err)
		now, id := time.Second, RequestID(0)
		tell := func(ev Event) (sent []Send) {
			now += ms
			for _, a := range g.Handle(now, ev, nil) {
				if s, ok := a.(Send); ok {
					sent = append(sent, s)
				}
			}
			return sent
		}
		list := makeServers(4, "desk")
		for i := range list {
			list[i].Slots = 2
		}
		tell(multiServiceConfig(Plan{Name: "p"}))
		tell(GatewaySet{Gateways: 1})
		tell(ServerList{Kind: CompleteList, Servers: list})
		trust := TrustUpdate{Servers: map[ServerID]Trust{list[0].ID: {Level: TrustLevel(rapid.IntRange(0, 3).Draw(t, "level")), Trial: rapid.Bool().Draw(t, "try")}, list[1].ID: {Level: Suspect}}}
		tell(trust)
		bad := trust.Servers[list[0].ID]
		trials := 0
		for range 40 {
			class := rapid.SampledFrom([]string{"safe", "once"}).Draw(t, "class")
			id++
			for _, s := range tell(Request{ID: id, Customer: "c", Plan: "p", Class: class, Units: 1, Remaining: 2 * time.Second, Service: "desk"}) {
				once := class == "once"
				switch {
				case s.Server == list[0].ID && (bad.Level == TrialsOnly || bad.Level == SafeOnly && once):
					trials++
					assert.Assert(t, bad.Trial && once == (bad.Level == SafeOnly))
				case s.Server == list[1].ID && once:
					t.Fatal("to a doubted one, though others have room")
				}
				tell(Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 30 * ms, Final: true})
			}
		}
		assert.Assert(t, trials <= 1, "%d trials", trials)
	})
}
