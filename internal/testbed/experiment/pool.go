package experiment

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// Pool plays days in worker processes with one processor each, so that days do not influence each other's order of events,
// and a day that crashes its process ends no other.
type Pool struct {
	Exe   string        // the program, whose first argument is then "worker"
	Jobs  int           // processes at a time
	Limit time.Duration // of a day, by the machine's clock; what takes longer counts as broken
}

// DefaultLimit is for a day of some tens of machines.
const DefaultLimit = 5 * time.Minute

// crew is a worker process.
type crew struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	enc  *gob.Encoder
	dec  *gob.Decoder
	errs *ending
}

// Play plays days as they come, and calls done with each result, one at a time. It returns when days is closed or ctx
// ends.
func (p *Pool) Play(ctx context.Context, days <-chan *scenario.Day, done func(*scenario.Day, *Result)) error {
	var mu sync.Mutex
	var jobs sync.WaitGroup
	var first error
	for range max(1, p.Jobs) {
		jobs.Go(func() {
			var c *crew
			defer func() { c.end() }()
			for d := range days {
				if ctx.Err() != nil {
					continue
				}
				var err error
				if c == nil {
					if c, err = p.hire(); err != nil {
						mu.Lock()
						first = err
						mu.Unlock()
						continue
					}
				}
				r := c.play(ctx, d, p.Limit)
				if r == nil || r.Rules() == Crashed {
					c.end()
					c = nil
				}
				if r == nil {
					continue
				}
				mu.Lock()
				done(d, r)
				mu.Unlock()
			}
		})
	}
	jobs.Wait()
	if first != nil {
		return first
	}
	return ctx.Err()
}

func (p *Pool) hire() (*crew, error) {
	c := &crew{cmd: exec.Command(p.Exe, "worker"), errs: &ending{}}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=200")
	c.cmd.Stderr = c.errs
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, errors.WithMessage(err, "worker")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.WithMessage(err, "worker")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.WithMessage(err, "worker")
	}
	c.in, c.enc, c.dec = in, gob.NewEncoder(in), gob.NewDecoder(out)
	return c, nil
}

// play is nil where the context ended first.
func (c *crew) play(ctx context.Context, d *scenario.Day, limit time.Duration) *Result {
	if limit == 0 {
		limit = DefaultLimit
	}
	late := false
	t := time.AfterFunc(limit, func() { late = true; _ = c.cmd.Process.Kill() })
	defer t.Stop()
	defer context.AfterFunc(ctx, func() { _ = c.cmd.Process.Kill() })()
	r := &Result{}
	err := c.enc.Encode(job{d})
	if err == nil {
		err = c.dec.Decode(r)
	}
	switch {
	case err == nil:
		return r
	case ctx.Err() != nil:
		return nil
	}
	_ = c.cmd.Wait()
	what := c.errs.String()
	if late {
		what = fmt.Sprintf("not over after %v", limit)
	}
	return fail(d, Crashed, what)
}

func (c *crew) end() {
	if c == nil {
		return
	}
	_ = c.in.Close()
	t := time.AfterFunc(5*time.Second, func() { _ = c.cmd.Process.Kill() })
	defer t.Stop()
	_ = c.cmd.Wait()
}

// ending keeps the beginning of what a process says on its end.
type ending struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const mostEnding = 16 << 10

func (e *ending) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf.Write(b[:min(len(b), max(0, mostEnding-e.buf.Len()))])
	return len(b), nil
}

func (e *ending) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.TrimSpace(e.buf.String())
}
