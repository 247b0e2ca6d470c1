package policy

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// manualGateway runs one gateway of many services with its timers; the test decides when attempts end.
type manualGateway struct {
	t          *testing.T
	g          *Gateway
	now        time.Duration
	sent       []Send
	refused    map[RequestID]time.Duration
	attempts   map[RequestID]int
	timers     []Timer
	timerTimes []time.Duration
	lastID     RequestID
}

func newManualGateway(t *testing.T, servers ...Server) *manualGateway {
	g, err := New(multiServiceSettings(), 7)
	assert.NilError(t, err)
	b := &manualGateway{t: t, g: g, now: time.Second, refused: map[RequestID]time.Duration{}, attempts: map[RequestID]int{}}
	b.do(ServerList{Kind: CompleteList, Servers: servers})
	b.do(multiServiceConfig(Plan{Name: "t"}, Plan{Name: "u"}))
	b.do(GatewaySet{Gateways: 1})
	for range 40 { // the gateway learns a mean latency of 100 ms
		id := b.ask(Request{Service: servers[0].Service})
		b.pass(100 * ms)
		b.end(id)
	}
	b.sent = nil
	return b
}

func (b *manualGateway) do(ev Event) {
	for _, a := range b.g.Handle(b.now, ev, nil) {
		switch a := a.(type) {
		case Send:
			b.sent = append(b.sent, a)
		case Refuse:
			b.refused[a.ID] = b.now
		case SetTimer:
			b.timers, b.timerTimes = append(b.timers, Timer{a.Token}), append(b.timerTimes, b.now+a.After)
		}
	}
}

func (b *manualGateway) ask(r Request) RequestID {
	b.lastID++
	r.ID, r.Units, r.GatewayCount, r.Remaining = b.lastID, 1, 1, 2*time.Second
	if r.Customer == "" {
		r.Customer = "t"
	}
	r.Plan, r.Class = r.Customer, "safe"
	b.do(r)
	return r.ID
}

func (b *manualGateway) end(id RequestID) {
	for _, s := range b.sent {
		if s.ID == id {
			b.do(Outcome{ID: id, Attempt: b.attempts[id], Server: s.Server, Latency: 100 * ms, ClientAnswered: true})
			return
		}
	}
	b.t.Fatalf("%d was not sent", id)
}

func (b *manualGateway) pass(d time.Duration) {
	for end := b.now + d; ; {
		i := -1
		for k, at := range b.timerTimes {
			if at <= end && (i < 0 || at < b.timerTimes[i]) {
				i = k
			}
		}
		if i < 0 {
			b.now = end
			return
		}
		ev := b.timers[i]
		b.now = max(b.now, b.timerTimes[i])
		b.timers, b.timerTimes = slices.Delete(b.timers, i, i+1), slices.Delete(b.timerTimes, i, i+1)
		b.do(ev)
	}
}

// fill sends requests until a service's servers take no more, and returns those in flight.
func (b *manualGateway) fill(service string, homes ...string) (inFlight []RequestID) {
	for {
		n := len(b.sent)
		id := b.ask(Request{Customer: "u", Service: service, Regions: homes})
		if len(b.sent) == n {
			b.do(ClientGone{ID: id})
			return inFlight
		}
		inFlight = append(inFlight, id)
	}
}

func (b *manualGateway) sentIDs() (ids []RequestID) {
	for _, s := range b.sent {
		ids = append(ids, s.ID)
	}
	return ids
}

func oneSlotServer(id ServerID, service, region string) Server {
	return Server{ID: id, Zone: "a", Region: region, Service: service, Slots: 1}
}

