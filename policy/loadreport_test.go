package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each of 60 gateways sends a request every 100 ms on average, so it gets a load report of each of 40 servers every
// 4 s only: too seldom to know their load. Although the servers are 90% busy, few requests wait long for a slot.
func TestRareLoadReports(t *testing.T) {
	const gateways, servers, slots, serviceTime = 60, 40, 3, 180 * ms
	type scheduledEvent struct {
		at time.Duration
		do func()
	}
	var events []scheduledEvent
	now, random := time.Second, rand.New(rand.NewPCG(3, 1))
	schedule := func(d time.Duration, do func()) {
		at := now + d
		i, _ := slices.BinarySearchFunc(events, at, func(x scheduledEvent, at time.Duration) int { return cmp.Compare(x.at, at) })
		events = slices.Insert(events, i, scheduledEvent{at, do})
	}
	list := makeServers(servers, "s")
	for i := range list {
		list[i].Slots = slots
	}
	busy, queue := map[ServerID]int{}, map[ServerID][]func(){}
	requests, late, id := 0, 0, RequestID(0)
	var handle func(g *Gateway, ev Event)
	send := func(g *Gateway, s Send) {
		sent := now
		var run func()
		run = func() {
			busy[s.Server]++
			schedule(time.Duration(random.ExpFloat64()*float64(serviceTime)), func() {
				if busy[s.Server]--; len(queue[s.Server]) > 0 {
					next := queue[s.Server][0]
					queue[s.Server] = queue[s.Server][1:]
					next()
				}
				load := []float64{float64(busy[s.Server]), float64(len(queue[s.Server])), slots}
				schedule(ms, func() { handle(g, Outcome{ID: s.ID, Server: s.Server, Latency: now - sent, Load: load}) })
			})
			if now-sent > 2*serviceTime {
				late++
			}
		}
		schedule(ms, func() {
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
				schedule(a.After, func() { handle(g, Timer{Token: a.Token}) })
			}
		}
	}
	regions := make([]string, gateways)
	for i := range regions {
		regions[i] = "r"
	}
	for i := range gateways {
		g, err := New(multiServiceSettings(), uint64(i))
		assert.NilError(t, err)
		terms := multiServiceConfig()
		terms.Classes[0].LatencyTarget, terms.Classes[0].Deadline = 5*time.Second, 20*time.Second // so long that no request is held
		for _, ev := range []Event{terms, GatewaySet{Me: i, Gateways: gateways, CeilingParts: gateways, Regions: regions}, ServerList{Kind: CompleteList, Servers: list}} {
			handle(g, ev)
		}
		var sendRequest func()
		sendRequest = func() {
			id, requests = id+1, requests+1
			handle(g, Request{ID: id, Customer: "t", Plan: "t", Class: "safe", Service: "s", Units: 1, Remaining: 20 * time.Second, MaxAttempts: 1})
			schedule(time.Duration(random.ExpFloat64()*float64(100*ms)), sendRequest)
		}
		schedule(time.Duration(random.ExpFloat64()*float64(100*ms)), sendRequest)
	}
	for len(events) > 0 && now < 13*time.Second {
		next := events[0]
		events = events[1:]
		now = next.at
		next.do()
	}
	assert.Assert(t, requests > 5000)
	assert.Assert(t, late < requests/12, "%d of %d waited for longer than two mean service times", late, requests)
}
