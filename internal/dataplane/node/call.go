package node

import (
	"net"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// openRequest is an open request of a client. Its connection's goroutine waits for
// commands and carries them out one at a time; all else is the loop's.
type openRequest struct {
	policy.Request
	clientID string // the client's id for it
	class    *policy.Class
	effect   policy.Effect // the more careful of the class's and the operation's
	conn     net.Conn      // the client's
	arrived  time.Duration
	budget   time.Duration // how long the client waits
	commands chan command  // room for one: the next is given once the last is done

	answerBy        time.Duration
	deadlineTimer   *timer
	attempts        int
	mayHaveRunSince time.Duration // when the first attempt that may have run was asked for; 0: none
	inFlight        *attempt      // nil: none is out
	pendingAnswer   *command      // the answer, once the attempt out has ended
	managed         *passing      // what it is under a system's configuration; nil: it is the platform's
}

// command is an attempt to carry out, or else the final answer.
type command struct {
	attempt           *attempt
	refused           bool
	clientErrorStatus int // the status that says the request itself is at fault; 0: it is not
	retryAfter        time.Duration
	overQuota         bool // beyond a customer's quota
	timedOut          bool // its time is over
}

// outcome tells the loop how an attempt ended.
type outcome struct {
	request *openRequest
	attempt *attempt
	result
}

// started tells the loop that an attempt is passed on in pieces.
type started struct {
	request *openRequest
	attempt *attempt
}

// abandonAttempt gives up the attempt that is out for a client that has left. What may run
// once runs on where it has been sent: that its answer is lost does not undo it. Servers
// of the platform's wire don't stop when their connection closes, so there nothing is
// gained.
func (c *openRequest) abandonAttempt() {
	switch {
	case c.managed == nil:
	case c.effect == policy.Safe:
		c.inFlight.cancel()
	default:
		c.inFlight.withdraw()
	}
}
