package node

import (
	"net"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// openRequest is a client's request that is not answered yet. The goroutine of its connection receives commands and carries
// them out one at a time; all other state belongs to the loop.
type openRequest struct {
	policy.Request
	clientID    string // the request's id, from the client or made for it
	class       *policy.Class
	effect      policy.Effect // the stricter of the class's and the operation's
	conn        net.Conn      // the client's connection
	arrived     time.Duration
	budget      time.Duration // how long the client waits and the route allows, from arrived
	clientWaits time.Duration // managed protocol: how long the client waits, from arrived
	commands    chan command  // of capacity one: the next command is sent after the last is done

	answerBy        time.Duration   // when the answer has to be decided, unless a server has the request
	deadline        time.Duration   // when an attempt in flight is given up: a server's silence is no reason to do so sooner
	deadlineTimer   *timer          // answers the request if it is still open shortly after answerBy or deadline
	attempts        int             // attempts that the policy has asked for
	mayHaveRunSince time.Duration   // when the first attempt that may have run was sent; 0: none
	inFlight        *attempt        // nil: no attempt is in flight
	pendingAnswer   *command        // the decided answer, sent when the attempt in flight has ended
	managed         *managedRequest // state under the managed protocol; nil under the standalone protocol
}

// Request and answer each take time on the network. So a request that no server has is answered some time before its client's
// deadline, as otherwise the client would not learn that it may try again.
const (
	standaloneAnswerMargin = 10 * time.Millisecond // applies to all requests of the standalone protocol
	unsentAnswerMargin     = 40 * time.Millisecond // managed protocol
)

// setTimeLimits sets until when the request may be sent, and when an attempt in flight is given up.
func (c *openRequest) setTimeLimits() {
	if c.managed == nil {
		c.answerBy = c.arrived + max(0, c.budget-standaloneAnswerMargin)
		c.deadline = c.answerBy
		return
	}
	c.answerBy = c.arrived + min(c.budget, max(0, c.clientWaits-unsentAnswerMargin))
	c.deadline = c.arrived + c.budget
}

// command is an attempt to carry out or, if attempt is nil, the final answer.
type command struct {
	attempt           *attempt
	refused           bool
	clientErrorStatus int // the 4xx status of an invalid request; 0: it is valid
	retryAfter        time.Duration
	overQuota         bool // the customer's quota is exceeded
	timedOut          bool // the request's deadline has passed
}

// outcome reports to the loop how an attempt ended.
type outcome struct {
	request *openRequest
	attempt *attempt
	result
}

// started reports to the loop that the body of an attempt is being streamed.
type started struct {
	request *openRequest
	attempt *attempt
}

// abandonAttempt gives up the attempt in flight for a client that has disconnected. A request that must run at most once
// keeps running at the server that has it, because losing its answer does not undo it. Servers of the standalone protocol
// don't stop working when their connection closes, so attempts to them are not cancelled.
func (c *openRequest) abandonAttempt() {
	switch {
	case c.managed == nil:
	case c.effect == policy.Safe:
		c.inFlight.cancel()
	default:
		c.inFlight.cancelIfUnsent()
	}
}
