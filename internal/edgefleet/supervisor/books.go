package supervisor

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Pending is a revision of the route book that waits to be accepted.
type Pending struct {
	Revision string   `json:"revision"`
	InForce  string   `json:"in_force"`
	Why      []string `json:"why"`
}

// String tells what an operator has to know and do.
func (p *Pending) String() string {
	return fmt.Sprintf("revision %s of the route book waits to be accepted, %s stays in force: %s; to accept it, put %q into routes.accept and reload",
		p.Revision, p.InForce, strings.Join(p.Why, "; "), p.Revision)
}

// ReadBook reads what Load leaves out: the book that the operator file asks for,
// compiled by a process of its own or read as it is. It checks that every
// instance could serve by it; the error holds every reason why not.
func (l *Loaded) ReadBook(ctx context.Context, compile daemon.Compile) (warnings string, err error) {
	op := l.Op
	l.Book, l.Revision = nil, ""
	if op == nil || !op.Routes.On() {
		return "", nil
	}
	l.seen = l.look() // before it is read: what changes meanwhile is seen
	facts, err := wire.SettingPairsFromJSON(l.SettingsJSON)
	if err != nil {
		return "", err
	}
	set, err := facts.Settings()
	if err != nil {
		return "", err
	}
	set.Gateways = l.Nodes.Count
	if path := op.Beside(op.Routes.Book); path != "" {
		if l.Book, err = conffile.ReadUpTo(path, bookfile.MostBytes); err != nil {
			return "", err
		}
	} else {
		if compile == nil {
			return "", errors.New("nothing here compiles descriptions")
		}
		if l.Book, warnings, err = compile(ctx, op, max(set.MaxRequestUnits, 1)); err != nil {
			return "", err
		}
	}
	book, err := bookfile.Decode(l.Book, bookfile.Served)
	if err != nil {
		return "", conffile.Fault{File: op.Path, Key: "routes", Text: err.Error()}
	}
	ring, libraries, err := op.Ring()
	if err != nil {
		return "", err
	}
	if _, err := routing.NewTable(&set, book, ring, libraries, op.Routes.Options()); err != nil {
		return "", conffile.Fault{File: op.Path, Key: "routes", Text: "the book does not fit the settings:\n" + err.Error()}
	}
	l.Revision = book.Generation
	return warnings, nil
}

// holdBack keeps the book in force where the new one has to be accepted first.
func (l *Loaded) holdBack(inForce []byte) (*Pending, error) {
	if l.Book == nil || inForce == nil {
		return nil, nil
	}
	old, err := bookfile.Decode(inForce, bookfile.Served)
	if err != nil {
		return nil, fmt.Errorf("the book in force: %w", err)
	}
	next, err := bookfile.Decode(l.Book, bookfile.Served)
	if err != nil {
		return nil, err
	}
	if next.Generation == old.Generation || slices.Contains(l.Op.Routes.Accept, next.Generation) {
		return nil, nil
	}
	why := routebook.Review(old, next, l.Op.Routes.DropPart)
	if len(why) == 0 {
		return nil, nil
	}
	l.Book, l.Revision = inForce, old.Generation
	return &Pending{Revision: next.Generation, InForce: old.Generation, Why: why}, nil
}

func (s *Supervisor) bookPath(i int) string { return filepath.Join(s.instanceDir(i), "book") }

// loaded is a fleet file with all that it names, read beside the loop: a
// description takes its time.
type loaded struct {
	l        *Loaded
	warnings string
	err      error
	c        *control
}

// read reads the fleet file anew and hands it to the loop.
func (s *Supervisor) read(c *control) {
	s.reading = true
	s.wg.Go(func() {
		l, err := Load(s.path)
		warnings := ""
		if err == nil {
			warnings, err = l.ReadBook(s.ctx, s.compile)
		}
		s.post(loaded{l, warnings, err, c})
	})
}

// changed tells that a watched description or book is another.
type changed struct{}

// watch looks at the description or book while the operator file says so, and
// tells the loop once of each state that is not the one that was read.
func (s *Supervisor) watch() {
	told := ""
	for every := firstWatch; world.Sleep(s.ctx, s.world, every); {
		l := s.watched.Load()
		if l.Op == nil || !l.Op.Routes.Watch || !l.Op.Routes.On() {
			told, every = "", firstWatch
			continue
		}
		every = time.Duration(l.Op.Routes.WatchMS) * time.Millisecond
		if is := l.look(); is != "" && is != l.seen && is != told {
			told = is
			s.post(changed{})
		}
	}
}

const firstWatch = time.Second // between two looks at whether there is anything to watch

// look tells the state of the description or book; empty: it can't be told.
func (l *Loaded) look() string {
	return daemon.Look(l.Op.Source())
}

// retake reads all anew after a watched file has changed; while a roll is on it
// waits for that.
func (s *Supervisor) retake() {
	if s.reading {
		s.again = true
		return
	}
	if _, on := s.planner.Rolling(); on {
		s.again = true
		return
	}
	s.again = false
	s.log.Info("a watched file has changed")
	s.read(nil)
}

// inForce is the book of the generation that new starts get, and its revision.
func (s *Supervisor) inForce() (book []byte, revision string) {
	g, err := s.recall(s.planner.Generation())
	if err != nil {
		return nil, ""
	}
	return g.Book, g.Revision
}
