// Package verdict classifies how an attempt to serve a request ended. It tells whether the request has run, may have run,
// was refused by its server or has certainly not run, and which answers its client may get in each case.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/policy"
)

// RunState is what is known of whether a request has run. The zero value is MayHaveRun, the least certain one.
type RunState int

// The states of knowledge.
const (
	MayHaveRun RunState = iota
	HasRun
	NotRun        // it has not run and never will
	RefusedNotRun // its server says that it has not run and never will
)

// NeverRan reports whether the request has certainly not run and never will.
func (r RunState) NeverRan() bool { return r == NotRun || r == RefusedNotRun }

// End is how an attempt to have a request served ended.
type End int

// The ends of attempts. The zero value is Broken, the least certain one.
const (
	Broken         End = iota // the connection ended after the last byte of the request was written, or the answer was malformed
	TimedOut                  // no answer came before the deadline
	Cancelled                 // it was cancelled after it was written, or its client did not read the answer
	Unsent                    // the last byte of the request was not written
	SendAborted               // the deadline passed before the last byte was written, or the client did not send the whole request
	Declined                  // its server says that the request did not run
	InvalidRequest            // its server says that the request is invalid and did not run
	Failed                    // it ran, and its answer reports an error
	Served
)

// endProperties holds, by End, its error text, whether the request has run, and the code for the policy package.
var endProperties = [...]struct {
	text  string
	state RunState
	code  policy.Code
}{
	Broken: {"connection broken", MayHaveRun, policy.Reset}, TimedOut: {"no answer", MayHaveRun, policy.TimedOut},
	Cancelled: {"cancelled", MayHaveRun, policy.Cancelled}, Unsent: {"not sent", NotRun, policy.ConnectFailed},
	SendAborted: {"sending aborted", NotRun, policy.NoRetry}, Declined: {"refused", RefusedNotRun, policy.Full},
	InvalidRequest: {"invalid request", RefusedNotRun, policy.NoRetry}, Failed: {"failed", HasRun, policy.Error}, Served: {"served", HasRun, policy.OK},
}

// Verdict is the end of an attempt with its cause. It is an error. The zero value describes an attempt that may have run.
type Verdict struct {
	End   End
	cause error
}

// New returns the verdict for an end. The cause may be nil.
func New(end End, cause error) Verdict { return Verdict{end, cause} }

// RunState returns what is known of whether the request has run.
func (v Verdict) RunState() RunState { return endProperties[v.End].state }

// Code returns the code that the policy package gets for this attempt.
func (v Verdict) Code() policy.Code { return endProperties[v.End].code }

// Cause returns the root cause, or nil if there is none beyond the end itself.
func (v Verdict) Cause() error { return errors.Cause(v.cause) }

// Unwrap lets errors.Is find the cause.
func (v Verdict) Unwrap() error { return v.cause }

func (v Verdict) Error() string {
	if v.cause == nil {
		return endProperties[v.End].text
	}
	return fmt.Sprintf("%s: %v", endProperties[v.End].text, v.cause)
}

// ServerAnswer holds the properties of a server's answer by which it is classified.
type ServerAnswer struct {
	Status         int
	NotRun         bool // it has the header field for a request that did not run
	Sealed         bool // it has exactly one seal field, which shows that the server itself wrote it
	ContentEncoded bool // it has a Content-Encoding, so its body may not be what the server wrote
	Framed         bool // its end is known from its framing
}

// ClassifyAnswer returns the verdict for a server's answer and whether the answer may be passed on to the client.
func ClassifyAnswer(a ServerAnswer) (v Verdict, pass bool) {
	switch {
	case a.NotRun || a.Status == 421:
		return New(Declined, nil), false
	case !a.Framed || a.ContentEncoded || a.Status/100 == 2 && !a.Sealed:
		return New(Broken, errors.Errorf("status %d: the end of the answer is unknown, or the answer is not verifiably from the server", a.Status)), false
	case promisesNotRun(a.Status): // without the header field, the client must not read this status as "not run"
		return New(Failed, errors.Errorf("status %d without the header field for a request that did not run", a.Status)), false
	case a.Status >= 500:
		return New(Failed, errors.Errorf("status %d", a.Status)), true
	}
	return New(Served, nil), true
}
