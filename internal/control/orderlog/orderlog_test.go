package orderlog

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
)

// openLog opens a log without delay and returns it with up to 3 of the newest earlier orders.
func openLog(fs vfs.FS) (*Log, []api.Order) {
	opened := make(chan []api.Order, 1)
	t := Open(fs, "tally", 0, 3, logr.Discard(), func(all []api.Order) { opened <- all })
	return t, <-opened
}

func names(all []api.Order) (s string) {
	for _, o := range all {
		s += o.What + " "
	}
	return s
}

func TestEntriesSurviveRestart(t *testing.T) {
	fs := vfs.NewMem()
	x, all := openLog(fs)
	assert.Equal(t, names(all), "")
	for _, what := range []string{"r1", "r2", "r3", "r4"} {
		x.Append(api.Order{What: what})
	}
	x.Close(time.Minute)
	x, all = openLog(fs)
	assert.Equal(t, names(all), "r2 r3 r4 ")
	x.Append(api.Order{What: "r5"})
	x.Close(time.Minute)
	x, all = openLog(fs)
	assert.Equal(t, names(all), "r3 r4 r5 ")
	x.Close(time.Minute)
}

// A power loss may lose the latest orders, but no others.
func TestPowerLoss(t *testing.T) {
	fs := vfs.NewCrashableMem()
	x, _ := openLog(fs)
	x.Append(api.Order{What: "r1"})
	x.Close(time.Minute)
	x, _ = openLog(fs)
	x.Append(api.Order{What: "r2"})
	after := fs.CrashClone(vfs.CrashCloneCfg{})
	x.Close(time.Minute)
	y, all := openLog(after)
	assert.Equal(t, names(all)[:3], "r1 ")
	y.Close(time.Minute)
}

// A disk that fails all writes blocks no caller and does not end the process.
func TestDiskFailure(t *testing.T) {
	full := errorfs.ErrInjected.If(errorfs.Writes)
	x := Open(errorfs.Wrap(vfs.NewMem(), full), "tally", 0, 3, logr.Discard(), func([]api.Order) {})
	for range 2 * maxQueued {
		x.Append(api.Order{What: "r1"})
	}
	x.Close(time.Second)

	x, _ = openLog(errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if op.Kind == errorfs.OpFileWrite && len(op.Path) > 4 && op.Path[len(op.Path)-4:] == ".log" {
			return errorfs.ErrInjected
		}
		return nil
	})))
	for range 2 * maxQueued {
		x.Append(api.Order{What: "r1"})
	}
	x.Close(100 * time.Millisecond)
}
