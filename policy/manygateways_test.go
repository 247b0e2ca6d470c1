package policy

import (
	"testing"
	"time"
)

// manyGateways runs hundreds of gateways step by step; a message takes 20 ms.
type manyGateways struct {
	t           *testing.T
	now         time.Duration
	gateways    []*Gateway
	inTransit   []transitMessage
	dropMessage func(from, to int) bool

	messageCount  int // messages sent, one for each receiver
	sends         []Send
	sentFrom      []int
	sentAt        []time.Duration
	attemptTime   time.Duration     // duration of an attempt
	code          func(i int) Code  // result of the i-th send; nil: all succeed
	endedSends    int               // sends that have ended
	endedAttempts map[RequestID]int // attempts that have ended, by request
	finalAnswers  int               // refusals and failures sent to clients
}

type transitMessage struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newManyGateways(t *testing.T, n int, servers []Server) *manyGateways {
	t.Helper()
	c := &manyGateways{t: t, now: 10 * time.Second, attemptTime: 50 * ms,
		endedAttempts: map[RequestID]int{}, dropMessage: func(int, int) bool { return false }}
	for i := range n {
		s := testSettings()
		s.Me, s.Gateways = i, n
		g, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.gateways = append(c.gateways, g)
		c.do(i, ServerList{Kind: CachedList, Servers: servers})
	}
	return c
}

func (c *manyGateways) do(i int, ev Event) {
	for _, a := range c.gateways[i].Handle(c.now, ev, nil) {
		switch a := a.(type) {
		case SendPeer:
			if len(a.Data) > 256 || a.To >= len(c.gateways) || a.To == i {
				c.t.Fatalf("gateway %d sends gateway %d a message of %d bytes", i, a.To, len(a.Data))
			}
			for to := range c.gateways {
				if to == a.To || a.To < 0 && to != i {
					c.messageCount++
					if !c.dropMessage(i, to) {
						c.inTransit = append(c.inTransit, transitMessage{c.now + 20*ms, i, to, a.Data})
					}
				}
			}
		case Send:
			c.sends, c.sentFrom, c.sentAt = append(c.sends, a), append(c.sentFrom, i), append(c.sentAt, c.now)
		case Refuse, Fail:
			c.finalAnswers++
		}
	}
}

// pass advances the clock in steps of 10 ms, and ends each attempt after attemptTime.
func (c *manyGateways) pass(d time.Duration, step func(at time.Duration)) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * ms
		var due []transitMessage
		for len(c.inTransit) > 0 && c.inTransit[0].at <= c.now {
			due, c.inTransit = append(due, c.inTransit[0]), c.inTransit[1:]
		}
		for _, message := range due {
			c.do(message.to, PeerMessage{From: message.from, Data: message.data})
		}
		for i := range c.gateways {
			c.do(i, Timer{Token: "ask"})
			if (c.now/ms/10+time.Duration(i))%25 == 0 {
				c.do(i, Timer{Token: "tick"})
			}
		}
		for ; c.endedSends < len(c.sends) && c.sentAt[c.endedSends]+c.attemptTime <= c.now; c.endedSends++ {
			s, code := c.sends[c.endedSends], OK
			if c.code != nil {
				code = c.code(c.endedSends)
			}
			c.endedAttempts[s.ID]++
			c.do(c.sentFrom[c.endedSends], Outcome{ID: s.ID, Attempt: c.endedAttempts[s.ID] - 1, Server: s.Server, Code: code,
				Latency: c.attemptTime, ClientAnswered: code == OK})
		}
		if step != nil {
			step(c.now)
		}
	}
}

func (c *manyGateways) request(i int, id RequestID, customer, plan, class string, spread int) {
	c.do(i, Request{ID: id, Customer: customer, Plan: plan, Class: class, Units: 1,
		Remaining: 2 * time.Second, GatewayCount: spread})
}

// member returns one of customer k's 50 gateways that is neither its root nor its
// deputy, with the numbers of both.
func (c *manyGateways) member(plan string) (i, root, deputy int) {
	k := c.gateways[0].addCustomer(keyOf("k"), c.gateways[0].plans[plan], 0, 50)
	roots, deputy := c.gateways[0].roots(k)
	for i == 0 || i == roots[0] || i == deputy {
		i++
	}
	return i, roots[0], deputy
}
