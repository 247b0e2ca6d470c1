package lab

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/audit"
)

type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	paused bool
}

// Start starts an instance's process; none may run.
func (l *Lab) Start(i int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.procs[i] != nil {
		return fmt.Errorf("%s runs already", l.name(i))
	}
	log, err := os.OpenFile(l.Log(i), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(l.o.Program, "serve", "--operator", filepath.Join(l.o.Dir, "operator.toml"),
		"--instance-lock", filepath.Join(l.o.Dir, l.name(i)+".lock"))
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "GW_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, "GW_CONFIG="+filepath.Join(l.o.Dir, l.name(i)+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", l.name(i), err)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	l.procs[i] = p
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return nil
}

var errNotRunning = errors.New("no process runs")

// signal sends a signal to an instance's process.
func (l *Lab) signal(i int, sig syscall.Signal) (*process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.procs[i]
	if p == nil {
		return nil, fmt.Errorf("%s: %w", l.name(i), errNotRunning)
	}
	switch sig {
	case syscall.SIGSTOP:
		p.paused = true
		l.ledger.Note(audit.Paused{Node: l.name(i)})
	case syscall.SIGKILL:
		l.ledger.Note(audit.Dying{Node: l.name(i)})
		l.front.Dying(l.name(i))
	}
	err := p.cmd.Process.Signal(sig)
	if sig == syscall.SIGCONT {
		p.paused = false
		l.ledger.Note(audit.Resumed{Node: l.name(i)})
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", l.name(i), err)
	}
	return p, nil
}

// Pause stops an instance's process until Resume.
func (l *Lab) Pause(i int) error {
	_, err := l.signal(i, syscall.SIGSTOP)
	return err
}

// Resume lets it go on.
func (l *Lab) Resume(i int) error {
	_, err := l.signal(i, syscall.SIGCONT)
	return err
}

// Kill ends an instance's process outright.
func (l *Lab) Kill(i int) error {
	p, err := l.signal(i, syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-p.ended
	l.gone(i)
	l.ledger.Note(audit.Killed{Node: l.name(i)})
	return nil
}

// Stop asks an instance's process to end, and waits until it has.
func (l *Lab) Stop(i int) error {
	p, err := l.signal(i, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.ended:
		l.gone(i)
		return nil
	case <-l.after(stopLimit):
		return fmt.Errorf("%s has not stopped within %v", l.name(i), stopLimit)
	}
}

func (l *Lab) after(d time.Duration) <-chan time.Time { return l.o.World.NewTimer(d).C() }

func (l *Lab) gone(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.procs[i] = nil
}

// Running are the numbers of the instances whose processes run and are not paused.
func (l *Lab) Running() (list []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.procs {
		if p != nil && !p.paused {
			list = append(list, i)
		}
	}
	return list
}
