package runbook

import (
	"time"

	"github.com/pkg/errors"
)

// Note is the kind of an entry.
type Note string

// What is written down, each before the run goes on.
const (
	Began    Note = "began"    // with the book's text and the params
	Took     Note = "took"     // somebody holds the run from here on
	Checked  Note = "checked"  // what has to hold before it does
	Saw      Note = "saw"      // an observation
	Chose    Note = "chose"    // a decision
	Intends  Note = "intends"  // an order that is about to be given
	Did      Note = "did"      // the order holds
	Failed   Note = "failed"   // it does not and will not
	Waits    Note = "waits"    // a wait has begun
	Holds    Note = "holds"    // what is waited for holds
	Broke    Note = "broke"    // and again not
	Passed   Note = "passed"   // the wait is over
	Late     Note = "late"     // it did not come in time
	Agreed   Note = "agreed"   // a person did
	Declined Note = "declined" // a person did not
	Undoing  Note = "undoing"  // from here on things are undone
	Ended    Note = "ended"
)

// Entry is a line of a run's journal.
type Entry struct {
	No     uint64            `json:"no"`
	At     time.Time         `json:"at"`
	Holder uint64            `json:"holder"` // the fencing number of whoever wrote it
	By     string            `json:"by,omitempty"`
	Note   Note              `json:"note"`
	Step   string            `json:"step,omitempty"`
	Undo   bool              `json:"undo,omitempty"` // of an act's undoing
	Text   string            `json:"text,omitempty"`
	Go     string            `json:"go,omitempty"`
	Facts  Facts             `json:"facts,omitempty"`
	Count  uint64            `json:"count,omitempty"` // of a zone's order that did come to hold
	Order  *Order            `json:"order,omitempty"`
	Book   string            `json:"book,omitempty"`
	Params map[string]string `json:"params,omitempty"`
}

// Order is what an act sends, whole, so that it can be sent again as it was.
type Order struct {
	Deed    string `json:"deed"`
	Says    string `json:"says"`
	Nothing bool   `json:"nothing,omitempty"` // it already is so: nothing is sent, and nothing undone

	Zone  string `json:"zone,omitempty"`
	Drain bool   `json:"drain,omitempty"`
	Base  uint64 `json:"base,omitempty"` // the count of the zone's newest order before
	Count uint64 `json:"-"`              // and once this one holds: written down with the result

	Node    string    `json:"node,omitempty"`  // Drain: it rests. Base of a restart: its life before
	Least   []float64 `json:"least,omitempty"` // parts of its zone's proxies, and of all, that stay awake
	Command string    `json:"command,omitempty"`

	Gen  uint64 `json:"gen,omitempty"`
	Body []byte `json:"body,omitempty"`
	Was  []byte `json:"was,omitempty"` // the configuration before
}

// Task is a deed with its arguments.
type Task struct {
	Step string
	Deed string
	Args map[string]string
	Undo *Order // what is to be undone; nil: the deed is done
}

// Ends of a run.
const (
	EndDone    = "done"
	EndRefused = "refused" // what has to hold before did not: nothing was done
	EndStopped = "stopped" // all stays as it is; a person goes on
	EndUndone  = "undone"  // what was done is undone
	EndStuck   = "stuck"   // something could not be undone
)

// Run is a run as its journal tells it.
type Run struct {
	Book    *Book
	Params  map[string]string
	Began   time.Time
	At      int // step
	Checked bool
	Orders  int
	Undoing bool
	Why     string // it undoes
	End     string
	EndText string

	open   *Entry // an intent without a result
	waits  time.Time
	holds  time.Time
	done   []*Entry // intents that hold, of acts that can be undone
	given  int      // orders that came to hold
	kept   []string // steps that hold and are never undone
	failed bool     // to undo something
	next   uint64
	past   map[string]int    // by a list's value: its steps before this are passed over
	lives  map[string]uint64 // of proxies that were to be restarted, before that
}

// Apply takes in the journal's next entry.
func (r *Run) Apply(e *Entry) error {
	if e.No != r.next {
		return errors.Errorf("entry %d where %d is due", e.No, r.next)
	}
	r.next++
	if e.Note == Began {
		b, err := Read("journal", []byte(e.Book))
		if err != nil {
			return err
		}
		r.Book, r.Params, r.Began = b.With(e.Params), e.Params, e.At
		return nil
	}
	if r.Book == nil {
		return errors.New("a journal that does not begin with a book")
	}
	switch e.Note {
	case Took:
	case Checked:
		r.Checked = true
	case Saw, Passed, Agreed:
		r.goOn(e.Go)
	case Chose, Late:
		if r.to(e.Go); e.Go == GoUndo {
			r.Why = e.Text
		} else if e.Go == GoStop {
			r.EndText = e.Text
		}
	case Declined:
		r.to(GoUndo)
		r.Why = "declined by " + e.By
	case Waits:
		r.waits = e.At
	case Holds:
		r.holds = e.At
	case Broke:
		r.holds = time.Time{}
	case Intends:
		r.open = e
		if !e.Undo {
			r.Orders++
		}
	case Did, Failed:
		return r.settle(e)
	case Undoing:
		r.Undoing, r.Why = true, e.Text
	case Ended:
		r.End, r.EndText = e.Go, e.Text
	default:
		return errors.Errorf("entry %d: %q is not known: written by a newer version", e.No, e.Note)
	}
	return nil
}

// settle closes the open intent.
func (r *Run) settle(e *Entry) error {
	if r.open == nil || r.open.Step != e.Step || r.open.Undo != e.Undo {
		return errors.Errorf("entry %d: a result without its intent", e.No)
	}
	intent := r.open
	r.open = nil
	switch {
	case e.Undo:
		r.done = r.done[:len(r.done)-1]
		r.failed = r.failed || e.Note == Failed
	case e.Note == Did:
		if OnMachine(intent.Order.Deed) {
			if r.lives == nil {
				r.lives = map[string]uint64{}
			}
			r.lives[intent.Order.Node] = intent.Order.Base
		}
		if !intent.Order.Nothing {
			intent.Order.Count = e.Count
			r.given++
			if r.step().Undo {
				r.done = append(r.done, intent)
			} else {
				r.kept = append(r.kept, e.Step)
			}
		}
		r.goOn(e.Go)
	default:
		r.to(e.Go)
		r.Why, r.EndText = e.Text, e.Text
	}
	return nil
}

func (r *Run) step() *Step {
	if r.At < 0 || r.At >= len(r.Book.Steps) {
		return nil
	}
	return &r.Book.Steps[r.At]
}

// goOn goes where the step says, or to the next one.
func (r *Run) goOn(to string) {
	if to == "" {
		to = r.step().Next
	}
	if to != "" {
		r.to(to)
		return
	}
	r.At++
	r.waits, r.holds = time.Time{}, time.Time{}
	r.pass()
}

// to goes to a place; stop and end are past the last step.
func (r *Run) to(place string) {
	r.waits, r.holds = time.Time{}, time.Time{}
	switch place {
	case GoEnd:
		r.At = len(r.Book.Steps)
	case GoStop:
		r.At = -1
		if r.EndText == "" {
			r.EndText = "a step says stop"
		}
	case GoUndo:
		r.Undoing = true
		if r.Why == "" {
			r.Why = "a step says undo"
		}
	default:
		r.jump(place)
	}
}

// Next is the number of the entry that is due.
func (r *Run) Next() uint64 { return r.next }

// Open is the order that was intended and of which nothing more is known.
func (r *Run) Open() *Order {
	if r.open == nil {
		return nil
	}
	return r.open.Order
}
