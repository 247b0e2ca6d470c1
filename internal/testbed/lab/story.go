package lab

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// Story describes a fleet, the faults of a run, and what has to hold at the end.
type Story struct {
	Name      string  `toml:"name" min:"1" max:"64"`
	Instances int     `toml:"instances" min:"1" max:"100"`
	Seconds   float64 `toml:"seconds" min:"1" max:"86400"`
	Seed      uint64  `toml:"seed"`
	Load      float64 `toml:"load" min:"0" max:"100"` // of the libraries' requests; 0: none
	Steps     []Step  `toml:"steps"`
	Expect    Expect  `toml:"expect"`
}

// Step is one thing that happens.
type Step struct {
	At     float64 `toml:"at" min:"0" max:"86400"` // seconds after the fleet serves
	Do     string  `toml:"do" min:"1"`             // cut, heal, links, pause, resume, kill, start or stop
	Who    []int   `toml:"who"`                    // the instances concerned: pause, resume, kill, start, stop
	From   []int   `toml:"from"`                   // cut, heal, links: ways from these; empty: from all
	To     []int   `toml:"to"`                     // to these; empty: to all
	Both   bool    `toml:"both"`                   // and back
	Loss   float64 `toml:"loss" min:"0" max:"1"`   // links: share of the datagrams that are lost
	Twice  float64 `toml:"twice" min:"0" max:"1"`
	Delay  int     `toml:"delay_ms" min:"0" max:"60000"`
	Jitter int     `toml:"jitter_ms" min:"0" max:"60000"`
}

// Expect is what must hold once the story is over.
type Expect struct {
	Agree   []int   `toml:"agree"`                        // these hold one view of exactly themselves
	WithinS float64 `toml:"within_s" min:"0" max:"3600"`  // so long after the last step's end; default 60
	Keep    []int   `toml:"keep"`                         // these were never dropped from anyone's view
	Served  float64 `toml:"served_least" min:"0" max:"1"` // share of the requests that were served
	SlackMS int     `toml:"slack_ms" min:"0" max:"60000"` // the audit's, for the machine; default 1000
}

var deeds = []string{"cut", "heal", "links", "pause", "resume", "kill", "start", "stop"}

// LoadStory reads and checks a story. The error holds every fault, with its line and key.
func LoadStory(path string) (*Story, error) {
	text, err := conffile.Read(path)
	if err != nil {
		return nil, err
	}
	return ParseStory(path, text)
}

