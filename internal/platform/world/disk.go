package world

import (
	"io"
	"os"
)

// Disk keeps files over the end of a process, and of a machine's power once
// they and their folders have been synced.
type Disk interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error) // names of the files in it; none where there is no such folder
	ReadFile(path string) ([]byte, error)
	Create(path string) (DiskFile, error) // an empty file, in place of one that is there
	Rename(from, to string) error         // lasts once SyncDir has returned
	Remove(path string) error             // so does this
	SyncDir(dir string) error
}

// DiskFile is a file that is being written.
type DiskFile interface {
	io.Writer
	Sync() error // what was written lasts, and with it the name of a new file
	Close() error
}

// RealDisk is the machine's own.
type RealDisk struct{}

// MkdirAll makes a folder and those above it.
func (RealDisk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o755) }

// List names the files in a folder, in order.
func (RealDisk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if os.IsNotExist(err) {
		return nil, nil
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// ReadFile reads a whole file.
func (RealDisk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens an empty file.
func (RealDisk) Create(path string) (DiskFile, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename gives a file another name, in place of one that has it.
func (RealDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (RealDisk) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a folder last.
func (RealDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if e := d.Close(); err == nil {
		err = e
	}
	return err
}
