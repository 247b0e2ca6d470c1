package statestore

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// FolderState is the state of a store's folder at the start.
type FolderState int

// The states of a folder.
const (
	Empty   FolderState = iota // there is no record
	Intact                     // everything that was ever synced is there
	Damaged                    // files are missing or unreadable, so something may be lost
)

// ErrNoDisk is returned by Store.Wait if there is no disk.
var ErrNoDisk = errors.New("statestore: no disk")

// Contents is what a replica keeps: its record and the configurations that the record references.
type Contents struct {
	Record  quorum.Record
	Configs map[state.Digest]*peerlink.Configuration
}

// referencedConfigs returns the configurations that a record references: the decided one and, if different, the
// accepted one.
func referencedConfigs(r *quorum.Record) (all []state.ConfigID) {
	if r.Decided.Config.Gen > 0 {
		all = append(all, r.Decided.Config)
	}
	if r.Value != nil && r.Value.Config.Gen > 0 && r.Value.Config != r.Decided.Config {
		all = append(all, r.Value.Config)
	}
	return all
}

// DropUnreferenced drops the configurations that the record does not reference.
func (c *Contents) DropUnreferenced() {
	ids := referencedConfigs(&c.Record)
	maps.DeleteFunc(c.Configs, func(d state.Digest, _ *peerlink.Configuration) bool {
		return !slices.ContainsFunc(ids, func(id state.ConfigID) bool { return id.Digest == d })
	})
}

// Store writes a replica's contents, one file at a time, in one goroutine. Contents that are put during a write
// replace any that are still pending, so that nothing queues up behind a slow disk.
type Store struct {
	disk world.Disk // nil if there is none
	dir  string

	mu            sync.Mutex
	pending       *Contents       // not yet on disk; nil if everything is
	lastPut       uint64          // number of the last Put
	synced        uint64          // number of the newest Put that is on disk
	onDisk        map[string]bool // names of the configuration files on disk
	census        []string        // as last written or read
	pendingCensus []string        // to be written; nil if nothing is
	lastError     error           // of the last write; nil if it succeeded
	waiters       []waiter
	wake          chan struct{} // buffers one signal to the writer
}

// waiter waits until a Put is on disk.
type waiter struct {
	put  uint64
	done chan error
}

// Open reads a folder and removes files of a store that the record does not reference. A nil disk is treated as an
// empty one. The store can be used even if the error is not nil; the error says why the folder could not be read.
func Open(disk world.Disk, dir string) (*Store, Contents, FolderState, error) {
	s := &Store{disk: disk, dir: dir, onDisk: map[string]bool{}, wake: make(chan struct{}, 1)}
	contents := Contents{Configs: map[state.Digest]*peerlink.Configuration{}}
	if disk == nil {
		return s, contents, Empty, nil
	}
	if err := disk.MkdirAll(dir); err != nil {
		return s, contents, Damaged, errors.Wrap(err, "statestore")
	}
	names, err := disk.List(dir)
	if err != nil {
		return s, contents, Damaged, errors.Wrap(err, "statestore")
	}
	found, err := load(disk, dir, &contents)
	if _, body, censusErr := readFile(disk, dir, censusFile); censusErr == nil && body != nil {
		_ = json.Unmarshal(body, &s.census) // if it fails, the agents report the nodes again
	}
	for _, id := range referencedConfigs(&contents.Record) {
		s.onDisk[configName(id.Digest)] = true
	}
	for _, name := range names {
		if isStoreFile(name) && name != recordFile && name != censusFile && !s.onDisk[name] {
			_ = disk.Remove(filepath.Join(dir, name))
		}
	}
	return s, contents, found, err
}

// isStoreFile reports whether a store may have written a file of this name.
func isStoreFile(name string) bool {
	name = strings.TrimSuffix(name, tempSuffix)
	return name == recordFile || name == censusFile || strings.HasPrefix(name, configPrefix)
}

