package loadtest

import (
	"bytes"
	"fmt"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
)

// step is something that is done, after which its part of the time is waited out. What it returns tells at the end
// how it went.
type step struct {
	name string
	part float64
	do   func(s *show) func() string
}

var steps = []step{
	{"first requests", 2, func(*show) func() string { return nil }},
	{"new configuration", 2, (*show).configure},
	{evacuated + " evacuated", 2.5, (*show).evacuate},
	{evacuated + " restored", 2, (*show).restore},
	{"proxy killed", 1.5, func(s *show) func() string { s.Stop(s.Edge(1), emulator.Proxy); return says("%s", s.Edge(1).Name) }},
	{"proxy back", 1.5, func(s *show) func() string { return s.back(s.Edge(1)) }},
	{"proxy leaves in order", 3, (*show).leave},
	{"proxy back", 1.5, func(s *show) func() string { return s.back(s.Edge(2)) }},
	{"replica lost with its disk", 2, (*show).lose},
	{"replica back", 2, (*show).regain},
	{"calm", 1, func(*show) func() string { return nil }},
}

func says(format string, args ...any) func() string {
	return func() string { return fmt.Sprintf(format, args...) }
}

// await waits until something is so, and tells how long that took.
func (s *show) await(since time.Time, is func() bool) string {
	if !s.Await(backWithin, func() bool { return s.ctx.Err() != nil || is() }) {
		return fmt.Sprintf("not within %v", backWithin)
	}
	return "after " + ms(time.Since(since))
}

// configure moves a route and adds one.
func (s *show) configure() func() string {
	w := s.Word().Clone()
	w.Routes[0].Backend = "plums"
	w.Routes = append(w.Routes, emulator.Route{Name: "r-4", Host: newHost, Prefix: newPath, Kind: "idempotent", Timeout: 1000, Target: 400, Backend: "pears", Tries: 2,
		Weight: 1e-6}) // in the traffic hardly ever: clients know of it before the proxies do
	from := time.Now()
	if !s.Operator.Replace(w) {
		return says("r%d was not acknowledged", w.Gen)
	}
	acked := time.Since(from)
	force := s.await(from, func() bool {
		for _, n := range s.Edges() {
			if s.Clients.Probe(n, newHost, newPath+"x", keyOfTenants) != 200 {
				return false
			}
		}
		return true
	})
	return says("r%d acknowledged after %s, in force at all proxies %s", w.Gen, ms(acked), force)
}

func (s *show) evacuate() func() string {
	from := time.Now()
	if !s.Operator.Drain(evacuated, true) {
		return says("not acknowledged")
	}
	acked := time.Now()
	return func() string {
		text := fmt.Sprintf("acknowledged after %s; its servers got ", ms(acked.Sub(from)))
		if n, last := s.Book.Arrivals(evacuated, acked, time.Now()); n > 0 {
			return text + fmt.Sprintf("%d more, the last after %s", n, ms(last.Sub(from)))
		}
		return text + "nothing more"
	}
}

func (s *show) restore() func() string {
	from := time.Now()
	if !s.Operator.Drain(evacuated, false) {
		return says("not acknowledged")
	}
	acked := time.Now()
	return func() string {
		n, _ := s.Book.Arrivals(evacuated, acked, time.Now())
		return fmt.Sprintf("acknowledged after %s; its servers got %d since", ms(acked.Sub(from)), n)
	}
}

// leave tells a proxy and its agent to end while clients ask.
func (s *show) leave() func() string {
	from := time.Now()
	n := s.Edge(2)
	s.Terminate(n)
	return says("%s is gone after %s", n.Name, ms(time.Since(from)))
}

// back starts what does not run of an edge machine.
func (s *show) back(n *emulator.Node) func() string {
	from := time.Now()
	s.Start(n)
	return says("%s is ready %s", n.Name, s.await(from, n.Ready))
}

func (s *show) lose() func() string {
	n := s.Core(0)
	s.Stop(n)
	if err := s.Wipe(n); err != nil {
		return says("%s: %v", n.Name, err)
	}
	return says("%s", n.Name)
}

// regain starts the replica with an empty disk.
func (s *show) regain() func() string {
	from := time.Now()
	n := s.Core(0)
	s.Start(n)
	return says("%s tells r%d %s", n.Name, s.Word().Gen, s.await(from, func() bool {
		status, body := s.Operator.Show(n)
		return status == 200 && bytes.Equal(body, s.Word().Body())
	}))
}
