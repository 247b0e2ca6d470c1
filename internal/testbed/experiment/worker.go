package experiment

import (
	"encoding/gob"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// job is a day on its way to a worker.
type job struct{ Day *scenario.Day }

// Work plays the days that come in and writes their results, until the input ends; then the process ends. The virtual
// clock is testing/synctest's, which wants a test around it: this is one, in a program.
func Work(in io.Reader, out io.Writer) {
	os.Args = os.Args[:1] // the rest are not flags of a test
	day := func(t *testing.T) {
		code := 0
		if err := work(t, gob.NewDecoder(in), gob.NewEncoder(out)); err != io.EOF {
			os.Stderr.WriteString("worker: " + err.Error() + "\n")
			code = 1
		}
		os.Exit(code)
	}
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "days", F: day}}, nil, nil)
}

func work(t *testing.T, in *gob.Decoder, out *gob.Encoder) error {
	for {
		var j job
		if err := in.Decode(&j); err != nil {
			return err
		}
		if err := out.Encode(PlayIn(t, j.Day)); err != nil {
			return err
		}
		runtime.GC()
		debug.FreeOSMemory()
	}
}

// PlayIn plays a day in a bubble of its own, and measures what it costs this process.
func PlayIn(t *testing.T, d *scenario.Day) (r *Result) {
	began, cpu := time.Now(), spent()
	synctest.Test(t, func(*testing.T) { r = Play(d) })
	r.Real, r.CPU = time.Since(began).Seconds(), (spent() - cpu).Seconds()
	return r
}

// spent is the processor's time that this process has had.
func spent() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
