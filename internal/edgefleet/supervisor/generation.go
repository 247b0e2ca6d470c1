package supervisor

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/platform/statefile"
)

// generation is all that a start or a reload of the instances rests on. Its
// name is that of the operator text, which carries a stamp of the rest, so
// that an instance tells by one name what it has in force.
type generation struct {
	Name     string
	Program  string
	Operator []byte
	Configs  [][]byte // by instance
	Book     []byte   // compiled; nil: none
	Revision string   // of the book
}

// generation makes the generation of what was loaded.
func (l *Loaded) generation() (*generation, error) {
	g := &generation{Program: l.Program}
	sum := sha256.New()
	fmt.Fprintf(sum, "%q", l.Program)
	for i := range l.Nodes.Count {
		c, err := l.config(i)
		if err != nil {
			return nil, err
		}
		g.Configs = append(g.Configs, c)
		sum.Write(c)
	}
	g.Operator = fmt.Appendf(nil, "# fleet %s, stamp %s\n", l.Name, hex.EncodeToString(sum.Sum(nil)[:8]))
	if l.Book != nil {
		g.Book, g.Revision = l.Book, l.Revision
		g.Operator = fmt.Appendf(g.Operator, "revision = %q # of the route book beside this file\n", l.Revision)
	}
	g.Operator = append(g.Operator, l.OperatorText...)
	g.Name = operator.GenerationOf(g.Operator)
	return g, nil
}

const generationsKept = 8

func (s *Supervisor) generationPath(name string) string {
	return filepath.Join(s.dir, "generations", name)
}

// keep writes a generation down, so that it can be gone back to, also by a
// supervisor that is started anew.
func (s *Supervisor) keep(g *generation) error {
	s.known[g.Name] = g
	return statefile.Save(s.generationPath(g.Name), g)
}

// recall finds a generation by its name.
func (s *Supervisor) recall(name string) (*generation, error) {
	if g := s.known[name]; g != nil {
		return g, nil
	}
	g := &generation{}
	note, err := statefile.Load(s.generationPath(name), g)
	if err != nil {
		return nil, err
	}
	if note != "" {
		s.log.Warn(note)
	}
	s.known[name] = g
	return g, nil
}

// prune forgets the oldest generations on disk but those in use.
func (s *Supervisor) prune() {
	list, err := os.ReadDir(filepath.Join(s.dir, "generations"))
	if err != nil || len(list) <= generationsKept {
		return
	}
	age := func(e os.DirEntry) time.Time {
		if st, err := e.Info(); err == nil {
			return st.ModTime()
		}
		return time.Time{}
	}
	slices.SortFunc(list, func(a, b os.DirEntry) int { return age(a).Compare(age(b)) })
	used := map[string]bool{s.planner.Generation(): true}
	for _, st := range s.planner.Status() {
		used[st.Generation] = true
	}
	for _, e := range list[:len(list)-generationsKept] {
		if name := strings.TrimSuffix(e.Name(), ".before"); !used[name] {
			os.Remove(filepath.Join(s.dir, "generations", e.Name()))
			delete(s.known, name)
		}
	}
}

// place puts a generation's files where an instance reads them.
func (s *Supervisor) place(i int, name string) (*generation, error) {
	g, err := s.recall(name)
	if err != nil {
		return nil, err
	}
	if i >= len(g.Configs) {
		return nil, fmt.Errorf("generation %s has %d instances", name, len(g.Configs))
	}
	files := []struct {
		path string
		text []byte
	}{{s.bookPath(i), g.Book}, {s.configPath(i), g.Configs[i]}, {s.operatorPath(i), g.Operator}} // what names the book is last
	for _, f := range files {
		if old, err := os.ReadFile(f.path); f.text == nil || err == nil && bytes.Equal(old, f.text) {
			continue
		}
		if err := statefile.Write(f.path, f.text, 0o600); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Need says what a change takes.
type Need int

// What a change takes.
const (
	Nothing Need = iota
	LiveReload
	RollingRestart
	FullStop // the fleet's own shape has changed
)

func (n Need) String() string {
	return [...]string{"nothing", "a reload", "a rolling restart", "a stop and a start of the fleet"}[n]
}

// Compare tells what changed between two loads and what that takes.
func Compare(old, new *Loaded) (need Need, changes []conffile.Change) {
	atLeast := func(n Need) { need = max(need, n) }
	for _, c := range conffile.Diff(old.File, new.File) {
		switch whenOf(c.Key) {
		case "fleet":
			atLeast(FullStop)
		case "start":
			atLeast(RollingRestart)
		default:
			continue // the operator file's path: its text counts
		}
		changes = append(changes, c)
	}
	if !bytes.Equal(old.SettingsJSON, new.SettingsJSON) {
		atLeast(RollingRestart)
		changes = append(changes, conffile.Change{Key: "settings", Old: "the file before", New: "another text", Restart: true})
	}
	for _, c := range conffile.Diff(old.OperatorFile, new.OperatorFile) {
		if c.Restart {
			atLeast(RollingRestart)
		} else {
			atLeast(LiveReload)
		}
		changes = append(changes, c)
	}
	if old.Revision != new.Revision {
		atLeast(LiveReload)
		changes = append(changes, conffile.Change{Key: "route book", Old: orNone(old.Revision), New: orNone(new.Revision)})
	}
	if !bytes.Equal(old.OperatorText, new.OperatorText) {
		atLeast(LiveReload)
	}
	return need, changes
}

// whenOf finds a key's tag.
func whenOf(key string) string {
	t := reflect.TypeFor[File]()
	when := ""
	for part := range strings.SplitSeq(key, ".") {
		for i := range t.NumField() {
			if name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ","); name == part {
				when = t.Field(i).Tag.Get("when")
				if t = t.Field(i).Type; t.Kind() != reflect.Struct {
					return when
				}
				break
			}
		}
	}
	return when
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
