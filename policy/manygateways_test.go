package policy

import (
	"testing"
	"time"
)

// manyGateways runs hundreds of gateways step by step; a message takes 20 ms.
type manyGateways struct {
	t    *testing.T
	now  time.Duration
	gs   []*Gateway
	mail []letter
	lose func(from, to int) bool

	told     int // messages sent, one for each receiver
	sends    []Send
	from     []int
	sentAt   []time.Duration
	takes    time.Duration     // duration of an attempt
	code     func(i int) Code  // result of the i-th send; nil: all succeed
	over     int               // sends that have ended
	attempts map[RequestID]int // attempts that have ended, by request
	final    int               // refusals and failures sent to clients
}

type letter struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newManyGateways(t *testing.T, n int, servers []Server) *manyGateways {
	t.Helper()
	c := &manyGateways{t: t, now: 10 * time.Second, takes: 50 * ms, attempts: map[RequestID]int{}, lose: func(int, int) bool { return false }}
	for i := range n {
		s := testSettings()
		s.Me, s.Gateways = i, n
		g, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.gs = append(c.gs, g)
		c.do(i, ServerList{Kind: CachedList, Servers: servers})
	}
	return c
}

func (c *manyGateways) do(i int, ev Event) {
	for _, a := range c.gs[i].Handle(c.now, ev, nil) {
		switch a := a.(type) {
		case SendPeer:
			if len(a.Data) > 256 || a.To >= len(c.gs) || a.To == i {
				c.t.Fatalf("gateway %d sends gateway %d a message of %d bytes", i, a.To, len(a.Data))
			}
			for to := range c.gs {
				if to == a.To || a.To < 0 && to != i {
					c.told++
					if !c.lose(i, to) {
						c.mail = append(c.mail, letter{c.now + 20*ms, i, to, a.Data})
					}
				}
			}
		case Send:
			c.sends, c.from, c.sentAt = append(c.sends, a), append(c.from, i), append(c.sentAt, c.now)
		case Refuse, Fail:
			c.final++
		}
	}
}

// pass advances the clock in steps of 10 ms, and ends each attempt after attemptTime.
func (c *manyGateways) pass(d time.Duration, step func(at time.Duration)) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * ms
		var due []letter
		for len(c.mail) > 0 && c.mail[0].at <= c.now {
			due, c.mail = append(due, c.mail[0]), c.mail[1:]
		}
		for _, message := range due {
			c.do(message.to, PeerMessage{From: message.from, Data: message.data})
		}
		for i := range c.gs {
			c.do(i, Timer{Token: "ask"})
			if (c.now/ms/10+time.Duration(i))%25 == 0 {
				c.do(i, Timer{Token: "tick"})
			}
		}
		for ; c.over < len(c.sends) && c.sentAt[c.over]+c.takes <= c.now; c.over++ {
			s, code := c.sends[c.over], OK
			if c.code != nil {
				code = c.code(c.over)
			}
			c.attempts[s.ID]++
			c.do(c.from[c.over], Outcome{ID: s.ID, Attempt: c.attempts[s.ID] - 1, Server: s.Server, Code: code, Latency: c.takes, Final: code == OK})
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
	k := c.gs[0].account(keyOf("k"), c.gs[0].plans[plan], 0, 50)
	roots, deputy := c.gs[0].roots(k)
	for i == 0 || i == roots[0] || i == deputy {
		i++
	}
	return i, roots[0], deputy
}
