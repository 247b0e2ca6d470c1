package supervisor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/edgefleet/fleetview"
	"pepperfall.example/pepperfall/internal/edgefleet/rollout"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	mostView  = 1 << 20               // bytes of an instance's view
	lockLook  = 50 * time.Millisecond // between two looks at the lock of an instance that is not our child
	pidWait   = 2 * time.Second       // for the holder of a lock to write its process id
	lookLimit = time.Second           // of one look at an instance's health
	logMost   = 16 << 20              // bytes; a longer log is set aside at the next start
	logTail   = 2 << 10               // bytes of it that are searched for what a dead instance said last

)

// process is a running instance.
type process struct {
	number int
	pid    int
	cmd    *exec.Cmd // nil: found running, not our child
}

// ended tells that a process is gone.
type ended struct {
	p   *process
	why string
}

func (s *Supervisor) instanceDir(i int) string {
	return filepath.Join(s.dir, "instances", s.names[i])
}
func (s *Supervisor) configPath(i int) string { return filepath.Join(s.instanceDir(i), "config.json") }
func (s *Supervisor) operatorPath(i int) string {
	return filepath.Join(s.instanceDir(i), "operator.toml")
}
func (s *Supervisor) lockPath(i int) string { return filepath.Join(s.instanceDir(i), "lock") }
func (s *Supervisor) logPath(i int) string  { return filepath.Join(s.instanceDir(i), "log") }

// launch starts an instance's process, in a session of its own and with its
// log in a file, so that it outlives this supervisor.
func (s *Supervisor) launch(i int, generation string) {
	if _, held := daemon.Holder(s.lockPath(i)); held {
		s.adopt(i)
		return
	}
	p, err := s.start(i, generation)
	if err != nil {
		s.post(ended{&process{number: i}, err.Error()})
		return
	}
	s.procs[i] = p
	s.wg.Go(func() {
		err := p.cmd.Wait()
		why := "exit status 0"
		if err != nil {
			why = err.Error()
		}
		if last := lastLine(s.logPath(i)); last != "" {
			why += ", " + last
		}
		s.post(ended{p, why})
	})
}

func (s *Supervisor) start(i int, generation string) (*process, error) {
	g, err := s.place(i, generation)
	if err != nil {
		return nil, err
	}
	if st, err := os.Stat(s.logPath(i)); err == nil && st.Size() > logMost {
		_ = os.Rename(s.logPath(i), s.logPath(i)+".before")
	}
	log, err := os.OpenFile(s.logPath(i), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(g.Program, "serve", "--operator", s.operatorPath(i), "--book", s.bookPath(i), "--instance-lock", s.lockPath(i))
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "GW_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, "GW_CONFIG="+s.configPath(i))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &process{number: i, pid: cmd.Process.Pid, cmd: cmd}, nil
}

// adopt takes over an instance that another supervisor has started.
func (s *Supervisor) adopt(i int) {
	p := &process{number: i}
	for waited := time.Duration(0); waited < pidWait; waited += lockLook {
		pid, held := daemon.Holder(s.lockPath(i))
		if !held {
			s.post(ended{p, "ended while it was taken over"})
			return
		}
		if p.pid = pid; pid > 0 || !world.Sleep(s.ctx, s.world, lockLook) {
			break
		}
	}
	s.procs[i] = p
	s.log.Info("instance taken over", "name", s.names[i], "pid", p.pid)
	s.wg.Go(func() {
		for {
			if _, held := daemon.Holder(s.lockPath(i)); !held {
				s.post(ended{p, "ended"})
				return
			}
			if !world.Sleep(s.ctx, s.world, lockLook) {
				return
			}
		}
	})
}

// signal sends a signal to an instance. One that is not our child is known by
// its lock: the process is pinned first, then the lock looked at again, so that
// a stranger who has got its process id is never signalled.
func (s *Supervisor) signal(i int, sig os.Signal) {
	p := s.procs[i]
	if p == nil {
		return
	}
	err := func() error {
		if p.cmd != nil {
			return p.cmd.Process.Signal(sig)
		}
		pinned, err := os.FindProcess(p.pid)
		if err != nil {
			return err
		}
		defer func() { _ = pinned.Release() }()
		if pid, held := daemon.Holder(s.lockPath(i)); !held || pid != p.pid {
			return os.ErrProcessDone
		}
		return pinned.Signal(sig)
	}()
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.log.Error("signal not sent", "name", s.names[i], "pid", p.pid, "signal", sig, "err", err)
	}
}

// look asks an instance for its health until the supervisor ends.
func (s *Supervisor) look(i int, every time.Duration) {
	client := &http.Client{Timeout: lookLimit, Transport: &http.Transport{DisableKeepAlives: true, DialContext: s.world.Dial}}
	url := "http://" + s.file.Listen(i) + "/healthz"
	for {
		h := rollout.Health{Name: s.names[i]}
		req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
		if err == nil {
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
				h.Generation, h.Refused = resp.Header.Get(node.GenerationField), resp.Header.Get(node.RefusedField)
				h.Answers, h.Ready = h.Generation != "", resp.StatusCode == http.StatusOK
			}
		}
		var v *fleetview.View
		if l := s.watched.Load(); h.Answers && l != nil && l.OperatorFile.Members.On {
			v = s.viewOf(client, i)
		}
		s.views[i].Store(v)
		if s.ctx.Err() != nil {
			return
		}
		s.post(h)
		if !world.Sleep(s.ctx, s.world, every) {
			return
		}
	}
}

// viewOf asks an instance for its view of the fleet; nil: it tells none.
func (s *Supervisor) viewOf(client *http.Client, i int) *fleetview.View {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+s.file.Listen(i)+node.ViewPath, nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	v := new(fleetview.View)
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, mostView)).Decode(v) != nil {
		return nil
	}
	return v
}

// lastLine finds what an instance wrote last.
func lastLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return ""
	}
	b, err := io.ReadAll(io.NewSectionReader(f, max(0, st.Size()-logTail), logTail))
	if err != nil {
		return ""
	}
	b = bytes.TrimSpace(b)
	line := string(b[bytes.LastIndexByte(b, '\n')+1:])
	if _, msg, ok := strings.Cut(line, " level="); ok {
		line = msg
	}
	return fmt.Sprintf("%.300s", line)
}

// post hands something to the supervisor's loop.
func (s *Supervisor) post(ev any) {
	select {
	case s.events <- ev:
	case <-s.ctx.Done():
	}
}

// sockets below this length fit into an address on every system.
const mostSocketPath = 100

var errNotSupervised = errors.New("nobody supervises this fleet")
