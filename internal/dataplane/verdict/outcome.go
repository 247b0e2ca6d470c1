package verdict

import (
	"strconv"
	"time"
)

// promisesNotRun reports whether a status tells the client that its request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// RequestOutcome is what is known of a request from all its attempts. The zero value describes a request that was never
// sent.
type RequestOutcome struct {
	mayHaveRun bool // at least one attempt has run the request or may have
	last       Verdict
}

// Add records how an attempt ended.
func (c *RequestOutcome) Add(v Verdict) {
	if ran := !v.RunState().NeverRan(); ran || !c.mayHaveRun {
		c.mayHaveRun, c.last = ran, v
	}
}

// MayHaveRun reports whether the request has run or may have run.
func (c *RequestOutcome) MayHaveRun() bool { return c.mayHaveRun }

// Last returns the verdict of the last attempt that may have run. If none may have run, it returns the last verdict.
func (c *RequestOutcome) Last() Verdict { return c.last }

// GeneratedAnswer is an answer that the load balancer writes itself. Outside of this package only a RequestOutcome can
// create one, so no answer with status 408, 421, 429 or 503 is created for a request that may have run.
type GeneratedAnswer struct {
	status int
	fields string
	text   string
}

// Status returns the HTTP status code.
func (o GeneratedAnswer) Status() int { return o.status }

// Fields returns additional header lines, each with its line ending.
func (o GeneratedAnswer) Fields() string { return o.fields }

// Text returns the body.
func (o GeneratedAnswer) Text() string { return o.text }

// Answer creates an answer with a status, a body and a Retry-After time (0: none). If the status promises that the
// request has not run, but the request may have run, the status becomes 502.
func (c *RequestOutcome) Answer(status int, retryAfter time.Duration, text string) GeneratedAnswer {
	if promisesNotRun(status) && c.mayHaveRun {
		return GeneratedAnswer{status: 502, text: "failed"}
	}
	o := GeneratedAnswer{status: status, text: text}
	if retryAfter > 0 {
		o.fields = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return o
}

// FailureAnswer creates the answer to a request that will not be sent again. A request that has not run gets 429 if it is
// over its tenant's quota and 503 otherwise, with a Retry-After time. A request that may have run gets 504 if its deadline
// has passed and 502 otherwise.
func (c *RequestOutcome) FailureAnswer(overQuota, pastDeadline bool, retryAfter time.Duration) GeneratedAnswer {
	switch {
	case c.mayHaveRun && pastDeadline:
		return c.Answer(504, 0, "too late")
	case c.mayHaveRun:
		return c.Answer(502, 0, "failed")
	case overQuota:
		return c.Answer(429, retryAfter, "refused")
	}
	return c.Answer(503, retryAfter, "refused")
}
