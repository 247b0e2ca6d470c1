package bookmaker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/platform/statefile"
)

// Child compiles books by running a program as
//
//	PROGRAM routes compile --operator FILE --base DIR --most-units N --memory-mb N -o BOOK
type Child struct {
	Program string   // that knows the command
	Env     []string // beside the environment of this process
}

// Faults is what a description or an operator file has wrong, as the child
// said it.
type Faults struct{ Text string }

func (f *Faults) Error() string { return f.Text }

const (
	mostSaid  = 64 << 10 // bytes of what a child says
	exitFault = 2        // the child's exit code for a file at fault
	killWait  = time.Second
)

// Compile makes the book that an operator file asks for. mostUnits is the
// settings' largest. A *Faults error is the files' fault; any other is that
// the child did not do its work within its time and memory.
func (c *Child) Compile(ctx context.Context, l *operator.Loaded, mostUnits float64) (book []byte, warnings string, err error) {
	dir, err := os.MkdirTemp("", "pepperfall-book-")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(dir)
	file, out := filepath.Join(dir, filepath.Base(l.Path)), filepath.Join(dir, "out.book")
	if err := statefile.Write(file, l.Text, 0o600); err != nil { // the text that was checked, whatever has become of the file
		return nil, "", err
	}
	base, err := filepath.Abs(filepath.Dir(l.Path))
	if err != nil {
		return nil, "", err
	}
	limit := time.Duration(l.Routes.CompileMS) * time.Millisecond
	within, stop := context.WithTimeout(ctx, limit)
	defer stop()
	cmd := exec.CommandContext(within, c.Program, "routes", "compile", "--operator", file, "--base", base,
		"--most-units", strconv.FormatFloat(mostUnits, 'g', -1, 64), "--memory-mb", strconv.Itoa(l.Routes.CompileMB),
		"--seconds", strconv.Itoa(1+l.Routes.CompileMS/1000), "--output", out)
	cmd.Env = append(os.Environ(), c.Env...)
	said := &tail{most: mostSaid}
	cmd.Stdout, cmd.Stderr = said, said
	cmd.WaitDelay = killWait
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runtime.LockOSThread() // the child is ended with the thread that began it
	err = cmd.Run()
	runtime.UnlockOSThread()
	text := strings.TrimSpace(said.b.String())
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return nil, "", ctx.Err()
	case within.Err() != nil:
		return nil, "", fmt.Errorf("%s: not compiled within %v (routes.compile_ms)", l.Path, limit)
	case errors.As(err, &exit) && outOfMemory(text):
		return nil, "", fmt.Errorf("%s: not compiled within %d MB (routes.compile_mb)", l.Path, l.Routes.CompileMB)
	case errors.As(err, &exit) && exit.ExitCode() == exitFault && !crashed(text):
		return nil, "", &Faults{text}
	case err != nil:
		return nil, "", fmt.Errorf("%s: the process that compiles it ended: %w: %.300s", l.Path, err, text)
	}
	st, err := os.Stat(out)
	if err != nil {
		return nil, "", fmt.Errorf("%s: the process that compiles it wrote no book: %w", l.Path, err)
	}
	if st.Size() > bookfile.MostBytes {
		return nil, "", fmt.Errorf("%s: a book of %d bytes; %d at most are read", l.Path, st.Size(), bookfile.MostBytes)
	}
	if book, err = os.ReadFile(out); err != nil {
		return nil, "", err
	}
	if _, err := bookfile.Decode(book, bookfile.Served); err != nil {
		return nil, "", fmt.Errorf("%s: %w", l.Path, err)
	}
	return book, text, nil
}

// crashed tells a Go program's last words, which come with the same exit code,
// from faults.
func crashed(text string) bool {
	for _, mark := range []string{"panic: ", "fatal error: ", "runtime: ", "SIGABRT", "\ngoroutine "} {
		if strings.HasPrefix(text, mark) || strings.Contains(text, "\n"+mark) {
			return true
		}
	}
	return false
}

func outOfMemory(text string) bool {
	for _, mark := range []string{"out of memory", "cannot allocate memory", "errno=12", "failed to allocate"} {
		if strings.Contains(text, mark) {
			return true
		}
	}
	return false
}

// tail keeps the first bytes of what is written to it.
type tail struct {
	b    bytes.Buffer
	most int
}

func (t *tail) Write(p []byte) (int, error) {
	if room := t.most - t.b.Len(); room > 0 {
		t.b.Write(p[:min(room, len(p))])
	}
	return len(p), nil
}

const (
	heapPart = 0.8 // of the bound, from where on garbage is collected harder
	arenaMB  = 64  // megabytes that the Go runtime takes at a time: the least step of the bound
)

// Bound keeps this process to so much memory and processor time. It is the
// child's first act; 0 sets no bound.
func Bound(memoryMB, seconds int) error {
	set := func(what int, name string, n uint64) error {
		var l syscall.Rlimit
		if err := syscall.Getrlimit(what, &l); err != nil {
			return fmt.Errorf("limit on %s: %w", name, err)
		}
		if l.Cur = min(l.Cur, n); l.Max > l.Cur {
			l.Max = l.Cur
		}
		if err := syscall.Setrlimit(what, &l); err != nil {
			return fmt.Errorf("limit on %s: %w", name, err)
		}
		return nil
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(memoryMB) * (1 << 20)))
		if err := set(syscall.RLIMIT_DATA, "memory", uint64(memoryMB+arenaMB)<<20); err != nil {
			return err
		}
	}
	if seconds > 0 {
		return set(syscall.RLIMIT_CPU, "processor time", uint64(seconds))
	}
	return nil
}
