package runbook

import (
	"fmt"
	"strings"
	"time"
)

// What a run is to do next.
type (
	// Look wants what is seen now.
	Look struct{}
	// Write wants an entry written down, and applied.
	Write struct{ Entry Entry }
	// Prepare wants the order of an act made, and written down as an intent.
	Prepare struct{ Task Task }
	// Settle wants an intended order to hold, looked up first, and the result written down.
	Settle struct {
		Step  string
		Undo  bool
		Order *Order
	}
	// Pause wants time to pass before the next look.
	Pause struct {
		For  time.Duration
		What string // is waited for
	}
	// Ask wants a person's answer, written down.
	Ask struct{ Step, Question string }
	// Over ends it.
	Over struct{ How, Text string }
)

// Times.
const (
	pollEvery  = time.Second
	decideFor  = 30 * time.Second // for what a decision takes to become known
	unknownFor = 30 * time.Second // for what has to hold before to become known
)

// Decide tells what is to be done next, by the journal, by what is seen (nil: not
// looked yet) and by the time. Equal input gives equal output.
func (r *Run) Decide(seen Facts, now time.Time) any {
	seen = r.renewed(seen)
	switch {
	case r.End != "":
		return Over{r.End, r.EndText}
	case r.open != nil:
		return Settle{r.open.Step, r.open.Undo, r.open.Order}
	case r.Undoing:
		return r.undo()
	case r.At < 0:
		return Write{Entry{Note: Ended, Go: EndStopped, Text: r.EndText}}
	case r.At >= len(r.Book.Steps):
		return Write{Entry{Note: Ended, Go: EndDone}}
	case now.Sub(r.Began) > seconds(r.Book.Limits.WithinS):
		return leave(r.Book.Limits.Late, "", fmt.Sprintf("the run took longer than %v", seconds(r.Book.Limits.WithinS)))
	case seen == nil:
		return Look{}
	case !r.Checked:
		return r.before(seen, now)
	}
	for _, c := range r.Book.Limits.Keep {
		switch holds, known := seen.Holds(c.When); {
		case !known:
			return Pause{pollEvery, "to know whether " + c.When}
		case !holds:
			return leave(r.Book.Limits.Harm, "", fmt.Sprintf("%s (%s does not hold)", c.Why, c.When))
		}
	}
	return r.now(r.step(), seen, now)
}

// leave ends the run as it is, or begins to undo it.
func leave(how, step, why string) Write {
	if how == GoUndo {
		return Write{Entry{Note: Undoing, Step: step, Text: why}}
	}
	return Write{Entry{Note: Ended, Step: step, Go: EndStopped, Text: why}}
}

func (r *Run) before(seen Facts, now time.Time) any {
	for _, c := range r.Book.Before {
		holds, known := seen.Holds(c.When)
		switch {
		case holds:
		case !known && now.Sub(r.Began) < unknownFor:
			return Pause{pollEvery, "to know whether " + c.When}
		case !known:
			return Write{Entry{Note: Ended, Go: EndRefused, Text: fmt.Sprintf("can't tell whether %s: %s", c.When, c.Why)}}
		default:
			return Write{Entry{Note: Ended, Go: EndRefused, Text: fmt.Sprintf("%s (%s does not hold)", c.Why, c.When)}}
		}
	}
	return Write{Entry{Note: Checked}}
}

// now is what the present step wants.
func (r *Run) now(s *Step, seen Facts, now time.Time) any {
	switch s.Kind {
	case Observe:
		part := Facts{}
		for _, f := range s.Look {
			if v, ok := seen[f]; ok {
				part[f] = v
			}
		}
		return Write{Entry{Note: Saw, Step: s.Name, Facts: part}}
	case Decide:
		return r.choose(s, seen, now)
	case Wait:
		return r.wait(s, seen, now)
	case Confirm:
		return Ask{s.Name, s.Ask}
	}
	for _, c := range s.Needs {
		switch holds, known := seen.Holds(c.When); {
		case !known:
			return Pause{pollEvery, "to know whether " + c.When}
		case !holds:
			return leave(r.Book.Limits.Harm, s.Name, fmt.Sprintf("%s (%s does not hold)", c.Why, c.When))
		}
	}
	if r.Orders >= r.Book.Limits.Orders {
		return leave(r.Book.Limits.Harm, s.Name, fmt.Sprintf("%d orders are all that the run may give", r.Book.Limits.Orders))
	}
	return Prepare{Task{Step: s.Name, Deed: s.Do, Args: s.Args}}
}

func (r *Run) choose(s *Step, seen Facts, now time.Time) any {
	within := decideFor
	if s.WithinS > 0 {
		within = seconds(s.WithinS)
	}
	for _, c := range s.Choices {
		holds, known := seen.all(c.When)
		switch {
		case holds:
			return Write{Entry{Note: Chose, Step: s.Name, Go: c.Go, Text: fmt.Sprint(c.When)}}
		case known:
		case r.waits.IsZero():
			return Write{Entry{Note: Waits, Step: s.Name}}
		case now.Sub(r.waits) < within:
			return Pause{pollEvery, fmt.Sprint("to know whether ", c.When)}
		default:
			return Write{Entry{Note: Chose, Step: s.Name, Go: GoStop, Text: fmt.Sprint("can't tell whether ", c.When)}}
		}
	}
	return Write{Entry{Note: Chose, Step: s.Name, Go: s.Otherwise, Text: "none of the choices holds"}}
}

func (r *Run) wait(s *Step, seen Facts, now time.Time) any {
	if r.waits.IsZero() {
		return Write{Entry{Note: Waits, Step: s.Name}}
	}
	holds, _ := seen.all(s.Until)
	switch {
	case holds && r.holds.IsZero() && s.HoldS > 0:
		return Write{Entry{Note: Holds, Step: s.Name}}
	case holds && (s.HoldS == 0 || now.Sub(r.holds) >= seconds(s.HoldS)):
		return Write{Entry{Note: Passed, Step: s.Name}}
	case !holds && !r.holds.IsZero():
		return Write{Entry{Note: Broke, Step: s.Name}}
	case now.Sub(r.waits) >= seconds(s.WithinS):
		return Write{Entry{Note: Late, Step: s.Name, Go: s.Else, Text: fmt.Sprintf("%v did not come to hold within %v", s.Until, seconds(s.WithinS))}}
	}
	return Pause{pollEvery, fmt.Sprint(s.Until)}
}

// undo undoes the last thing that was done and still is.
func (r *Run) undo() any {
	if n := len(r.done); n > 0 {
		last := r.done[n-1]
		return Prepare{Task{Step: last.Step, Deed: last.Order.Deed, Undo: last.Order}}
	}
	end := Entry{Note: Ended, Go: EndUndone, Text: r.Why}
	switch {
	case r.failed:
		end.Go, end.Text = EndStuck, r.Why+"; not all could be undone: see the failed entries"
	case r.given == 0:
		end.Go, end.Text = EndStopped, r.Why+"; nothing had been changed"
	}
	if len(r.kept) > 0 {
		end.Text += "; these steps hold and are never undone: " + strings.Join(r.kept, ", ")
	}
	return Write{end}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
