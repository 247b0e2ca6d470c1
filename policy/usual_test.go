package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each of 60 gateways sends a request every 100 ms on an average, so it hears of each of 40 servers every 4 s: too
// seldom to know their load. They are busy for nine tenths, and hardly a request waits for a slot for long.
func TestRareLoadReports(t *testing.T) {
	const gates, servers, slots, work = 60, 40, 3, 180 * ms
	type due struct {
		at time.Duration
		do func()
	}
	var way []due
	now, rnd := time.Second, rand.New(rand.NewPCG(3, 1))
	later := func(d time.Duration, do func()) {
		at := now + d
		i, _ := slices.BinarySearchFunc(way, at, func(x due, at time.Duration) int { return cmp.Compare(x.at, at) })
		way = slices.Insert(way, i, due{at, do})
	}
	list := fieldServers(servers, "s")
	for i := range list {
		list[i].Slots = slots
	}
	busy, queue := map[ServerID]int{}, map[ServerID][]func(){}
	asked, late, id := 0, 0, RequestID(0)
	var handle func(g *Gateway, ev Event)
	send := func(g *Gateway, s Send) {
		sent := now
		var run func()
		run = func() {
			busy[s.Server]++
			later(time.Duration(rnd.ExpFloat64()*float64(work)), func() {
				if busy[s.Server]--; len(queue[s.Server]) > 0 {
					next := queue[s.Server][0]
					queue[s.Server] = queue[s.Server][1:]
					next()
				}
				load := []float64{float64(busy[s.Server]), float64(len(queue[s.Server])), slots}
				later(ms, func() { handle(g, Outcome{ID: s.ID, Server: s.Server, Latency: now - sent, Load: load}) })
			})
			if now-sent > 2*work {
				late++
			}
		}
		later(ms, func() {
			if busy[s.Server] < slots {
				run()
			} else {
				queue[s.Server] = append(queue[s.Server], run)
			}
		})
	}
	handle = func(g *Gateway, ev Event) {
		for _, a := range g.Handle(now, ev, nil) {
			switch a := a.(type) {
			case Send:
				send(g, a)
			case SetTimer:
				later(a.After, func() { handle(g, Timer{Token: a.Token}) })
			}
		}
	}
	regions := make([]string, gates)
	for i := range regions {
		regions[i] = "r"
	}
	for i := range gates {
		g, err := New(fieldSet(), uint64(i))
		assert.NilError(t, err)
		terms := fieldTerms()
		terms.Classes[0].LatencyTarget, terms.Classes[0].Deadline = 5*time.Second, 20*time.Second // all is sent at once
		for _, ev := range []Event{terms, GatewaySet{Me: i, Gateways: gates, CeilingParts: gates, Regions: regions}, ServerList{Kind: CompleteList, Servers: list}} {
			handle(g, ev)
		}
		var ask func()
		ask = func() {
			id, asked = id+1, asked+1
			handle(g, Request{ID: id, Customer: "t", Plan: "t", Class: "safe", Service: "s", Units: 1, Remaining: 20 * time.Second, MaxAttempts: 1})
			later(time.Duration(rnd.ExpFloat64()*float64(100*ms)), ask)
		}
		later(time.Duration(rnd.ExpFloat64()*float64(100*ms)), ask)
	}
	for len(way) > 0 && now < 13*time.Second {
		next := way[0]
		way = way[1:]
		now = next.at
		next.do()
	}
	assert.Assert(t, asked > 5000)
	assert.Assert(t, late < asked/12, "%d of %d waited for more than two times their work", late, asked)
}
