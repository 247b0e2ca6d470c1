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
		g, err := New(fieldSet(), rapid.Uint64().Draw(t, "seed"))
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
		list := fieldServers(4, "desk")
		for i := range list {
			list[i].Slots = 2
		}
		tell(fieldTerms(Plan{Name: "p"}))
		tell(Peers{Gateways: 1})
		tell(Members{Kind: Whole, Servers: list})
		trust := Trusts{Servers: map[ServerID]Trust{list[0].ID: {Level: Level(rapid.IntRange(0, 3).Draw(t, "level")), Try: rapid.Bool().Draw(t, "try")}, list[1].ID: {Level: Doubted}}}
		tell(trust)
		bad := trust.Servers[list[0].ID]
		trials := 0
		for range 40 {
			class := rapid.SampledFrom([]string{"safe", "once"}).Draw(t, "class")
			id++
			for _, s := range tell(Request{ID: id, Customer: "c", Plan: "p", Class: class, Units: 1, Remaining: 2 * time.Second, Service: "desk"}) {
				once := class == "once"
				switch {
				case s.Server == list[0].ID && (bad.Level == NoTrust || bad.Level == NoRecord && once):
					trials++
					assert.Assert(t, bad.Try && once == (bad.Level == NoRecord))
				case s.Server == list[1].ID && once:
					t.Fatal("to a doubted one, though others have room")
				}
				tell(Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 30 * ms, Over: true})
			}
		}
		assert.Assert(t, trials <= 1, "%d trials", trials)
	})
}
