package audit

import (
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Ledger stamps what several goroutines see and hands it to one Judge.
type Ledger struct {
	clock world.Clock
	begun time.Time

	mu    sync.Mutex
	judge *Judge
	seen  int
}

// NewLedger begins now.
func NewLedger(c world.Clock, r Rules) *Ledger {
	return &Ledger{clock: c, begun: c.Now(), judge: NewJudge(r)}
}

// Note takes in what is seen at this moment.
func (l *Ledger) Note(ev Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen++
	l.judge.Note(l.clock.Now().Sub(l.begun), ev)
}

// Seen returns how many events were noted.
func (l *Ledger) Seen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// Breaks returns the breaks so far.
func (l *Ledger) Breaks() []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Break(nil), l.judge.Breaks()...)
}

// HighestUse returns the highest use of any ceiling so far; 1 is the whole store.
func (l *Ledger) HighestUse() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge.HighestUse()
}

// Finish ends the ledger and returns all breaks.
func (l *Ledger) Finish() []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge.Finish(l.clock.Now().Sub(l.begun))
}