// load reads the record and its configurations. If any of them is damaged or missing, nothing is used, as a promise
// may have been lost.
func load(disk world.Disk, dir string, c *Contents) (FolderState, error) {
	_, body, err := readFile(disk, dir, recordFile)
	if err != nil {
		return Damaged, err
	}
	if body == nil {
		return Empty, nil
	}
	var record quorum.Record
	if err := json.Unmarshal(body, &record); err != nil {
		return Damaged, errors.Wrap(err, recordFile)
	}
	configs := map[state.Digest]*peerlink.Configuration{}
	for _, id := range referencedConfigs(&record) {
		_, body, err := readFile(disk, dir, configName(id.Digest))
		if err == nil && (body == nil || sha256.Sum256(body) != id.Digest) {
			err = errors.Errorf("%s: not the configuration that the record names", configName(id.Digest))
		}
		if err != nil {
			return Damaged, err
		}
		configs[id.Digest] = (&peerlink.Configuration{Gen: id.Gen, Digest: id.Digest, Body: body}).Pack()
	}
	c.Record, c.Configs = record, configs
	return Intact, nil
}

// LastError returns why the last write failed, or nil if it succeeded.
func (s *Store) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastError
}

// Census returns the names of nodes that were last read or written.
func (s *Store) Census() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.census
}

// SaveCensus has the names of all nodes ever seen written in the background.
func (s *Store) SaveCensus(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCensus = slices.Clone(names)
	s.wakeWriter()
}

// Put has contents written in the background and returns the number to pass to Wait. The maps and states in c must not
// change afterwards; configurations are shared.
func (s *Store) Put(c Contents) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Configs = maps.Clone(c.Configs)
	s.pending = &c
	s.lastPut++
	s.wakeWriter()
	return s.lastPut
}

// RetryPending retries to write contents whose last write failed.
func (s *Store) RetryPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		s.wakeWriter()
	}
}

// Wait returns nil once the Put with this number, or a later one, is on disk. Otherwise it returns the error of the
// disk, ErrNoDisk, or the error of ctx if that ends first.
func (s *Store) Wait(ctx context.Context, number uint64) error {
	s.mu.Lock()
	if s.disk == nil {
		s.mu.Unlock()
		return ErrNoDisk
	}
	if s.synced >= number {
		s.mu.Unlock()
		return nil
	}
	w := waiter{number, make(chan error, 1)}
	s.waiters = append(s.waiters, w)
	s.wakeWriter()
	s.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "statestore")
	}
}

// wakeWriter signals the writer that something is pending.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run writes what is pending until ctx ends.
func (s *Store) Run(ctx context.Context) {
	if s.disk == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil && s.writeNext() {
		}
	}
}

// writeNext writes what is pending and reports whether it succeeded in writing something.
func (s *Store) writeNext() bool {
	s.mu.Lock()
	contents, number, census := s.pending, s.lastPut, s.pendingCensus
	s.pendingCensus = nil
	s.mu.Unlock()
	switch {
	case contents != nil:
		return s.finishPut(contents, number, s.writeContents(contents))
	case census != nil:
		err := writeFile(s.disk, s.dir, censusFile, encodeFile(censusFile, 0, encodeJSON(census)))
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lastError = err; err == nil {
			s.census = census
		}
		return err == nil
	}
	return false
}

// writeContents writes configurations before the record that references them, and removes other configurations after
// it.
func (s *Store) writeContents(c *Contents) error {
	referenced := map[string]bool{}
	for _, id := range referencedConfigs(&c.Record) {
		name := configName(id.Digest)
		referenced[name] = true
		if s.onDisk[name] {
			continue
		}
		config := c.Configs[id.Digest]
		if config == nil {
			return errors.Errorf("statestore: configuration %s is missing from the contents", name)
		}
		if err := writeFile(s.disk, s.dir, name, encodeFile(configKind, id.Gen, config.Body)); err != nil {
			return err
		}
		s.onDisk[name] = true
	}
	if err := writeFile(s.disk, s.dir, recordFile, encodeFile(recordFile, c.Record.Decided.Version, encodeJSON(c.Record))); err != nil {
		return err
	}
	for name := range s.onDisk {
		if !referenced[name] {
			_ = s.disk.Remove(filepath.Join(s.dir, name)) // if it fails, the next start removes the file
			delete(s.onDisk, name)
		}
	}
	return nil
}

// finishPut records the result of a write, reports it to waiting callers and returns whether it succeeded.
func (s *Store) finishPut(c *Contents, number uint64, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastError = err
	if err == nil {
		s.synced = number
		if s.pending == c {
			s.pending = nil
		}
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		if w.put > number {
			return false
		}
		w.done <- err
		return true
	})
	return err == nil
}

func encodeJSON(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: the values are plain structs
	}
	return append(body, '\n')
}
