package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// serviceGateways runs gateways of many services: events reach them late, and their messages may be lost.
type serviceGateways struct {
	now           time.Duration
	rng           *rand.Rand
	gateways      []*Gateway // nil: not running
	knownGateways []int      // gateway count that each knows; 0: not known yet, it serves nothing
	servers       []Server
	plans         []Plan
	inTransit     []delayedEvent
	lossRate      float64       // share of the messages
	attemptTime   time.Duration // duration of an attempt
	code          func(s Send) Code
	lastID        RequestID
	attempts      map[RequestID]int
	sends         []sentAttempt
	cancelledAt   map[RequestID]time.Duration // when attempts were cancelled
}

type delayedEvent struct {
	at time.Duration
	to *Gateway
	ev Event
}

type sentAttempt struct {
	at time.Duration
	by int
	Send
	isRetry bool
}

const answerLost Code = -1 // returned by serviceGateways.code: the answer is lost

func newServiceGateways(n int, seed uint64, servers []Server, plans ...Plan) *serviceGateways {
	m := &serviceGateways{now: time.Second, rng: rand.New(rand.NewPCG(seed, 1)), servers: servers,
		plans: plans, attemptTime: 30 * ms,
		attempts: map[RequestID]int{}, cancelledAt: map[RequestID]time.Duration{}, code: func(Send) Code { return OK }}
	m.gateways, m.knownGateways = make([]*Gateway, n), make([]int, n)
	for i := range n {
		m.start(i, 0)
	}
	m.pass(time.Second, nil)
	return m
}

// randomTimeWithin returns a random time at most d after now.
func (m *serviceGateways) randomTimeWithin(d time.Duration) time.Duration {
	return m.now + time.Duration(m.rng.Int64N(int64(d)+1))
}

// start replaces gateway i by a new one, which learns of the other gateways after up to maxDelay.
func (m *serviceGateways) start(i int, maxDelay time.Duration) {
	g, err := New(multiServiceSettings(), m.rng.Uint64())
	if err != nil {
		panic(err)
	}
	m.gateways[i], m.knownGateways[i] = g, 0
	m.do(i, ServerList{Kind: CompleteList, Servers: m.servers})
	m.do(i, multiServiceConfig(m.plans...))
	m.deliverLater(i, GatewaySet{Me: i, Gateways: len(m.gateways)}, maxDelay)
}

// deliverLater delivers an event to gateway i after up to maxDelay.
func (m *serviceGateways) deliverLater(i int, ev Event, maxDelay time.Duration) {
	m.inTransit = append(m.inTransit, delayedEvent{m.randomTimeWithin(maxDelay), m.gateways[i], ev})
}

func (m *serviceGateways) do(i int, ev Event) {
	if p, ok := ev.(GatewaySet); ok {
		m.knownGateways[i] = p.Gateways
	}
	for _, a := range m.gateways[i].Handle(m.now, ev, nil) {
		switch a := a.(type) {
		case SendPeer:
			if m.gateways[a.To] != nil && m.rng.Float64() >= m.lossRate {
				m.inTransit = append(m.inTransit, delayedEvent{m.randomTimeWithin(40 * ms), m.gateways[a.To],
					PeerMessage{From: i, Data: a.Data}})
			}
		case Send:
			attempt := m.attempts[a.ID]
			m.attempts[a.ID]++
			m.sends = append(m.sends, sentAttempt{m.now, i, a, attempt > 0})
			code := m.code(a)
			if code == answerLost {
				continue
			}
			m.inTransit = append(m.inTransit, delayedEvent{m.now + m.attemptTime, m.gateways[i],
				Outcome{ID: a.ID, Attempt: attempt, Server: a.Server,
					Code: code, Latency: m.attemptTime, ClientAnswered: code == OK}})
		case Cancel:
			m.cancelledAt[a.ID] = m.now
		}
	}
}

func (m *serviceGateways) ask(i int, r Request) {
	if m.gateways[i] == nil || m.knownGateways[i] == 0 {
		return
	}
	m.lastID++
	r.ID, r.Units, r.Remaining, r.GatewayCount = m.lastID, 1, 2*time.Second, m.knownGateways[i]
	m.do(i, r)
}

// pass advances the clock in steps of 10 ms.
func (m *serviceGateways) pass(d time.Duration, step func()) {
	for end := m.now + d; m.now < end; {
		m.now += 10 * ms
		due := m.inTransit
		m.inTransit = nil
		for _, a := range due {
			if i := slices.Index(m.gateways, a.to); a.at > m.now {
				m.inTransit = append(m.inTransit, a)
			} else if i >= 0 { // otherwise the gateway has been replaced
				m.do(i, a.ev)
			}
		}
		for i, g := range m.gateways {
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
func (m *serviceGateways) maxSendsIn(span time.Duration, kind func(s sentAttempt) bool) (n int) {
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
