package verdict

import (
	"strconv"
	"time"
)

// promisesNotRun tells whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// RequestOutcome is what is known of a request over all its attempts. The zero value is that of one which was not sent.
type RequestOutcome struct {
	mayHaveRun bool // it has, or may have
	last       Verdict
}

// Add takes in how an attempt ended.
func (c *RequestOutcome) Add(v Verdict) {
	if ran := !v.RunState().NeverRan(); ran || !c.mayHaveRun {
		c.mayHaveRun, c.last = ran, v
	}
}

// MayHaveRun reports whether it has run or may have.
func (c *RequestOutcome) MayHaveRun() bool { return c.mayHaveRun }

// Last is how the last attempt ended that may have run; where none may, the last of all.
func (c *RequestOutcome) Last() Verdict { return c.last }

// GeneratedAnswer is an answer of the system's own. It has no exported maker but a Course's: so none with 408, 421, 429 or 503 is
// ever made for a request that may have run.
type GeneratedAnswer struct {
	status int
	fields string
	text   string
}

// Status is the answer's status.
func (o GeneratedAnswer) Status() int { return o.status }

// Fields are header lines, each with its end.
func (o GeneratedAnswer) Fields() string { return o.fields }

// Text is the body.
func (o GeneratedAnswer) Text() string { return o.text }

// Answer is an answer of the system's own with a status, and advice when to come again (0: none). Of a status that
// promises that the request has not run, and of a request that may have, it is 502.
func (c *RequestOutcome) Answer(status int, after time.Duration, text string) GeneratedAnswer {
	if promisesNotRun(status) && c.mayHaveRun {
		return GeneratedAnswer{status: 502, text: "failed"}
	}
	o := GeneratedAnswer{status: status, text: text}
	if after > 0 {
		o.fields = "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
	}
	return o
}

// FailureAnswer is the answer to a request that nobody will serve any more: a refusal, with advice when to come again, where it
// has not run, 429 where it is over its tenant's quota; else 504 where its time is over, and 502.
func (c *RequestOutcome) FailureAnswer(over, late bool, after time.Duration) GeneratedAnswer {
	switch {
	case c.mayHaveRun && late:
		return c.Answer(504, 0, "too late")
	case c.mayHaveRun:
		return c.Answer(502, 0, "failed")
	case over:
		return c.Answer(429, after, "refused")
	}
	return c.Answer(503, after, "refused")
}
