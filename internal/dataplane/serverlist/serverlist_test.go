package serverlist

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const s = time.Second

func newServerList(t *testing.T, list ...Entry) *ServerList {
	t.Helper()
	g := &ServerList{Settings: Settings{Excess: 1.5, Slack: 5, Lag: 2 * s, Regions: map[string]string{"a": "r", "b": "q"}}}
	assert.Assert(t, !g.HasList() && g.Update(10*s, 5, list) && g.HasList())
	g.SetServices(map[string]Service{"x": {Warmup: 3 * s, ColdRate: 20}})
	return g
}

func (g *ServerList) server(id string) (l Server) {
	for _, v := range g.Servers() {
		if v.ID == id {
			return v
		}
	}
	return l
}

var ready, draining = Entry{ID: "i", Service: "x", Zone: "a"}, Entry{ID: "i", Service: "x", Zone: "a", Draining: true}

func TestDrainingServerStaysClosed(t *testing.T) {
	g := newServerList(t, draining, Entry{ID: "j", Zone: "b"})
	g.Update(11*s, 6, []Entry{ready}) // an older list that was requested later
	assert.Assert(t, g.server("i").Closed)
	g.Update(12*s, 7, nil)
	g.Update(40*s, 8, []Entry{ready, {ID: "j", Zone: "b"}}) // from a replica that was disconnected for a while
	assert.Assert(t, g.server("i").Closed)
	assert.Assert(t, !g.server("j").Closed && g.server("j").Region == "q")
}

func TestOlderListsAreRefused(t *testing.T) {
	g := newServerList(t, draining)
	for _, stamp := range []int64{5, 4} {
		assert.Assert(t, !g.Update(11*s, stamp, []Entry{{ID: "k"}}))
	}
	assert.Equal(t, len(g.Servers()), 1)
	assert.Equal(t, g.server("i").ID, "i")
}

// When a zone is no longer drained, its servers may have just restarted, and the list reports that late.
func TestUndrainedZoneIsCold(t *testing.T) {
	g := newServerList(t, ready, Entry{ID: "j", Service: "x", Zone: "b"})
	g.SetDrainedZones(11*s, map[string]bool{"a": true})
	assert.Assert(t, g.server("i").Closed && g.server("i").ColdUntil == 0 && !g.server("j").Closed)
	g.SetDrainedZones(12*s, map[string]bool{"a": true, "b": false})
	assert.Assert(t, g.server("i").Closed)
	g.SetDrainedZones(20*s, map[string]bool{"a": false})
	want := Server{Entry: ready, Region: "r", ColdUntil: 25 * s, MaxColdRate: 35}
	assert.DeepEqual(t, g.server("i"), want)
	assert.Equal(t, g.server("j").ColdUntil, time.Duration(0))
	g.Update(21*s, 6, []Entry{ready}) // the list does not say that the server is cold
	assert.DeepEqual(t, g.server("i"), want)
}

// A server is cold until the latest reported end: a list may hold older information than the one before.
func TestColdUntilTheLatestReportedEnd(t *testing.T) {
	cold := ready
	cold.WarmLeft = 4 * s
	g := newServerList(t, cold)
	for stamp, reported := range []struct{ left, until time.Duration }{{1 * s, 14 * s}, {0, 14 * s}, {5 * s, 16 * s}} {
		cold.WarmLeft = reported.left
		g.Update(11*s, int64(6+stamp), []Entry{cold})
		assert.Equal(t, g.server("i").ColdUntil, reported.until)
	}
}
