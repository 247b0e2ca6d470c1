package daybook

import (
	"encoding/json"
	"fmt"
	"io"
	iofs "io/fs"
	"strings"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/operations/runbook"
)

// Keys: the holder, and each entry under its run and number.
const (
	holderKey = "holder"
	entries   = "entry/"
	lockFile  = "holder.lock"
	whoFile   = "holder.txt" // for whoever finds it locked; the lock is what counts
)

// Errors of a daybook.
var (
	ErrHeld   = errors.New("another operator holds this runbook")
	ErrFenced = errors.New("another operator has taken this runbook over")
)

// Holder identifies the process that may write to a daybook.
type Holder struct {
	No  uint64    `json:"no"` // rises with each who holds it
	Who string    `json:"who"`
	At  time.Time `json:"at"`
}

// Daybook holds all runs of one runbook; this process holds its lock.
type Daybook struct {
	db   *pebble.DB
	lock io.Closer
	me   Holder
}

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(format string, a ...any) {
	panic(fmt.Sprintf(format, a...))
}

// Open takes hold of a folder. The lock goes with the process; it is one of the
// machine, and says nothing of other machines.
func Open(fs vfs.FS, dir, who string, now time.Time) (_ *Daybook, err error) {
	if err := folder(fs, dir); err != nil {
		return nil, errors.Wrap(err, "daybook")
	}
	lock, err := fs.Lock(fs.PathJoin(dir, lockFile))
	if err != nil {
		return nil, errors.WithMessage(ErrHeld, Who(fs, dir))
	}
	defer func() {
		if err != nil {
			_ = lock.Close()
		}
	}()
	db, err := pebble.Open(fs.PathJoin(dir, "db"), &pebble.Options{FS: fs, Logger: quiet{}, MemTableSize: 1 << 20, FormatMajorVersion: pebble.FormatNewest})
	if err != nil {
		return nil, errors.Wrap(err, "daybook")
	}
	d := &Daybook{db: db, lock: lock}
	was, err := d.holder()
	if err == nil {
		d.me = Holder{was.No + 1, who, now.UTC()}
		err = d.set(holderKey, d.me)
	}
	if err == nil {
		err = writeWho(fs, dir, d.me)
	}
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return d, nil
}

// folder makes a folder that lasts, and so do those above it: a journal that is
// gone with the power would have its orders given again.
func folder(fs vfs.FS, dir string) error {
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for at := dir; ; {
		above := fs.PathDir(at)
		d, err := fs.OpenDir(above)
		if errors.Is(err, iofs.ErrPermission) {
			return nil // not this user's, so it was there before
		}
		if err != nil {
			return err
		}
		err = d.Sync()
		if e := d.Close(); err == nil {
			err = e
		}
		if err != nil || above == at || above == "." {
			return err
		}
		at = above
	}
}

func writeWho(fs vfs.FS, dir string, h Holder) error {
	f, err := fs.Create(fs.PathJoin(dir, whoFile), vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrap(err, "daybook")
	}
	_, err = fmt.Fprintf(f, "%s since %s, as holder %d", h.Who, h.At.Format(time.RFC3339), h.No)
	if e := f.Close(); err == nil {
		err = e
	}
	return errors.Wrap(err, "daybook")
}

// Who is who held a folder last, as far as can be told without holding it.
func Who(fs vfs.FS, dir string) string {
	f, err := fs.Open(fs.PathJoin(dir, whoFile))
	if err != nil {
		return "somebody"
	}
	defer f.Close()
	text, _ := io.ReadAll(io.LimitReader(f, 1000))
	return strings.TrimSpace(string(text))
}

// Me is the holder that this process is.
func (d *Daybook) Me() Holder { return d.me }

// Close releases the lock.
func (d *Daybook) Close() error {
	err := d.db.Close()
	if e := d.lock.Close(); err == nil {
		err = e
	}
	return errors.Wrap(err, "daybook")
}

func (d *Daybook) holder() (h Holder, err error) {
	err = d.get(holderKey, &h)
	return h, err
}

// get leaves to as it is where there is no such key.
func (d *Daybook) get(key string, to any) error {
	v, closer, err := d.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "daybook")
	}
	defer closer.Close()
	return errors.Wrap(json.Unmarshal(v, to), "daybook: "+key)
}

// set writes and syncs.
func (d *Daybook) set(key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "daybook")
	}
	return errors.Wrap(d.db.Set([]byte(key), text, pebble.Sync), "daybook")
}

func key(run string, no uint64) string { return fmt.Sprintf("%s%s/%016x", entries, run, no) }

// Append writes the next entry of a run. The entry is durable when nil is returned.
func (d *Daybook) Append(run string, e *runbook.Entry) error {
	if h, err := d.holder(); err != nil {
		return err
	} else if h.No != d.me.No {
		return errors.WithMessagef(ErrFenced, "%s, as holder %d", h.Who, h.No)
	}
	e.Holder = d.me.No
	if e.By == "" {
		e.By = d.me.Who
	}
	_, closer, err := d.db.Get([]byte(key(run, e.No)))
	if err == nil {
		_ = closer.Close()
		return errors.Errorf("daybook: run %s has an entry %d already", run, e.No)
	}
	if !errors.Is(err, pebble.ErrNotFound) {
		return errors.Wrap(err, "daybook")
	}
	return d.set(key(run, e.No), e)
}

// Entries are those of a run, in order.
func (d *Daybook) Entries(run string) (all []*runbook.Entry, err error) {
	err = d.each(entries+run+"/", func(_ string, value []byte) error {
		e := &runbook.Entry{}
		all = append(all, e)
		return errors.Wrapf(json.Unmarshal(value, e), "daybook: run %s, entry %d", run, len(all)-1)
	})
	return all, err
}

// Runs are the names of all runs, in order.
func (d *Daybook) Runs() (names []string, err error) {
	err = d.each(entries, func(key string, _ []byte) error {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, entries), "/")
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
		return nil
	})
	return names, err
}

func (d *Daybook) each(prefix string, visit func(key string, value []byte) error) error {
	it, err := d.db.NewIter(&pebble.IterOptions{LowerBound: []byte(prefix), UpperBound: append([]byte(prefix), 0xff)})
	if err != nil {
		return errors.Wrap(err, "daybook")
	}
	defer it.Close()
	for ok := it.First(); ok; ok = it.Next() {
		if err := visit(string(it.Key()), it.Value()); err != nil {
			return err
		}
	}
	return errors.Wrap(it.Error(), "daybook")
}

// Load takes a run in as far as it is written down; nil: there is none of that name.
func (d *Daybook) Load(run string) (*runbook.Run, []*runbook.Entry, error) {
	all, err := d.Entries(run)
	if err != nil || len(all) == 0 {
		return nil, nil, err
	}
	r := &runbook.Run{}
	for _, e := range all {
		if err := r.Apply(e); err != nil {
			return nil, all, errors.WithMessage(err, "run "+run)
		}
	}
	return r, all, nil
}

// Page is the journal of one run in a daybook.
type Page struct {
	Book *Daybook
	Run  string
}

// Append writes the run's next entry.
func (p Page) Append(e *runbook.Entry) error { return p.Book.Append(p.Run, e) }
