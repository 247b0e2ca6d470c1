package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

func TestMergeKeepsNewestVersions(t *testing.T) {
	s := NewState()
	configuration := func(gen uint64, digest byte) *peerlink.Change {
		return &peerlink.Change{Configuration: &peerlink.Configuration{Gen: gen, Digest: [32]byte{digest}}}
	}
	zone := func(count uint64, by string) *peerlink.Change {
		return &peerlink.Change{Zones: []peerlink.Zone{{Zone: "z", Count: count, By: by}}}
	}
	servers := func(stamp int64) *peerlink.Change { return &peerlink.Change{Servers: &peerlink.Servers{Stamp: stamp}} }
	for i, step := range []struct {
		change *peerlink.Change
		want   Parts
	}{
		{configuration(2, 1), PartConfiguration}, {configuration(2, 1), 0}, {configuration(1, 9), 0}, {configuration(2, 2), PartConfiguration}, {configuration(2, 1), 0}, {configuration(3, 0), PartConfiguration},
		{zone(1, "b"), PartZones}, {zone(1, "a"), 0}, {zone(1, "c"), PartZones}, {zone(2, "a"), PartZones}, {zone(1, "z"), 0},
		{&peerlink.Change{Zones: []peerlink.Zone{{Zone: "y"}}}, PartZones},
		{servers(5), PartServers}, {servers(4), 0}, {servers(5), 0}, {servers(6), PartServers},
	} {
		assert.Equal(t, s.Merge([]string{"a", "b"}[i%2], step.change, 0), step.want, "step %d", i)
	}
	c := s.Change(PartsAll)
	assert.Equal(t, c.Configuration.Gen, uint64(3))
	assert.DeepEqual(t, c.Zones, []peerlink.Zone{{Zone: "y"}, {Zone: "z", Count: 2, By: "a"}})
	assert.Equal(t, c.Servers.Stamp, int64(6))
	assert.Assert(t, c.Census == nil && s.Change(PartConfiguration).Zones == nil)
}

func TestMergeCensus(t *testing.T) {
	s := NewState()
	x, y := peerlink.Hello{Name: "x", Life: 1, Inner: "x:1"}, peerlink.Hello{Name: "y", Life: 1, Inner: "y:1"}
	again := y
	again.Life = 2
	proxy := peerlink.Hello{Name: "g", Life: 1, Front: "g:80"}
	censusChange := func(shares int, ready bool, replicas ...peerlink.Hello) *peerlink.Change {
		return &peerlink.Change{Census: &peerlink.Census{Replicas: replicas, Proxies: []peerlink.Member{{Hello: proxy, Ready: ready, Alive: ready, Slot: 3}}, Shares: shares}}
	}
	assert.Equal(t, s.Merge("x:1", censusChange(2, true, x, y), 0), Parts(0)) // no upstream replica has been chosen
	s.SetUpstream("x:1")
	assert.Equal(t, s.Merge("x:1", censusChange(2, true, x, y), 0), PartCensus)
	assert.Equal(t, s.Merge("y:1", censusChange(1, false, again), 0), Parts(0))
	c := s.Change(PartCensus).Census
	assert.DeepEqual(t, c.Replicas, []peerlink.Hello{x, y})
	assert.DeepEqual(t, c.Proxies, []peerlink.Member{{Hello: proxy, Ready: true, Alive: true, Slot: 3}})
	assert.Equal(t, c.Shares, 2)
	assert.DeepEqual(t, s.ReplicaAddresses(), []string{"x:1", "y:1"})
	assert.Assert(t, s.IsListed("y:1") && !s.IsListed("x:1"))

	s.SetUpstream("y:1") // the previous census stays in force until the new upstream replica sends one
	assert.Assert(t, !s.ApplyCensus(time.Second))
	assert.Equal(t, s.Merge("x:1", censusChange(9, true, x), time.Second), Parts(0))
	assert.Assert(t, s.Change(PartCensus).Census.Proxies[0].Ready && !s.IsListed("y:1"))
	assert.Equal(t, s.Merge("y:1", censusChange(1, false, again), time.Second), PartCensus)
	c = s.Change(PartCensus).Census
	assert.Assert(t, !c.Proxies[0].Alive && !c.Proxies[0].Ready && c.Shares == 2 && len(c.Replicas) == 1)
	assert.Assert(t, !s.ApplyCensus(time.Second+previousSharesHold-1))
	assert.Assert(t, s.ApplyCensus(time.Second+previousSharesHold))
	assert.Equal(t, s.Change(PartCensus).Census.Shares, 1)
	assert.Equal(t, s.Merge("y:1", censusChange(3, false, again), time.Minute), PartCensus)
	assert.Equal(t, s.Change(PartCensus).Census.Shares, 3)
}

// A new upstream replica that has not seen a server draining does not make it ready again.
func TestDrainingStaysOverAChangeOfUpstream(t *testing.T) {
	s := NewState()
	list := func(stamp int64, drains bool) *peerlink.Change {
		return &peerlink.Change{Servers: &peerlink.Servers{Stamp: stamp, List: []peerlink.Server{{ID: "a"}, {ID: "b", Draining: drains}}}}
	}
	s.SetUpstream("x")
	s.Merge("x", list(5, true), 0)
	s.SetUpstream("y")
	assert.Equal(t, s.Merge("y", list(4, false), 0), Parts(0))
	later := list(6, false)
	for _, step := range []*peerlink.Change{later, list(7, false)} {
		assert.Equal(t, s.Merge("y", step, 0), PartServers)
		got := s.Change(PartServers).Servers.List
		assert.Assert(t, got[1].Draining && !got[0].Draining)
	}
	s.SetUpstream("z")
	assert.Equal(t, s.Merge("z", &peerlink.Change{Servers: &peerlink.Servers{Stamp: 3, List: []peerlink.Server{{ID: "a", Draining: true}}}}, 0), PartServers)
	got := s.Change(PartServers).Servers
	assert.Assert(t, got.Stamp > 7 && got.List[0].Draining && len(got.List) == 2)
	assert.Assert(t, !later.Servers.List[1].Draining) // the received list is not modified
}

func TestFreshness(t *testing.T) {
	var f Freshness
	assert.DeepEqual(t, f.Pong(3, 4), &peerlink.Pong{Sent: 3})
	const s = time.Second
	for i, step := range []struct {
		pong peerlink.Pong
		now  time.Duration
		age  time.Duration
	}{
		{peerlink.Pong{Sent: 10 * s, Age: s, Fresh: true}, 10 * s, s},
		{peerlink.Pong{Sent: 10 * s, Fresh: true}, 15 * s, 5 * s}, // the age of a delayed answer counts from its ping
		{peerlink.Pong{Sent: 14 * s, Age: 9 * s, Fresh: true}, 16 * s, 6 * s},
		{peerlink.Pong{Sent: 16 * s}, 16 * s, 6 * s},
		{peerlink.Pong{Sent: 99 * s, Fresh: true}, 16 * s, 6 * s},
		{peerlink.Pong{Sent: 16 * s, Age: -s, Fresh: true}, 16 * s, 6 * s},
	} {
		f.AddPong(&step.pong, step.now)
		assert.Equal(t, f.Pong(0, step.now).Age, step.age, "step %d", i)
	}
}
