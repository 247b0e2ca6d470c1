package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Lock is the lock of a named instance: whoever holds it is the instance, and
// its process id stands in the file. The kernel lets go of it when the process
// ends, however it ends; so a file left behind, or a process id that a stranger
// has now, means nothing.
type Lock struct{ f *os.File }

// ErrHeld tells that another process holds a lock.
var ErrHeld = errors.New("held by another process")

const (
	holdTries = 25 // a look at a lock holds it for a moment
	holdPause = 20 * time.Millisecond
)

// Hold takes a lock for the process that calls it.
func Hold(c world.Clock, path string) (*Lock, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("instance lock: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	for try := 1; try < holdTries && errors.Is(err, syscall.EWOULDBLOCK); try++ {
		world.Sleep(context.Background(), c, holdPause)
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	}
	if err != nil {
		pid := readPID(f)
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("instance lock %s: %w (process %d)", path, ErrHeld, pid)
		}
		return nil, fmt.Errorf("instance lock %s: %w", path, err)
	}
	if err := f.Truncate(0); err != nil {
		f.Close()
		return nil, fmt.Errorf("instance lock %s: %w", path, err)
	}
	if _, err := f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0); err != nil {
		f.Close()
		return nil, fmt.Errorf("instance lock %s: %w", path, err)
	}
	return &Lock{f}, nil
}

// Close lets go of it.
func (l *Lock) Close() error { return l.f.Close() }

func readPID(f *os.File) int {
	b, _ := io.ReadAll(io.NewSectionReader(f, 0, 32))
	text, whole := strings.CutSuffix(string(b), "\n")
	n, err := strconv.Atoi(text)
	if err != nil || !whole || n < 1 {
		return 0
	}
	return n
}

// Holder tells whether a lock is held, and by which process; 0: its holder has
// not written that yet.
func Holder(path string) (pid int, held bool) {
	f, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err == nil {
		return 0, false // closing lets go of it again
	}
	return readPID(f), true
}

// inode tells one file under a name from the next.
func inode(st fs.FileInfo) uint64 {
	if s, ok := st.Sys().(*syscall.Stat_t); ok {
		return s.Ino
	}
	return 0
}
