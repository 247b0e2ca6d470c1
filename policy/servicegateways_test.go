package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// serviceGateways runs gateways of many services: events reach them late, and their messages may be lost.
type serviceGateways struct {
	now     time.Duration
	rnd     *rand.Rand
	gs      []*Gateway // nil: not running
	told    []int      // gateway count that each knows; 0: not known yet, it serves nothing
	servers []Server
	plans   []Plan
	way     []arrival
	lost    float64       // share of the messages
	takes   time.Duration // duration of an attempt
	code    func(s Send) Code
	ids     RequestID
	tries   map[RequestID]int
	sends   []sending
	recalls map[RequestID]time.Duration // when attempts were cancelled
}

type arrival struct {
	at time.Duration
	to *Gateway
	ev Event
}

type sending struct {
	at time.Duration
	by int
	Send
	again bool
}

const lostOnTheWay Code = -1 // returned by serviceGateways.code: the answer is lost

func newServiceGateways(n int, seed uint64, servers []Server, plans ...Plan) *serviceGateways {
	m := &serviceGateways{now: time.Second, rnd: rand.New(rand.NewPCG(seed, 1)), servers: servers, plans: plans, takes: 30 * ms,
		tries: map[RequestID]int{}, recalls: map[RequestID]time.Duration{}, code: func(Send) Code { return OK }}
	m.gs, m.told = make([]*Gateway, n), make([]int, n)
	for i := range n {
		m.start(i, 0)
	}
	m.pass(time.Second, nil)
	return m
}

// randomTimeWithin returns a random time at most d after now.
func (m *serviceGateways) upTo(d time.Duration) time.Duration {
	return m.now + time.Duration(m.rnd.Int64N(int64(d)+1))
}

// start replaces gateway i by a new one, which learns of the other gateways after up to maxDelay.
func (m *serviceGateways) start(i int, maxDelay time.Duration) {
	g, err := New(fieldSet(), m.rnd.Uint64())
	if err != nil {
		panic(err)
	}
	m.gs[i], m.told[i] = g, 0
	m.do(i, ServerList{Kind: CompleteList, Servers: m.servers})
	m.do(i, fieldTerms(m.plans...))
	m.tell(i, GatewaySet{Me: i, Gateways: len(m.gs)}, maxDelay)
}

// deliverLater delivers an event to gateway i after up to maxDelay.
func (m *serviceGateways) tell(i int, ev Event, maxDelay time.Duration) {
	m.way = append(m.way, arrival{m.upTo(maxDelay), m.gs[i], ev})
}

func (m *serviceGateways) do(i int, ev Event) {
	if p, ok := ev.(GatewaySet); ok {
		m.told[i] = p.Gateways
	}
	for _, a := range m.gs[i].Handle(m.now, ev, nil) {
		switch a := a.(type) {
		case SendPeer:
			if m.gs[a.To] != nil && m.rnd.Float64() >= m.lost {
				m.way = append(m.way, arrival{m.upTo(40 * ms), m.gs[a.To], PeerMessage{From: i, Data: a.Data}})
			}
		case Send:
			attempt := m.tries[a.ID]
			m.tries[a.ID]++
			m.sends = append(m.sends, sending{m.now, i, a, attempt > 0})
			code := m.code(a)
			if code == lostOnTheWay {
				continue
			}
			m.way = append(m.way, arrival{m.now + m.takes, m.gs[i], Outcome{ID: a.ID, Attempt: attempt, Server: a.Server,
				Code: code, Latency: m.takes, Final: code == OK}})
		case Cancel:
			m.recalls[a.ID] = m.now
		}
	}
}

func (m *serviceGateways) ask(i int, r Request) {
	if m.gs[i] == nil || m.told[i] == 0 {
		return
	}
	m.ids++
	r.ID, r.Units, r.Remaining, r.GatewayCount = m.ids, 1, 2*time.Second, m.told[i]
	m.do(i, r)
}

// pass advances the clock in steps of 10 ms.
func (m *serviceGateways) pass(d time.Duration, step func()) {
	for end := m.now + d; m.now < end; {
		m.now += 10 * ms
		due := m.way
		m.way = nil
		for _, a := range due {
			if i := slices.Index(m.gs, a.to); a.at > m.now {
				m.way = append(m.way, a)
			} else if i >= 0 { // otherwise the gateway has been replaced
				m.do(i, a.ev)
			}
		}
		for i, g := range m.gs {
			if g != nil && (int(m.now/ms/10)+i)%5 == 0 {
				m.do(i, Timer{Token: "tick"})
			}
		}
		if step != nil {
			step()
		}
	}
}

// maxSendsIn returns the largest number of sends of a kind in any span of this length.
func (m *serviceGateways) most(span time.Duration, kind func(s sending) bool) (n int) {
	var window []time.Duration
	for _, s := range m.sends {
		if !kind(s) {
			continue
		}
		window = append(window, s.at)
		for s.at-window[0] >= span {
			window = window[1:]
		}
		n = max(n, len(window))
	}
	return n
}