// Requests that wait for the servers of one service do not delay those for another service, whichever the tenant.
func TestWaitingForOneServiceDoesNotBlockAnother(t *testing.T) {
	b := newManualGateway(t, oneSlotServer(1, "s", "r"), oneSlotServer(2, "t", "r"))
	b.fill("s")
	waiting := b.ask(Request{Service: "s"})
	n := len(b.sent)
	other := b.ask(Request{Service: "t"})
	assert.DeepEqual(t, b.sentIDs()[n:], []RequestID{other})
	inFlight := b.fill("t")
	held := b.ask(Request{Service: "t"})
	n = len(b.sent)
	b.end(other)
	for _, id := range inFlight {
		b.end(id)
	}
	assert.DeepEqual(t, b.sentIDs()[n:], []RequestID{held}) // though the tenant's first request still waits
	_, refused := b.refused[waiting]
	assert.Assert(t, !refused)
}

// Requests that wait for the same servers are sorted by three keys: first whether they can still meet their latency
// target, then the operator's priority, then arrival. A new request does not overtake them.
func TestWaitingOrderTargetPriorityArrival(t *testing.T) {
	b := newManualGateway(t, oneSlotServer(1, "s", "r"))
	inFlight := b.fill("s")
	late := b.ask(Request{Service: "s", WaitedBefore: 480 * ms})
	third := b.ask(Request{Service: "s", Priority: 2})
	first := b.ask(Request{Service: "s", Priority: 0, Customer: "u"})
	second := b.ask(Request{Service: "s", Priority: 1})
	n := len(b.sent)
	for _, id := range inFlight {
		b.end(id)
	}
	fresh := b.ask(Request{Service: "s", Priority: 2})
	for _, id := range []RequestID{first, second, third, fresh} {
		b.end(id)
	}
	assert.DeepEqual(t, b.sentIDs()[n:], []RequestID{first, second, third, fresh, late})
}

// A request that will miss its target on any server is sent after the others, and only to a server at which none of the
// others would have to wait because of it.
func TestLateRequestYields(t *testing.T) {
	b := newManualGateway(t, oneSlotServer(1, "s", "r"))
	inFlight := b.fill("s")
	b.end(inFlight[0])
	n := len(b.sent)
	late := b.ask(Request{Service: "s", WaitedBefore: 450 * ms})
	fresh := b.ask(Request{Service: "s"})
	assert.DeepEqual(t, b.sentIDs()[n:], []RequestID{fresh})
	second := b.ask(Request{Service: "s"})
	b.do(ServerList{Kind: CompleteList, Servers: []Server{oneSlotServer(1, "s", "r"), oneSlotServer(2, "s", "r")}})
	b.pass(50 * ms)
	assert.DeepEqual(t, b.sentIDs()[n:], []RequestID{fresh, second, late})
}

// A request that finds no server is refused within a quarter of its latency target after its client sent it, whenever the
// next tick is.
func TestHoldTimeIsBounded(t *testing.T) {
	for i := range 10 {
		b := newManualGateway(t, oneSlotServer(1, "s", "r"))
		b.pass(time.Duration(7*i) * ms)
		b.fill("s")
		id, arrivedAt := b.ask(Request{Service: "s"}), b.now
		b.pass(130 * ms)
		refusedAt, refused := b.refused[id]
		assert.Assert(t, refused && refusedAt-arrivedAt <= 110*ms && refusedAt-arrivedAt >= 100*ms,
			"after %s", refusedAt-arrivedAt)
	}
}

// If requests bound to a region find no room, requests that may go to any region are sent to the others.
func TestRegionBoundRequestsComeFirst(t *testing.T) {
	distant := oneSlotServer(2, "s", "q")
	distant.ExtraLatency = 250 * ms
	b := newManualGateway(t, oneSlotServer(1, "s", "r"), distant)
	sentNear := func() (n int) {
		for _, s := range b.sent {
			if s.Server == 1 {
				n++
			}
		}
		return n
	}
	b.ask(Request{Service: "s"})
	b.ask(Request{Service: "s"})
	assert.Equal(t, sentNear(), 2) // the wait there costs less than the network latency to the other region
	inFlight := b.fill("s", "r")
	b.end(inFlight[0])
	n := sentNear()
	b.ask(Request{Service: "s"})
	assert.Equal(t, sentNear(), n)
}
