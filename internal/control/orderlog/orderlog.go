package orderlog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
)

// Bounds of a log.
const (
	maxQueued     = 64   // orders waiting to be written; further ones are dropped
	maxKept       = 4096 // orders kept on disk; older ones are removed at the start
	memTableBytes = 256 << 10
	cacheBytes    = 256 << 10
	maxOpenFiles  = 32
	syncDelay     = 500 * time.Millisecond // between a write and its sync, as acknowledgements of orders need the same disk
)

// Log writes orders to disk in the background, so that a slow or failing disk blocks no caller.
type Log struct {
	log   logr.Logger
	queue chan api.Order
	quit  chan struct{}
	done  chan struct{}
	store *pebble.DB
	next  uint64 // key of the next entry
}

// Open opens the log in the folder dir in the background, after a delay. Once the log is open it calls onOpen with up
// to maxRead of the newest earlier orders, oldest first. If the log cannot be opened, it keeps nothing.
func Open(fs vfs.FS, dir string, delay time.Duration, maxRead int, log logr.Logger, onOpen func([]api.Order)) *Log {
	t := &Log{log: log, queue: make(chan api.Order, maxQueued), quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(t.done)
		select {
		case <-time.After(delay):
		case <-t.quit:
			return
		}
		if err := t.open(fs, dir); err != nil {
			log.Info("cannot open the order log", "why", err.Error())
			return
		}
		onOpen(t.read(maxRead))
		t.run()
	}()
	return t
}

// Append queues an order to be written. It never blocks; the order is dropped if the queue is full.
func (t *Log) Append(o api.Order) {
	select {
	case t.queue <- o:
	default:
	}
}

// Close ends the log. It waits at most d for pending writes.
func (t *Log) Close(d time.Duration) {
	close(t.quit)
	select {
	case <-t.done:
	case <-time.After(d):
	}
}

func (t *Log) open(fs vfs.FS, dir string) error {
	blocks := pebble.NewCache(cacheBytes)
	defer blocks.Unref()
	// Pebble starts no periodic disk health check for a file system that the caller passes.
	opts := func() *pebble.Options {
		return &pebble.Options{FS: fs, Cache: blocks, MemTableSize: memTableBytes, MaxOpenFiles: maxOpenFiles, FormatMajorVersion: pebble.FormatNewest, Logger: pebbleLogger{t.log}}
	}
	var err error
	if t.store, err = pebble.Open(dir, opts()); pebble.IsCorruptionError(err) {
		t.log.Info("order log is corrupt, starting a new one", "why", err.Error())
		if err = fs.RemoveAll(dir); err == nil {
			t.store, err = pebble.Open(dir, opts())
		}
	}
	return errors.Wrap(err, "order log")
}

// read returns up to maxRead of the newest orders, oldest first, and removes all but the newest maxKept from disk.
func (t *Log) read(maxRead int) []api.Order {
	it, err := t.store.NewIter(nil)
	if err != nil {
		t.log.Info("cannot read the order log", "why", err.Error())
		return nil
	}
	var all []api.Order
	count := 0
	var last []byte
	for ok := it.Last(); ok && count < maxKept; ok = it.Prev() {
		if count == 0 && len(it.Key()) == 8 {
			t.next = binary.BigEndian.Uint64(it.Key()) + 1
		}
		var o api.Order
		if count++; len(all) < maxRead && json.Unmarshal(it.Value(), &o) == nil {
			all = append(all, o)
		}
		last = append(last[:0], it.Key()...)
	}
	if it.Valid() {
		if err := t.store.DeleteRange(make([]byte, 8), last, pebble.NoSync); err != nil {
			t.log.Info("cannot remove old entries of the order log", "why", err.Error())
		}
	}
	if err := it.Close(); err != nil {
		t.log.Info("cannot read the order log", "why", err.Error())
	}
	slices.Reverse(all)
	return all
}

func (t *Log) run() {
	var sync <-chan time.Time
	for open := true; open || len(t.queue) > 0; {
		select {
		case o := <-t.queue:
			if t.write(o); sync == nil {
				sync = time.After(syncDelay)
			}
		case <-sync:
			sync = nil
			if err := t.store.LogData(nil, pebble.Sync); err != nil {
				t.log.Info("cannot sync the order log", "why", err.Error())
			}
		case <-t.quit:
			open = false
		}
	}
	if err := t.store.Close(); err != nil {
		t.log.Info("cannot close the order log", "why", err.Error())
	}
}

func (t *Log) write(o api.Order) {
	value, err := json.Marshal(o)
	if err == nil {
		err = t.store.Set(binary.BigEndian.AppendUint64(nil, t.next), value, pebble.NoSync)
	}
	if t.next++; err != nil {
		t.log.Info("cannot write an order to the order log", "why", err.Error())
	}
}

// pebbleLogger passes error lines of the database to the replica's log.
type pebbleLogger struct{ log logr.Logger }

func (q pebbleLogger) Infof(string, ...any) {}

func (q pebbleLogger) Errorf(format string, args ...any) {
	q.log.Info("order log database reports an error", "why", fmt.Sprintf(format, args...))
}

// Fatalf must not return, but a full disk is no reason to end the replica. It blocks the calling goroutine of the
// database for good, and nothing is written to the log any more.
func (q pebbleLogger) Fatalf(format string, args ...any) {
	q.log.Info("order log database failed, no more orders are logged", "why", fmt.Sprintf(format, args...))
	select {}
}
