package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	settle      = 50 * time.Millisecond // a file that changes within this is still being written
	settleTries = 40                    // looks at it, then it is taken as it is
)

// TuningOf turns an operator file into the node's figures.
func TuningOf(l *operator.Loaded) node.Tuning {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return node.Tuning{
		FirstRequest: ms(l.Clients.FirstRequestMS), WholeRequest: ms(l.Clients.WholeRequestMS), ClientIdle: ms(l.Clients.IdleMS),
		ClientWrite: ms(l.Clients.WriteMS), CloseUnused: l.Clients.EndUnused, ReuseDelay: ms(l.Upstream.RestMS),
		AnswerStall: ms(l.Upstream.StallMS), Discovery: l.Discovery.Address, Generation: l.Generation}
}

// reloader takes new operator files over: whole, or not at all.
type reloader struct {
	node  *node.Node
	clock world.Clock
	path  string
	force *operator.Loaded
	books *books
}

// run handles each signal and passes it on to the node, which reads the
// platform's configuration anew.
//
// Where the operator file says so, a new description or book is taken without
// a signal.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal, pass chan<- os.Signal) {
	seen := "" // the first look reads all once more: a file may have changed since it was read
	for {
		var due <-chan time.Time
		stop := func() bool { return true }
		if r.books.watched(r.force) {
			t := r.clock.NewTimer(time.Duration(r.force.Routes.WatchMS) * time.Millisecond)
			due, stop = t.C(), t.Stop
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			if is := r.books.look(r.force); is != seen && is != "" {
				seen = is
				r.reload(ctx)
			}
		case s := <-hup:
			select {
			case pass <- s:
			default: // one is waiting already
			}
			was, is := r.force, r.books.look(r.force)
			r.reload(ctx)
			if seen = is; r.force != was {
				seen = "" // the files may be others: they are looked at once more
			}
		}
		stop()
	}
}

// reload reads the file once it holds still, checks it whole and swaps.
func (r *reloader) reload(ctx context.Context) {
	next, text, err := r.settled(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if keys := operator.RestartKeys(&r.force.File, &next.File); len(keys) > 0 {
			err = fmt.Errorf("%s: %s: needs a restart to change; nothing of the file is taken over", r.path, strings.Join(keys, ", "))
		}
	}
	var t node.Tuning
	if err == nil {
		t, err = r.books.tuning(ctx, next)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t := r.node.Tuning()
		t.RefusedGeneration = operator.GenerationOf(text)
		slog.Error("operator file passed over; the old one stays in force", "in_force", r.force.Generation, "refused", t.RefusedGeneration, "err", err)
		r.node.Tune(t) // healthz tells of it once the cause is in the log
		return
	}
	old := r.force
	r.force = next
	r.node.Tune(t)
	for _, c := range conffile.Diff(old.File, next.File) {
		slog.Info("operator file: changed", "key", c.Key, "old", c.Old, "new", c.New)
	}
}

// settled reads the file until two looks in a row find the same text, and,
// where that text can't be used, until the tries are up: it may be half
// written.
func (r *reloader) settled(ctx context.Context) (l *operator.Loaded, text []byte, err error) {
	var before []byte
	for try := 1; ; try++ {
		text, err = conffile.Read(r.path)
		same := err == nil && before != nil && bytes.Equal(text, before)
		before = text
		if same || try >= settleTries {
			if err == nil {
				l, err = operator.Parse(r.path, text)
			}
			if err == nil || try >= settleTries || !unfinished(err) {
				return l, text, err
			}
		}
		if !world.Sleep(ctx, r.clock, settle) {
			return nil, text, ctx.Err()
		}
	}
}

// unfinished tells whether a fault may be that of a file not yet written to
// its end.
func unfinished(err error) bool {
	var faults conffile.Faults
	if !errors.As(err, &faults) {
		return true
	}
	for _, f := range faults {
		if f.Text == "unknown key" {
			return false
		}
	}
	return true
}