// ParseStory is the same for a text.
func ParseStory(path string, text []byte) (*Story, error) {
	s := &Story{Load: 1, Seed: 1, Expect: Expect{WithinS: 60, SlackMS: 1000}}
	faults := conffile.Decode(path, text, s)
	lines, _ := conffile.Lines(text)
	fault := func(key, format string, args ...any) {
		faults = append(faults, conffile.Fault{File: path, Line: lines.Of(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}
	numbers := func(key string, list []int) {
		for _, n := range list {
			if n < 0 || n >= s.Instances {
				fault(key, "%d is no instance of %d", n, s.Instances)
			}
		}
	}
	for i, st := range s.Steps {
		key := fmt.Sprintf("steps.%d", i)
		if !slices.Contains(deeds, st.Do) {
			fault(key+".do", "%q is none of %s", st.Do, strings.Join(deeds, ", "))
		}
		if ways := slices.Index(deeds, st.Do) < 3; !ways && len(st.Who) == 0 {
			fault(key+".who", "whom does it befall?")
		}
		if st.At > s.Seconds {
			fault(key+".at", "after the story's end, %v", s.Seconds)
		}
		numbers(key+".who", st.Who)
		numbers(key+".from", st.From)
		numbers(key+".to", st.To)
	}
	numbers("expect.agree", s.Expect.Agree)
	numbers("expect.keep", s.Expect.Keep)
	return s, faults.Err()
}

// Report is how a story went.
type Report struct {
	Faults                         []string // what was expected and is not so
	Breaks                         []audit.Break
	Asked, Served, Refused, Failed int
	Agreed                         time.Duration // after the story's end
}

// Play runs a story to its end. The error is one of the lab; what went wrong with the fleet is in
// the report.
func Play(ctx context.Context, s *Story, o Options) (rep Report, err error) {
	o.Instances, o.Seed, o.Load, o.Slack = s.Instances, s.Seed, s.Load, time.Duration(s.Expect.SlackMS)*time.Millisecond
	l, err := Open(ctx, o)
	if err != nil {
		return rep, err
	}
	closed := false
	defer func() {
		if !closed {
			l.Close()
		}
	}()
	if len(s.Expect.Agree) > 0 {
		if _, err := l.Until(ctx, time.Minute, func() error { return l.Agreed(ctx, l.Running()...) }); err != nil {
			return rep, fmt.Errorf("the fleet does not come together: %w", err)
		}
	}
	traffic, end := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
	defer end()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.Load > 0 {
			l.Traffic(traffic)
			return
		}
		<-traffic.Done()
	}()
	began := o.World.Now()
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int((a.At - b.At) * 1e6) })
	for _, st := range steps {
		if !world.Sleep(traffic, o.World, time.Duration(st.At*float64(time.Second))-o.World.Now().Sub(began)) && ctx.Err() != nil {
			break
		}
		if err := l.do(st); err != nil {
			rep.Faults = append(rep.Faults, fmt.Sprintf("at %.1f s, %s: %v", st.At, st.Do, err))
		}
	}
	<-done
	if ctx.Err() == nil {
		rep.Agreed, err = l.Until(ctx, time.Duration(s.Expect.WithinS*float64(time.Second)), func() error {
			if len(s.Expect.Agree) == 0 {
				return nil
			}
			return l.Agreed(ctx, s.Expect.Agree...)
		})
		if err != nil {
			rep.Faults = append(rep.Faults, fmt.Sprintf("no one view within %.0f s: %v", s.Expect.WithinS, err))
		}
	}
	t := l.Tally()
	rep.Asked, rep.Served, rep.Refused, rep.Failed = t.Asked, t.Served, t.Refused, t.Failed
	if share := float64(t.Served) / float64(max(1, t.Asked)); t.Asked > 0 && share < s.Expect.Served {
		rep.Faults = append(rep.Faults, fmt.Sprintf("%.3f of %d requests were served, %.3f are expected", share, t.Asked, s.Expect.Served))
	}
	closed = true
	rep.Breaks = l.Close()
	for _, n := range s.Expect.Keep {
		for i := range s.Instances {
			if line := l.dropped(i, n); line != "" && i != n {
				rep.Faults = append(rep.Faults, fmt.Sprintf("%s dropped %d: %s", l.name(i), n, line))
			}
		}
	}
	return rep, ctx.Err()
}

// dropped is the line of an instance's log that says that it no longer holds another to be there.
func (l *Lab) dropped(i, other int) string {
	text, err := os.ReadFile(l.Log(i))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		_, lost, ok := strings.Cut(line, "lost=")
		if !ok || !strings.Contains(line, "view changed") {
			continue
		}
		list := strings.FieldsFunc(lost, func(r rune) bool { return strings.ContainsRune("\"[] \n", r) })
		if slices.Contains(list, fmt.Sprint(other)) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

func orAll(list []int) string {
	if len(list) == 0 {
		return "all"
	}
	return fmt.Sprint(list)
}

// do takes a step.
func (l *Lab) do(st Step) error {
	if len(st.Who) > 0 {
		l.say("%s %v", st.Do, st.Who)
	} else {
		l.say("%s from %s to %s", st.Do, orAll(st.From), orAll(st.To))
	}
	in := func(list []int, n int) bool { return len(list) == 0 || slices.Contains(list, n) }
	which := func(a, b int) bool {
		return in(st.From, a) && in(st.To, b) || st.Both && in(st.From, b) && in(st.To, a)
	}
	switch st.Do {
	case "cut":
		l.Ways(Fault{Cut: true}, which)
	case "heal":
		l.Ways(Fault{}, which)
	case "links":
		l.Ways(Fault{Loss: st.Loss, Twice: st.Twice, Delay: time.Duration(st.Delay) * time.Millisecond,
			Jitter: time.Duration(st.Jitter) * time.Millisecond}, which)
	}
	for _, i := range st.Who {
		var err error
		switch st.Do {
		case "pause":
			err = l.Pause(i)
		case "resume":
			err = l.Resume(i)
		case "kill":
			err = l.Kill(i)
		case "start":
			err = l.Start(i)
		case "stop":
			err = l.Stop(i)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
