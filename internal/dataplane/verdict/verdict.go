// Package verdict says what is known of a request that was sent on, or was not: whether it has surely not run, was
// refused by its server, may have run or has run, and what its client may be told then.
package verdict

import (
	"fmt"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/policy"
)

// Run is what is known of whether a request has run. The zero value promises nothing.
type Run int

// What may be known.
const (
	MayHave Run = iota
	Has
	Not     // and never will
	Refused // its server says that it has not, and never will
)

// Never reports whether it has surely not run and never will.
func (r Run) Never() bool { return r == Not || r == Refused }

// End is how an attempt to have a request served ended.
type End int

// The ends of attempts. The zero value knows least.
const (
	Broken   End = iota // after its last byte was written its connection ended, or what came can't be an answer
	Silent              // no answer in its time
	Recalled            // given up after it was written, or its client did not take the answer
	Unsent              // its last byte was not written
	Moot                // its time was over before its last byte was written, or its client didn't send it
	Declined            // its server says that it did not run
	Unfit               // its server says that the request is at fault, and did not run it
	Failed              // it ran, and its answer is no success
	Served
)

// ends are, by End, the words for it, what is known then and what the decisions are told.
var ends = [...]struct {
	words string
	run   Run
	code  policy.Code
}{
	Broken: {"broken off", MayHave, policy.Reset}, Silent: {"no answer", MayHave, policy.TimedOut},
	Recalled: {"given up", MayHave, policy.Cancelled}, Unsent: {"not sent", Not, policy.ConnectFailed},
	Moot: {"too late to send", Not, policy.NoRetry}, Declined: {"refused", Refused, policy.Full},
	Unfit: {"at fault", Refused, policy.NoRetry}, Failed: {"failed", Has, policy.Error}, Served: {"served", Has, policy.OK},
}

// Verdict is an attempt's end with its cause, as an error. The zero value is that of an attempt that may have run.
type Verdict struct {
	End   End
	cause error
}

// Of is the verdict of an end. The cause may be nil.
func Of(end End, cause error) Verdict { return Verdict{end, cause} }

// Run is what is known of whether the request has run.
func (v Verdict) Run() Run { return ends[v.End].run }

// Code is what the decisions are told.
func (v Verdict) Code() policy.Code { return ends[v.End].code }

// Cause is what lies at the root of it; nil: the end says all.
func (v Verdict) Cause() error { return errors.Cause(v.cause) }

// Unwrap lets errors.Is find the cause.
func (v Verdict) Unwrap() error { return v.cause }

func (v Verdict) Error() string {
	if v.cause == nil {
		return ends[v.End].words
	}
	return fmt.Sprintf("%s: %v", ends[v.End].words, v.cause)
}

// Answer is what a server's answer tells of itself.
type Answer struct {
	Status int
	NotRun bool // it says that the request did not run
	Sealed bool // it bears one seal
	Coded  bool // its body is not the server's own bytes
	Framed bool // its end can be told
}

// Heard is the verdict of a server's answer, and whether the client may have the answer itself.
func Heard(a Answer) (v Verdict, pass bool) {
	switch {
	case a.NotRun || a.Status == 421:
		return Of(Declined, nil), false
	case !a.Framed || a.Coded || a.Status/100 == 2 && !a.Sealed:
		return Of(Broken, errors.Errorf("status %d: its end, or that it is the server's, can't be told", a.Status)), false
	case promises(a.Status): // the server makes no promise, so that none may be made of its answer
		return Of(Failed, errors.Errorf("status %d without a promise", a.Status)), false
	case a.Status >= 500:
		return Of(Failed, errors.Errorf("status %d", a.Status)), true
	}
	return Of(Served, nil), true
}
