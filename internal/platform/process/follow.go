package process

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Times of a settings file.
const (
	lookEvery   = 2 * time.Second        // at the file's size and time
	settle      = 100 * time.Millisecond // a text that changes within this is still being written
	settleTries = 20
)

// Follow takes new texts of a settings file over: whole or not at all.
type Follow struct {
	Path  string
	Clock world.Clock
	Log   logr.Logger
	Held  *settings.Settings       // in force at the start, and from then on
	Take  func(*settings.Settings) // puts new ones in force

	text []byte // looked at last, good or bad
	at   print  // of the file when it was
	sure bool   // it was looked at again since: two texts may have one length and one time
}

// print changes with a file.
type print struct{ at, size int64 }

func printOf(path string) (p print) {
	if i, err := os.Stat(path); err == nil {
		p.at, p.size = i.ModTime().UnixNano(), i.Size()
	}
	return p
}

// Run follows the file until ctx ends. It reads it now and then where it seems to have changed, and whenever it is told.
func (f *Follow) Run(ctx context.Context, told <-chan struct{}) {
	f.at, f.sure = printOf(f.Path), false
	t := f.Clock.NewTimer(lookEvery)
	defer t.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-told:
			forced = true
		case <-t.C():
			t.Reset(lookEvery)
		}
		is := printOf(f.Path)
		same := is == f.at
		if same && f.sure && !forced {
			continue
		}
		f.at, f.sure = is, same
		f.read(ctx, forced)
	}
}

// read looks at the text, and takes it over where it is another and good.
func (f *Follow) read(ctx context.Context, forced bool) {
	text, err := f.settled(ctx)
	if ctx.Err() != nil || err == nil && bytes.Equal(text, f.text) && !forced {
		return
	}
	f.text = text
	var next *settings.Settings
	if err == nil {
		next, err = settings.Parse(f.Path, text)
	}
	if err != nil {
		f.Log.Error(err, "settings not taken over; those held before stay in force")
		return
	}
	now, taken, waits := settings.Renew(f.Held, next)
	for _, c := range waits {
		f.Log.Info("settings: waits for a new start", "key", c.Key, "in_force", c.Old, "file", c.New)
	}
	if len(taken) == 0 {
		return
	}
	f.Held = now
	for _, c := range taken {
		f.Log.Info("settings: changed", "key", c.Key, "old", c.Old, "new", c.New)
	}
	f.Take(now)
}

// settled reads the file until two readings in a row give the same: half a text may be a good one.
func (f *Follow) settled(ctx context.Context) (text []byte, err error) {
	var before []byte
	for try := 0; try < settleTries; try++ {
		text, err = os.ReadFile(f.Path)
		if err == nil && before != nil && bytes.Equal(text, before) {
			return text, nil
		}
		if before = text; !world.Sleep(ctx, f.Clock, settle) {
			return nil, ctx.Err()
		}
	}
	return text, err
}
