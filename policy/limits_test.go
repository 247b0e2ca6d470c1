package policy

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestStrayInputChangesNothing(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(3))
	s := w.send("safe", "free")
	for _, ev := range []Event{
		Outcome{ID: 99, Server: 1, Code: OK}, Outcome{ID: s.ID, Attempt: 4, Server: s.Server, Code: Error},
		ClientGone{ID: 98}, Timer{Token: "other"}, Started{ID: 97},
		PeerMessage{From: 1, Data: []byte("rubbish")}, PeerMessage{From: 1}, PeerMessage{From: -3},
		PeerMessage{From: 55, Data: (&report{}).encode()}, ServerList{Kind: WatchFailed},
	} {
		if acts := w.do(ev); len(acts) != 0 {
			t.Errorf("%#v returned %v", ev, acts)
		}
	}
	w.finish(s, 0, OK)
	if acts := w.finish(s, 0, OK); len(acts) != 0 || w.g.serverList[0].inFlight+w.g.serverList[1].inFlight+w.g.serverList[2].inFlight != 0 {
		t.Errorf("a second outcome returned %v", acts)
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"Resolution":               func(s *Settings) { s.Resolution = 0 },
		"Plans":                    func(s *Settings) { s.Plans = nil },
		"Plans[1].Name":            func(s *Settings) { s.Plans[1].Name = "" },
		"Plans[1].Rate":            func(s *Settings) { s.Plans[1].Rate = -1 },
		"Classes[0].LatencyTarget": func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
		"Me":                       func(s *Settings) { s.Me = 2 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		w := newTestGateway(t, testSettings(), testServers(5))
		for i := range 300 {
			_, acts := w.request("safe", []string{"both", "rate", "free"}[i%3], fmt.Sprint(i%7), 1)
			all = append(all, acts...)
			for _, s := range actionsOf[Send](acts) {
				all = append(all, w.finish(s, 0, Code(i%3))...)
			}
			all = append(all, w.advance(20*ms)...)
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Fatal("equal events returned different actions")
	}
}

func FuzzPeerMessage(f *testing.F) {
	f.Add((&report{incarnation: 1, seq: 2, complete: true, servers: []serverLoad{{1, 2}},
		customers: []customerEntry{{hash: 3}, {hash: 5}}}).encode())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		w := newTestGateway(t, testSettings(), testServers(2))
		w.request("safe", "hard", "c", 1)
		w.do(PeerMessage{From: 1, Data: b})
		if m, ok := decodeReport(b); ok {
			if len(b) > maxMessageBytes {
				t.Fatal("a report above the maximum size was decoded")
			}
			if m2, ok := decodeReport(m.encode()); !ok || !reflect.DeepEqual(m, m2) {
				t.Fatal("an encoded report decodes to a different one")
			}
		}
	})
}

// The files of the decision logic, listed in deploy/balancer.toml, keep their limits on size and line length.
func TestDecisionFilesKeepTheirLimits(t *testing.T) {
	var deployed struct{ Policy []string }
	b, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(b, &deployed); err != nil {
		t.Fatal(err)
	}
	all := 0
	for _, f := range deployed.Policy {
		b, err := os.ReadFile(filepath.Join("..", f))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
		if len(lines) > 400 {
			t.Errorf("%s: %d lines, 400 at most", f, len(lines))
		}
		for i, l := range lines {
			if strings.TrimSpace(l) != "" {
				all++
			}
			if len([]rune(strings.ReplaceAll(l, "\t", "    "))) > 110 {
				t.Errorf("%s:%d is longer than 110 characters", f, i+1)
			}
		}
	}
	if all > 1200 || len(deployed.Policy) == 0 {
		t.Errorf("%d non-blank lines in %d files, 1200 at most", all, len(deployed.Policy))
	}
}

// Tuning constants are in values.go: the other files contain no literal times or fractions.
func TestTuningConstantsAreInOneFile(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	tuned := regexp.MustCompile(`[0-9] ?\* ?time\.|\b0\.[0-9]*[1-9]`)
	for _, f := range files {
		if f == "values.go" || strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(b), "\n") {
			code, _, _ := strings.Cut(l, "//")
			if tuned.MatchString(code) {
				t.Errorf("%s:%d contains a literal tuning value: %s", f, i+1, strings.TrimSpace(l))
			}
		}
	}
}
