package sim

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Disk is a disk in memory. What was not synced is lost with the power, each
// piece on its own: there, missing or torn.
type Disk struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	files   map[string]*file // as programs see them
	synced  map[string]*file // names that last
	life    int              // rises with each end of a process: what it mounted is dead
	dead    chan struct{}    // closed when it rises
	full    bool
	latency time.Duration
	hang    chan struct{} // closed when a hanging disk goes on
}

type file struct {
	data []byte // as programs see it
	safe []byte // what its last sync covered
	kept bool   // it was synced once
}

// NewDisk makes an empty disk whose chances follow from a seed.
func NewDisk(seed uint64) *Disk {
	return &Disk{rnd: rand.New(rand.NewPCG(seed, 0x6469736b)), files: map[string]*file{}, synced: map[string]*file{}, dead: make(chan struct{})}
}

// Mount is the disk as one process sees it, until the process ends.
type Mount struct {
	d    *Disk
	life int
	dead chan struct{}
}

// Mount returns the disk for a process that starts.
func (d *Disk) Mount() *Mount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Mount{d, d.life, d.dead}
}

// Kill ends the process: the disk stays as the process saw it.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.end()
}

func (d *Disk) end() {
	d.life++
	close(d.dead)
	d.dead = make(chan struct{})
}

// SetFull makes the disk take no more bytes, or take them again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// SetLatency makes each operation that waits for the disk take so long.
func (d *Disk) SetLatency(l time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = l
}

// Hang makes everything that waits for the disk wait until Release.
func (d *Disk) Hang() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hang == nil {
		d.hang = make(chan struct{})
	}
}

// Release ends a Hang.
func (d *Disk) Release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hang != nil {
		close(d.hang)
		d.hang = nil
	}
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.end()
	clear(d.files)
	clear(d.synced)
}

// PowerLoss loses what was not synced: of each such file nothing, a part or all
// is left, and names are as at the last sync of their folder or as they were.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.end()
	after := map[string]*file{}
	names := slices.Sorted(maps.Keys(d.files))
	for n := range d.synced {
		if d.files[n] == nil {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		f := d.files[n]
		if d.synced[n] != f && d.rnd.IntN(2) == 0 {
			f = d.synced[n] // renames and removals undone
		}
		if f == nil {
			continue
		}
		left := &file{data: slices.Clone(f.safe), safe: slices.Clone(f.safe), kept: f.kept}
		if !slices.Equal(f.data, f.safe) {
			switch k := d.rnd.IntN(4); {
			case k == 0 && !f.kept:
				continue
			case k == 1:
				left.data = slices.Clone(f.data)
			case k == 2:
				left.data = slices.Clone(f.data[:d.rnd.IntN(len(f.data)+1)])
			case k == 3 && len(f.data) > 0:
				left.data = slices.Clone(f.data)
				for i := d.rnd.IntN(len(f.data)); i < len(f.data); i++ {
					left.data[i] = 0
				}
			}
		} else if !f.kept && d.rnd.IntN(2) == 0 {
			continue
		}
		left.safe, left.kept = slices.Clone(left.data), true
		after[n] = left
	}
	d.files, d.synced = after, maps.Clone(after)
}

// Spoil changes a byte in the middle of a file.
func (d *Disk) Spoil(path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[filepath.Clean(path)]; f != nil && len(f.data) > 0 {
		f.data[len(f.data)/2] ^= 0x20
	}
}

// enter waits for the disk and takes its mutex, unless the process has ended or
// the disk takes no more bytes.
func (m *Mount) enter(op, path string, writes bool) error {
	d := m.d
	d.mu.Lock()
	l, h := d.latency, d.hang
	d.mu.Unlock()
	if l > 0 && writes {
		time.Sleep(l)
	}
	if h != nil && writes {
		select {
		case <-h:
		case <-m.dead:
		}
	}
	d.mu.Lock()
	err := error(nil)
	switch {
	case m.life != d.life:
		err = syscall.EIO
	case d.full && (op == "write" || op == "sync"):
		err = syscall.ENOSPC
	default:
		return nil
	}
	d.mu.Unlock()
	return &fs.PathError{Op: op, Path: path, Err: err}
}

// MkdirAll makes a folder.
func (m *Mount) MkdirAll(string) error { return nil }

// List names the files in a folder, in order.
func (m *Mount) List(dir string) ([]string, error) {
	if err := m.enter("list", dir, false); err != nil {
		return nil, err
	}
	defer m.d.mu.Unlock()
	var names []string
	for n := range m.d.files {
		if filepath.Dir(n) == filepath.Clean(dir) {
			names = append(names, filepath.Base(n))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile reads a whole file.
func (m *Mount) ReadFile(path string) ([]byte, error) {
	if err := m.enter("open", path, false); err != nil {
		return nil, err
	}
	defer m.d.mu.Unlock()
	f := m.d.files[filepath.Clean(path)]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.data), nil
}

type opened struct {
	m    *Mount
	f    *file
	path string
}

// Create opens an empty file.
func (m *Mount) Create(path string) (world.DiskFile, error) {
	if err := m.enter("create", path, true); err != nil {
		return nil, err
	}
	defer m.d.mu.Unlock()
	path = filepath.Clean(path)
	f := &file{}
	m.d.files[path] = f
	return &opened{m, f, path}, nil
}

func (o *opened) Write(b []byte) (int, error) {
	if err := o.m.enter("write", o.path, true); err != nil {
		return 0, err
	}
	defer o.m.d.mu.Unlock()
	o.f.data = append(o.f.data, b...)
	return len(b), nil
}

// Sync makes the file last, and its name if it is new.
func (o *opened) Sync() error {
	if err := o.m.enter("sync", o.path, true); err != nil {
		return err
	}
	defer o.m.d.mu.Unlock()
	o.f.safe, o.f.kept = slices.Clone(o.f.data), true
	if o.m.d.files[o.path] == o.f {
		o.m.d.synced[o.path] = o.f
	}
	return nil
}

func (o *opened) Close() error { return nil }

// Rename gives a file another name.
func (m *Mount) Rename(from, to string) error {
	if err := m.enter("rename", from, true); err != nil {
		return err
	}
	defer m.d.mu.Unlock()
	from, to = filepath.Clean(from), filepath.Clean(to)
	f := m.d.files[from]
	if f == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.d.files, from)
	m.d.files[to] = f
	return nil
}

// Remove removes a file.
func (m *Mount) Remove(path string) error {
	if err := m.enter("remove", path, true); err != nil {
		return err
	}
	defer m.d.mu.Unlock()
	path = filepath.Clean(path)
	if m.d.files[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	delete(m.d.files, path)
	return nil
}

// SyncDir makes the names in a folder last.
func (m *Mount) SyncDir(dir string) error {
	if err := m.enter("sync", dir, true); err != nil {
		return err
	}
	d := m.d
	defer d.mu.Unlock()
	dir = filepath.Clean(dir)
	for n := range d.synced {
		if filepath.Dir(n) == dir && d.files[n] == nil {
			delete(d.synced, n)
		}
	}
	for n, f := range d.files {
		if filepath.Dir(n) == dir {
			d.synced[n] = f
		}
	}
	return nil
}
