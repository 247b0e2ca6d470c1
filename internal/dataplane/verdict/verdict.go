// Package verdict says what is known of a request that was sent on, or was not: whether it has surely not run, was
// refused by its server, may have run or has run, and what its client may be told then.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/policy"
)

// RunState is what is known of whether a request has run. The zero value promises nothing.
type RunState int

// What may be known.
const (
	MayHaveRun RunState = iota
	HasRun
	NotRun        // and never will
	RefusedNotRun // its server says that it has not, and never will
)

// NeverRan reports whether it has surely not run and never will.
func (r RunState) NeverRan() bool { return r == NotRun || r == RefusedNotRun }

// End is how an attempt to have a request served ended.
type End int

// The ends of attempts. The zero value knows least.
const (
	Broken         End = iota // after its last byte was written its connection ended, or what came can't be an answer
	TimedOut                  // no answer in its time
	Cancelled                 // given up after it was written, or its client did not take the answer
	Unsent                    // its last byte was not written
	SendAborted               // its time was over before its last byte was written, or its client didn't send it
	Declined                  // its server says that it did not run
	InvalidRequest            // its server says that the request is at fault, and did not run it
	Failed                    // it ran, and its answer is no success
	Served
)

// endProperties are, by End, the words for it, what is known then and what the decisions are told.
var endProperties = [...]struct {
	words string
	run   RunState
	code  policy.Code
}{
	Broken: {"broken off", MayHaveRun, policy.Reset}, TimedOut: {"no answer", MayHaveRun, policy.TimedOut},
	Cancelled: {"given up", MayHaveRun, policy.Cancelled}, Unsent: {"not sent", NotRun, policy.ConnectFailed},
	SendAborted: {"too late to send", NotRun, policy.NoRetry}, Declined: {"refused", RefusedNotRun, policy.Full},
	InvalidRequest: {"at fault", RefusedNotRun, policy.NoRetry}, Failed: {"failed", HasRun, policy.Error}, Served: {"served", HasRun, policy.OK},
}

// Verdict is an attempt's end with its cause, as an error. The zero value is that of an attempt that may have run.
type Verdict struct {
	End   End
	cause error
}

// New is the verdict of an end. The cause may be nil.
func New(end End, cause error) Verdict { return Verdict{end, cause} }

// RunState is what is known of whether the request has run.
func (v Verdict) RunState() RunState { return endProperties[v.End].run }

// Code is what the decisions are told.
func (v Verdict) Code() policy.Code { return endProperties[v.End].code }

// Cause is what lies at the root of it; nil: the end says all.
func (v Verdict) Cause() error { return errors.Cause(v.cause) }

// Unwrap lets errors.Is find the cause.
func (v Verdict) Unwrap() error { return v.cause }

func (v Verdict) Error() string {
	if v.cause == nil {
		return endProperties[v.End].words
	}
	return fmt.Sprintf("%s: %v", endProperties[v.End].words, v.cause)
}

// ServerAnswer is what a server's answer tells of itself.
type ServerAnswer struct {
	Status         int
	NotRun         bool // it says that the request did not run
	Sealed         bool // it bears one seal
	ContentEncoded bool // its body is not the server's own bytes
	Framed         bool // its end can be told
}

// ClassifyAnswer is the verdict of a server's answer, and whether the client may have the answer itself.
func ClassifyAnswer(a ServerAnswer) (v Verdict, pass bool) {
	switch {
	case a.NotRun || a.Status == 421:
		return New(Declined, nil), false
	case !a.Framed || a.ContentEncoded || a.Status/100 == 2 && !a.Sealed:
		return New(Broken, errors.Errorf("status %d: its end, or that it is the server's, can't be told", a.Status)), false
	case promisesNotRun(a.Status): // the server makes no promise, so that none may be made of its answer
		return New(Failed, errors.Errorf("status %d without a promise", a.Status)), false
	case a.Status >= 500:
		return New(Failed, errors.Errorf("status %d", a.Status)), true
	}
	return New(Served, nil), true
}
