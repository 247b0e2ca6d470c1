package experiment

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// Result is the outcome of a day.
type Result struct {
	Name   string  `json:"name"`
	Seed   uint64  `json:"seed"`
	Trace  string  `json:"trace"`            // hash of the joined record: equal runs have equal ones
	Broken []Break `json:"broken,omitempty"` // rules, and what else had to hold
	More   int     `json:"more,omitempty"`   // broken ones that are not shown
	Logs   string  `json:"logs,omitempty"`   // last lines of all processes, where something is broken

	Nodes   int     `json:"nodes"`
	Virtual float64 `json:"virtual_s"`
	Real    float64 `json:"real_s"`
	CPU     float64 `json:"cpu_s"`    // of the process that played it
	Memory  float64 `json:"alloc_mb"` // in use at the end of the traffic

	Wishes  int                `json:"wishes"`
	Served  int                `json:"served"`
	Tries   int                `json:"tries"`
	Refused int                `json:"refused"`
	Further int                `json:"further"`
	Earned  float64            `json:"earned"`       // of the worth that was owed
	Share   float64            `json:"served_share"` // of the wishes
	Worst   float64            `json:"worst_window"`
	Routes  map[string]float64 `json:"routes"` // parts of the worth earned
	Zones   map[string]float64 `json:"zones"`
	Tenants map[string]float64 `json:"tenants"`
	Cells   map[string]float64 `json:"cells"` // by TENANT/ZONE
	Lists   int                `json:"list_calls"`
	Mail    Mail               `json:"mail"`

	Took *hdrhistogram.Snapshot `json:"took,omitempty"` // of what was served, in microseconds
}

// Mail counts the messages between the system's machines.
type Mail struct {
	Messages int64   `json:"messages"`
	Bytes    int64   `json:"bytes"`
	ANodeS   float64 `json:"messages_a_node_s"`
	BNodeS   float64 `json:"bytes_a_node_s"`
}

// Break is a broken rule, or another condition that did not hold.
type Break struct {
	Rule string `json:"rule"`
	What string `json:"what"`
}

// Names of conditions beyond the rules of the judge that have to hold.
const (
	Unserved = "UNSERVED" // fewer requests were served than expected
	Stuck    = "STUCK"    // processes did not end when they were told
	Crashed  = "CRASHED"  // the program itself broke down
	Unsown   = "UNSOWN"   // the cluster did not start
)

// Rules returns the names of all that is broken, each once, in order.
func (r *Result) Rules() string {
	by := map[string]bool{}
	for _, b := range r.Broken {
		by[b.Rule] = true
	}
	var all []string
	for k := range by {
		all = append(all, k)
	}
	sort.Strings(all)
	return strings.Join(all, " ")
}

// Took bounds, in microseconds.
const (
	tookLeast = 1
	tookMost  = int64(10 * time.Minute / time.Microsecond)
)

// NewTook makes an empty histogram of latencies in microseconds, three digits fine.
func NewTook() *hdrhistogram.Histogram { return hdrhistogram.New(tookLeast, tookMost, 3) }

func (r *Result) weigh(f *emulator.Fortune) {
	r.Wishes, r.Served, r.Tries, r.Refused, r.Further = f.All.Wishes, f.All.Served, f.Tries, f.Refused, f.Further
	r.Earned, r.Worst = f.All.Part(), 1
	if r.Wishes > 0 {
		r.Share = float64(r.Served) / float64(r.Wishes)
	}
	for _, w := range f.Windows {
		if w.Wishes >= leastInWindow {
			r.Worst = min(r.Worst, w.Part())
		}
	}
	parts := func(m map[string]*emulator.Worth) map[string]float64 {
		out := map[string]float64{}
		for k, w := range m {
			out[k] = w.Part()
		}
		return out
	}
	r.Routes, r.Zones, r.Tenants, r.Cells = parts(f.Routes), parts(f.Zones), parts(f.Tenants), parts(f.Cells)
	h := NewTook()
	for _, t := range f.Late {
		_ = h.RecordValue(max(1, t.Microseconds()))
	}
	r.Took = h.Export()
}

// leastInWindow is below what number of wishes a window says nothing.
const leastInWindow = 20

func (r *Result) String() string {
	text := fmt.Sprintf("%s seed %d: %d of %d served, worth %.3f, trace %s, %.1f s virtual in %.1f s", r.Name, r.Seed, r.Served, r.Wishes, r.Earned, r.Trace, r.Virtual, r.Real)
	for _, b := range r.Broken {
		text += "\n" + b.Rule + ": " + b.What
	}
	if r.More > 0 {
		text += fmt.Sprintf("\nand %d more", r.More)
	}
	return text
}

// fail is the result of a day that could not be judged.
func fail(d *scenario.Day, rule, what string) *Result {
	return &Result{Name: d.Name, Seed: d.Seed, Broken: []Break{{rule, what}}}
}
