package node

import (
	"fmt"
	"net"
	"net/http"
)

func (p *answersScenario) check() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, property := range []func() string{p.ownAnswers, p.runsOnce, p.refusesOnlyUnexecuted, p.answersAll, p.dropsDamagedConnections, p.stopsWorkForDisconnectedClients} {
		if broken := property(); broken != "" {
			return broken
		}
	}
	return ""
}

// ownAnswers checks that each client gets its own answers in order, and a success exactly as its server sent it.
func (p *answersScenario) ownAnswers() string {
	for _, c := range p.clients {
		if len(c.answers) > len(c.sent) {
			return fmt.Sprintf("own: %d answers to %d requests", len(c.answers), len(c.sent))
		}
		for i, a := range c.answers {
			id, sealed := c.sent[i].id, a.Header.Get(fieldSeal) != ""
			if got := a.Header.Get(fieldID); got != id && (got != "" || sealed) {
				return fmt.Sprintf("own: %s gets an answer of %q", id, got)
			}
			if a.StatusCode == http.StatusOK && (a.body != "yes "+id || !sealed) {
				return fmt.Sprintf("own: %s gets 200 with %q", id, a.body)
			}
		}
	}
	return ""
}

func (p *answersScenario) runCount(id string) (n int) {
	for _, a := range p.attempts {
		if a.id == id && a.act.mayRun() {
			n++
		}
	}
	return n
}

// runsOnce checks that a request which must run at most once may have run at one server only.
func (p *answersScenario) runsOnce() string {
	for _, c := range p.clients {
		for _, s := range c.sent {
			if n := p.runCount(s.id); !s.idempotent && n > 1 {
				return fmt.Sprintf("once: %s ran %d times", s.id, n)
			}
		}
	}
	return ""
}

// refusesOnlyUnexecuted checks that the proxy's own refusals are given only to requests that have not run.
func (p *answersScenario) refusesOnlyUnexecuted() string {
	for _, c := range p.clients {
		for i, a := range c.answers {
			switch a.StatusCode {
			case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				if id := c.sent[i].id; p.runCount(id) > 0 {
					return fmt.Sprintf("promise: %s is refused with %d and ran", id, a.StatusCode)
				}
			}
		}
	}
	return ""
}

// answersAll checks that a client that stays connected gets a final answer to each request up to one that closes the
// connection. Later requests, and while the proxy stops those sent as the connection closes, must not have run.
func (p *answersScenario) answersAll() string {
	for _, c := range p.clients {
		if !c.disconnectedAt.IsZero() {
			continue
		}
		n := len(c.answers)
		closed := n > 0 && c.answers[n-1].Close
		if n < len(c.sent) && !closed && p.stop == 0 {
			return fmt.Sprintf("answer: %d of %d requests are answered", n, len(c.sent))
		}
		for _, s := range c.sent[n:] {
			if p.runCount(s.id) > 0 {
				return fmt.Sprintf("answer: %s ran and is not answered", s.id)
			}
		}
	}
	return ""
}

// dropsDamagedConnections checks that a connection that has carried extra bytes gets no further request.
func (p *answersScenario) dropsDamagedConnections() string {
	damaged := map[net.Conn]string{}
	for _, a := range p.attempts {
		if id := damaged[a.conn]; id != "" {
			return fmt.Sprintf("damaged: %s is sent on a connection on which %s left extra bytes", a.id, id)
		}
		if a.act.sendsExtra() {
			damaged[a.conn] = a.id
		}
	}
	return ""
}

// stopsWorkForDisconnectedClients checks that idempotent work ends soon after its client disconnects. The proxy does not yet
// detect a close after pipelined bytes (docs/ROADMAP.md), so only clients with one outstanding answer are checked.
func (p *answersScenario) stopsWorkForDisconnectedClients() string {
	for _, c := range p.clients {
		if c.disconnectedAt.IsZero() || c.pendingAnswers != 1 {
			continue
		}
		for _, s := range c.sent[len(c.sent)-1:] {
			for _, a := range p.attempts {
				if a.id == s.id && s.idempotent && a.act == actWork && (a.ended.IsZero() || a.ended.Sub(c.disconnectedAt) > maxEndDelay) {
					return fmt.Sprintf("left: %s is worked on %v after its client disconnected", s.id, a.ended.Sub(c.disconnectedAt))
				}
			}
		}
	}
	return ""
}
