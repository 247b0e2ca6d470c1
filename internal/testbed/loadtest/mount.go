package loadtest

import (
	"os"
	"sync"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// mount is the disk as one process sees it: nothing is done to it any more once that was killed.
type mount struct {
	disk world.RealDisk

	mu    sync.RWMutex
	ended bool
}

// end returns when nothing is under way.
func (m *mount) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
}

func (m *mount) do(f func() error) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.ended {
		return os.ErrClosed
	}
	return f()
}

func (m *mount) MkdirAll(dir string) error { return m.do(func() error { return m.disk.MkdirAll(dir) }) }

func (m *mount) List(dir string) (names []string, err error) {
	err = m.do(func() error { names, err = m.disk.List(dir); return err })
	return names, err
}

func (m *mount) ReadFile(path string) (text []byte, err error) {
	err = m.do(func() error { text, err = m.disk.ReadFile(path); return err })
	return text, err
}

func (m *mount) Create(path string) (f world.DiskFile, err error) {
	err = m.do(func() error { f, err = m.disk.Create(path); return err })
	return f, err
}

func (m *mount) Rename(from, to string) error {
	return m.do(func() error { return m.disk.Rename(from, to) })
}

func (m *mount) Remove(path string) error { return m.do(func() error { return m.disk.Remove(path) }) }

func (m *mount) SyncDir(dir string) error { return m.do(func() error { return m.disk.SyncDir(dir) }) }
