package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Compile makes a book of what an operator file names. mostUnits is the
// settings' largest; warnings are for the log.
type Compile func(ctx context.Context, l *operator.Loaded, mostUnits float64) (book []byte, warnings string, err error)

// books finds the table that requests are read by, and keeps the book in force
// until its revision may follow.
type books struct {
	given   string // where a supervisor puts the book; empty: there is none
	compile Compile
	cfg     *node.Config
	clock   world.Clock
	force   *routebook.Book // nil: none yet
}

func newBooks(o *Options, cfg *node.Config) *books {
	return &books{given: o.Book, compile: o.Compile, cfg: cfg, clock: o.Clock}
}

// tuning makes a node's figures of an operator file: all of it or an error. A
// revision that has to be accepted first leaves the book before in force.
func (b *books) tuning(ctx context.Context, l *operator.Loaded) (node.Tuning, error) {
	t := TuningOf(l)
	if !l.Routes.On() && (b.given == "" || l.Revision == "") {
		b.force = nil
		return t, nil
	}
	book, err := b.read(ctx, l)
	if err != nil {
		return t, err
	}
	if why := b.waits(l, book); len(why) > 0 {
		slog.Warn("a revision of the route book waits to be accepted; the old one stays in force", "in_force", b.force.Generation,
			"revision", book.Generation, "why", strings.Join(why, "; "), "accept_with", fmt.Sprintf("routes.accept = [%q]", book.Generation))
		t.PendingRevision = book.Generation
		book = b.force
	}
	ring, libraries, err := l.Ring()
	if err != nil {
		return t, err
	}
	if t.Routes, err = routing.NewTable(&b.cfg.Settings, book, ring, libraries, l.Routes.Options()); err != nil {
		return t, fmt.Errorf("%s: the route book %s does not fit the settings:\n%w", l.Path, book.Generation, err)
	}
	b.force = book
	return t, nil
}

// waits tells why a revision must not come into force yet. What a supervisor
// orders by its revision was looked at there.
func (b *books) waits(l *operator.Loaded, next *routebook.Book) []string {
	if b.force == nil || next.Generation == b.force.Generation || l.Revision == next.Generation || slices.Contains(l.Routes.Accept, next.Generation) {
		return nil
	}
	return routebook.Review(b.force, next, l.Routes.DropPart)
}

const (
	bookPause = 50 * time.Millisecond // a book that can't be used may be half written: it is read again
	bookTries = 40
)

// read gets the book: the one that a supervisor gave, the operator file's, or
// one compiled from its description.
func (b *books) read(ctx context.Context, l *operator.Loaded) (*routebook.Book, error) {
	path := b.given
	if path == "" {
		path = l.Beside(l.Routes.Book)
	}
	if path == "" {
		return b.make(ctx, l)
	}
	for try := 1; ; try++ {
		book, err := readBook(path)
		if err == nil && l.Revision != "" && l.Revision != book.Generation {
			err = fmt.Errorf("%s is of revision %s; %s asks for %s", path, book.Generation, l.Path, l.Revision)
		}
		if err == nil || try >= bookTries {
			return book, err
		}
		if try == 1 {
			slog.Info("route book can't be used yet; it is read again", "err", err)
		}
		if !world.Sleep(ctx, b.clock, bookPause) {
			return nil, ctx.Err()
		}
	}
}

func readBook(path string) (*routebook.Book, error) {
	text, err := conffile.ReadUpTo(path, bookfile.MostBytes)
	if err != nil {
		return nil, err
	}
	book, err := bookfile.Decode(text, bookfile.Served)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return book, nil
}

// errNoCompiler tells that this program reads compiled books alone.
var errNoCompiler = errors.New("this program reads compiled books only: run `pepperfall routes compile` and name the book in routes.book")

func (b *books) make(ctx context.Context, l *operator.Loaded) (*routebook.Book, error) {
	if b.compile == nil {
		return nil, fmt.Errorf("%s: routes: %w", l.Path, errNoCompiler)
	}
	text, warnings, err := b.compile(ctx, l, max(b.cfg.Settings.MaxRequestUnits, 1))
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(warnings, "\n") {
		if line != "" {
			slog.Warn("routes", "file", l.Path, "say", line)
		}
	}
	return bookfile.Decode(text, bookfile.Served)
}

// watched tells whether a new description or book is to be taken unasked. What
// a supervisor gives comes with a signal.
func (b *books) watched(l *operator.Loaded) bool {
	return b.given == "" && l.Routes.Watch && l.Routes.On()
}

// look tells the description's or book's state, so that a change is seen;
// empty: it can't be told.
func (b *books) look(l *operator.Loaded) string {
	return Look(l.Source())
}

// Look tells a file's state: another text gives another state, but for one of
// equal length written within the clock's step. Empty: it can't be told.
func Look(path string) string {
	st, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(st.Size(), st.ModTime().UnixNano(), inode(st))
}
