package tend

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/operations/runbook"
)

// Outcome is the result of an order.
type Outcome int

// The outcomes.
const (
	Done      Outcome = iota // it holds
	Unclear                  // it may hold or may not
	Refused                  // it does not hold and will not
	Overtaken                // another operator's order holds in its place
	Alone                    // it takes a person, and there is none
)

// Agents looks at the system and gives orders.
type Agents interface {
	Look(ctx context.Context) runbook.Facts
	// Prepare makes the order of a task without giving it. ErrLater: it can't be
	// made now; any other error: it can't be made at all.
	Prepare(ctx context.Context, t runbook.Task) (*runbook.Order, error)
	// Settle looks whether the order holds already, and gives it where it does not.
	// Of a zone's that holds it notes the count.
	Settle(ctx context.Context, o *runbook.Order) (Outcome, string)
	// Ask asks a person. ErrNobody: there is none.
	Ask(ctx context.Context, step, question string) (agreed bool, by string, err error)
}

// Journal keeps entries; they last when Append returns nil.
type Journal interface {
	Append(e *runbook.Entry) error
}

// Clock is the real time, or a simulated one.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) bool // false: ctx ended
}

// Errors that end the work on a run before the run's end.
var (
	ErrLater  = errors.New("it can't be told now")
	ErrNobody = errors.New("there is nobody to ask")
	ErrHalted = errors.New("the run is not at its end; resume it")
)

const (
	clearWithin = 60 * time.Second // for an order to become clear, before the run is left for later
	again       = time.Second
)

// Tender carries out one run.
type Tender struct {
	Run     *runbook.Run
	Agents  Agents
	Journal Journal
	Clock   Clock
	Tell    func(string) // each thing done
	stuck   time.Time    // since when nothing has become clear
}

// Go carries the run out until it ends, or returns ErrHalted.
func (t *Tender) Go(ctx context.Context) error {
	var seen runbook.Facts
	for {
		switch do := t.Run.Decide(seen, t.Clock.Now()).(type) {
		case runbook.Over:
			return nil
		case runbook.Look:
			seen = t.Agents.Look(ctx)
		case runbook.Write:
			if err := t.write(do.Entry); err != nil {
				return err
			}
			if do.Entry.Note != runbook.Checked {
				seen = nil
			}
		case runbook.Prepare:
			if err := t.prepare(ctx, do.Task); err != nil {
				return err
			}
		case runbook.Settle:
			if err := t.settle(ctx, do); err != nil {
				return err
			}
			seen = nil
		case runbook.Ask:
			agreed, by, err := t.Agents.Ask(ctx, do.Step, do.Question)
			if err != nil {
				return errors.WithMessagef(ErrHalted, "step %s waits for a person: %s (%v)", do.Step, do.Question, err)
			}
			e := runbook.Entry{Note: runbook.Declined, Step: do.Step, By: by}
			if agreed {
				e.Note = runbook.Agreed
			}
			if err := t.write(e); err != nil {
				return err
			}
			seen = nil
		case runbook.Pause:
			t.Tell("waits: " + do.What)
			if !t.Clock.Sleep(ctx, do.For) {
				return errors.WithMessage(ErrHalted, "interrupted")
			}
			seen = nil
		}
		if ctx.Err() != nil {
			return errors.WithMessage(ErrHalted, "interrupted")
		}
	}
}

// write writes an entry down, and only then takes it in.
func (t *Tender) write(e runbook.Entry) error {
	e.No, e.At = t.Run.Next(), t.Clock.Now().UTC()
	if err := t.Journal.Append(&e); err != nil {
		return errors.WithMessage(err, "the journal")
	}
	t.Tell(Says(&e))
	return t.Run.Apply(&e)
}

func (t *Tender) prepare(ctx context.Context, task runbook.Task) error {
	o, err := t.Agents.Prepare(ctx, task)
	if errors.Is(err, ErrLater) {
		return t.later(ctx, err.Error())
	}
	t.stuck = time.Time{}
	undo := task.Undo != nil
	intent := runbook.Entry{Note: runbook.Intends, Step: task.Step, Undo: undo, Order: o}
	if err == nil {
		return t.write(intent)
	}
	intent.Order = &runbook.Order{Deed: task.Deed, Says: "nothing: it can't be made", Nothing: true}
	if err := t.write(intent); err != nil {
		return err
	}
	return t.write(runbook.Entry{Note: runbook.Failed, Step: task.Step, Undo: undo, Go: runbook.GoUndo, Text: err.Error()})
}

// settle has an order hold. One that another operator's has overtaken stops the
// run: what to do then is for people.
func (t *Tender) settle(ctx context.Context, s runbook.Settle) error {
	outcome, text := t.Agents.Settle(ctx, s.Order)
	e := runbook.Entry{Note: runbook.Failed, Step: s.Step, Undo: s.Undo, Text: text}
	switch outcome {
	case Unclear:
		return t.later(ctx, text)
	case Alone:
		return errors.WithMessagef(ErrHalted, "step %s waits for a person: %s", s.Step, text)
	case Done:
		e.Note, e.Count = runbook.Did, s.Order.Count
	case Refused:
		e.Go = runbook.GoUndo
	case Overtaken:
		e.Go = runbook.GoStop
	}
	t.stuck = time.Time{}
	return t.write(e)
}

// later waits, and gives up after a while; the intent stays for a resumption.
func (t *Tender) later(ctx context.Context, why string) error {
	now := t.Clock.Now()
	if t.stuck.IsZero() {
		t.stuck = now
	}
	if now.Sub(t.stuck) >= clearWithin {
		return errors.WithMessage(ErrHalted, why)
	}
	t.Tell("not clear yet: " + why)
	if !t.Clock.Sleep(ctx, again) {
		return errors.WithMessage(ErrHalted, "interrupted: "+why)
	}
	return nil
}

// Says is an entry in words.
func Says(e *runbook.Entry) string {
	text := string(e.Note)
	if e.Step != "" {
		text += " " + e.Step
	}
	if e.Undo {
		text += " (undoing)"
	}
	if e.Order != nil {
		text += ": " + e.Order.Says
	}
	if e.Go != "" {
		text += " -> " + e.Go
	}
	if e.Text != "" {
		text += ": " + e.Text
	}
	if len(e.Facts) > 0 {
		text += fmt.Sprint(" ", map[string]any(e.Facts))
	}
	if e.By != "" && (e.Note == runbook.Agreed || e.Note == runbook.Declined || e.Note == runbook.Took) {
		text += " by " + e.By
	}
	return text
}
