package verdict

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// For every pair of ends, the state and the policy code are right, and a request that may have run never gets a status that
// promises that it has not run.
func TestEnds(t *testing.T) {
	want := [...]struct{ notRun, code string }{Broken: {"no", "5"}, TimedOut: {"no", "3"}, Cancelled: {"no", "6"}, Unsent: {"yes", "4"},
		SendAborted: {"yes", "7"}, Declined: {"yes", "2"}, InvalidRequest: {"yes", "7"}, Failed: {"no", "1"}, Served: {"no", "0"}}
	assert.Equal(t, len(want), len(endProperties))
	assert.Assert(t, !Verdict{}.RunState().NeverRan() && !RunState(0).NeverRan())
	for a := range endProperties {
		for b := range endProperties {
			first, second := New(End(a), errors.WithMessage(io.EOF, "read")), New(End(b), nil)
			var c RequestOutcome
			c.Add(first)
			c.Add(second)
			promise := want[a].notRun == "yes" && want[b].notRun == "yes"
			assert.Equal(t, !c.MayHaveRun(), promise, "%v, then %v", first, second)
			for status := 400; status < 600; status++ {
				o := c.Answer(status, time.Second, "")
				kept := promise || status != 408 && status != 421 && status != 429 && status != 503
				assert.Assert(t, kept && o.Status() == status || !kept && o.Status() == 502, "%v, then %v: %d becomes %d", first, second, status, o.Status())
			}
			for _, over := range []bool{false, true} {
				for _, late := range []bool{false, true} {
					status := map[bool]int{false: 502, true: 504}[late]
					if promise {
						status = map[bool]int{false: 503, true: 429}[over]
					}
					o := c.FailureAnswer(over, late, 250*time.Millisecond)
					assert.Equal(t, o.Status(), status, "%v, then %v", first, second)
					assert.Equal(t, o.Fields() == "Retry-After: 0.250\r\n", promise)
				}
			}
			last := second
			if second.RunState().NeverRan() && !first.RunState().NeverRan() {
				last = first
			}
			assert.Equal(t, c.Last(), last)
			assert.Assert(t, errors.Is(first, io.EOF) && first.Cause() == io.EOF)
		}
		// The code for the policy package says "not run" exactly when the verdict does.
		v := New(End(a), nil)
		assert.Equal(t, string(rune('0'+v.Code())), want[a].code)
		assert.Equal(t, v.RunState().NeverRan(), v.Code().NeverRan())
	}
}

// Answers of servers are classified by their status and their header fields.
func TestClassifyAnswer(t *testing.T) {
	for status := 200; status < 600; status++ {
		for bits := range 16 {
			a := ServerAnswer{status, bits&1 > 0, bits&2 > 0, bits&4 > 0, bits&8 > 0}
			v, pass := ClassifyAnswer(a)
			switch reserved := status == 408 || status == 429 || status == 503; {
			case a.NotRun || status == 421:
				assert.Assert(t, v.RunState() == RefusedNotRun && !pass, "%+v", a)
			case !a.Framed || a.ContentEncoded || status < 300 && !a.Sealed:
				assert.Assert(t, v.RunState() == MayHaveRun && !pass, "%+v", a)
			default:
				assert.Assert(t, v.RunState() == HasRun && pass == !reserved, "%+v", a)
				assert.Equal(t, v.End == Served, status < 500 && !reserved, "%+v", a)
			}
		}
	}
}
