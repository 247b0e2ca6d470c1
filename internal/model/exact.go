package model

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// exact is "yes" in a program that BuildExact has built.
var exact string

// Exact tells whether this program plays equal days alike: see BuildExact.
func Exact() bool { return exact == "yes" }

// edit is a change of a file of Go's run time, of which the old words must stand there exactly once.
type edit struct{ file, old, new string }

// What is left to chance by Go's run time, and is not where a virtual clock runs on one processor: the numbers by which
// it chooses among ready cases, orders timers of one instant and starts walks through maps; who is interrupted after
// some time of the machine's; and who has waited for a lock for long.
var edits = []edit{
	{"runtime/synctest.go", "	now     int64  // current fake time\n", "	now     int64  // current fake time\n	rnd     uint64\n"},
	{"runtime/synctest.go", "	bubble.now = synctestBaseTime\n", "	bubble.now = synctestBaseTime\n	bubble.rnd = 0x9e3779b97f4a7c15\n"},
	{"runtime/rand.go", "	mp := getg().m\n	c := &mp.chacha8\n",
		"	if b := getg().bubble; b != nil {\n		return uint64(bubbleRand(b))<<32 | uint64(bubbleRand(b))\n	}\n	mp := getg().m\n	c := &mp.chacha8\n"},
	{"runtime/rand.go", "	mp := getg().m\n	// Implement wyrand", "	if b := getg().bubble; b != nil {\n		return bubbleRand(b)\n	}\n	mp := getg().m\n	// Implement wyrand"},
	{"runtime/rand.go", "	seed := &globalRand.seed\n	if len(startupRand) >= 16 &&",
		"	seed := &globalRand.seed\n	for i := range startupRand {\n		startupRand[i] = byte(i + 1)\n	}\n	if len(startupRand) >= 16 &&"},
	{"runtime/rand.go", "//go:linkname legacy_fastrand runtime.fastrand\n",
		"//go:nosplit\nfunc bubbleRand(b *synctestBubble) uint32 {\n	b.rnd += 0xa0761d6478bd642f\n" +
			"	hi, lo := math.Mul64(b.rnd, b.rnd^0xe7037ed1a0b428db)\n	return uint32(hi ^ lo)\n}\n\n//go:linkname legacy_fastrand runtime.fastrand\n"},
	{"runtime/proc.go", "const forcePreemptNS = 10 * 1000 * 1000 // 10ms", "const forcePreemptNS = 1 << 60"},
	{"runtime/proc.go", "if pp.schedtick%61 == 0 && !sched.runq.empty() {", "if gomaxprocs > 1 && pp.schedtick%61 == 0 && !sched.runq.empty() {"},
	{"runtime/proc.go", "func retake(now int64) uint32 {\n	n := 0\n", "func retake(now int64) uint32 {\n	n := 0\n	if gomaxprocs == 1 {\n		return 0\n	}\n"},
	{"runtime/sema.go", "func internal_sync_nanotime() int64 {\n", "func internal_sync_nanotime() int64 {\n	if b := getg().bubble; b != nil {\n		return b.now\n	}\n"},
}

// BuildExact builds a program of this module by the machine's Go with these edits, which it makes to copies in a folder
// that is removed; nothing is changed outside it. Where Go's files say something else than expected, nothing is built.
func BuildExact(ctx context.Context, pkg, out string) error {
	root, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return errors.WithMessage(err, "go env GOROOT")
	}
	src := filepath.Join(strings.TrimSpace(string(root)), "src")
	dir, err := os.MkdirTemp("", "seedbed-exact-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	texts, err := edited(func(file string) (string, error) {
		text, err := os.ReadFile(filepath.Join(src, file))
		return string(text), err
	})
	if err != nil {
		return err
	}
	replace := map[string]string{}
	for file, text := range texts {
		to := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
			return err
		}
		replace[filepath.Join(src, file)] = to
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return err
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, list, 0o600); err != nil {
		return err
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-ldflags", "-X pepperfall.example/pepperfall/internal/model.exact=yes", "-o", out, pkg)
	if said, err := build.CombinedOutput(); err != nil {
		return errors.Errorf("go build: %v: %s", err, said)
	}
	return nil
}

// edited makes the edits to the texts of Go's files.
func edited(read func(file string) (string, error)) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range edits {
		if _, ok := texts[e.file]; !ok {
			text, err := read(e.file)
			if err != nil {
				return nil, errors.WithMessage(err, "Go's run time")
			}
			texts[e.file] = text
		}
		if n := strings.Count(texts[e.file], e.old); n != 1 {
			return nil, errors.Errorf("Go's run time: %s: %q stands there %d times, not once: this version of Go is not known", e.file, strings.TrimSpace(e.old), n)
		}
		texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
	}
	return texts, nil
}
