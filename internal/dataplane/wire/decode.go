// Package wire reads and writes the line protocol of the simulator. It makes
// no decisions: it turns lines into the events of package policy, and actions
// into lines.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// Configure starts an instance with these settings and no earlier state.
type Configure struct {
	Seed     uint64
	Settings policy.Settings
}

// Kill ends an instance.
type Kill struct{}

// Item is one event of a batch, for the instance Node. Event is a policy.Event,
// a Configure or a Kill; it is nil for an event that the policy doesn't use.
type Item struct {
	Node  string
	Line  int
	Event any
}

// Batch holds the events of one instant, Now.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Decoder reads batches from lines of the simulator. It keeps the server lists
// that earlier TABLE lines defined.
type Decoder struct {
	r      *bufio.Reader
	line   int
	tables map[int][]policy.Server
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16), tables: map[int][]policy.Server{}}
}

// Line returns the number of the line read last; the first line is 1.
func (d *Decoder) Line() int { return d.line }

func (d *Decoder) next() (string, error) {
	s, err := d.r.ReadString('\n')
	if err != nil && !(errors.Is(err, io.EOF) && s != "") {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (d *Decoder) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", d.line, fmt.Sprintf(format, args...))
}

// Next reads one batch. It returns io.EOF at the end of input between
// batches; every other error names the line and the reason.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	head := ""
	for head == "" {
		s, err := d.next()
		if errors.Is(err, io.EOF) {
			return b, io.EOF
		}
		if err != nil {
			return b, d.errorf("%v", err)
		}
		head = s
	}
	f := parser{fields: strings.Split(head, " ")}
	if f.text() != "FRAME" {
		return b, d.errorf("a batch starts with FRAME, not %q", clip(head))
	}
	b.Now = f.ms()
	if err := f.end(); err != nil {
		return b, d.errorf("FRAME: %v", err)
	}
	for {
		s, err := d.next()
		if errors.Is(err, io.EOF) {
			return b, d.errorf("input ends inside a batch")
		}
		if err != nil {
			return b, d.errorf("%v", err)
		}
		if s == "EOF_BATCH" {
			return b, nil
		}
		item, ok, err := d.event(s)
		if err != nil {
			return b, err
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

// event parses one line of a batch. It returns false for a TABLE line, which
// defines a server list and is no event.
func (d *Decoder) event(s string) (Item, bool, error) {
	f := parser{fields: strings.Split(s, " ")}
	verb := f.text()
	if verb == "TABLE" {
		return Item{}, false, d.table(&f)
	}
	item := Item{Line: d.line}
	item.Node = f.text()
	switch verb {
	case "CONFIGURE":
		c := Configure{Seed: f.uint(64)}
		if f.err == nil {
			c.Settings, f.err = parseSettings(f.fields)
			f.fields = nil
		}
		item.Event = c
	case "CRASH_NOW":
		item.Event = Kill{}
	case "MEMBERSHIP":
		kind, known := listKinds[f.text()]
		f.skip() // version of the list
		m := policy.ServerList{Kind: kind}
		page := f.text()
		if f.err == nil && !known {
			return item, false, d.errorf("MEMBERSHIP: unknown kind")
		}
		if f.err == nil && kind != policy.WatchFailed {
			n, err := strconv.Atoi(page)
			list, have := d.tables[n]
			if err != nil || !have {
				return item, false, d.errorf("MEMBERSHIP: no list %q", clip(page))
			}
			m.Servers = list
		}
		item.Event = m
	case "INGRESS":
		r := policy.Request{ID: f.id(), GatewayCount: f.int(), Class: f.text(), FirstGateway: f.int(), Remaining: f.ms()}
		r.Units = f.num()
		r.Retry = f.int()&2 != 0
		r.Customer = f.text()
		r.Plan = f.text()
		item.Event = r
	case "ACCEPTED":
		item.Event = policy.Started{ID: f.id(), Attempt: f.int(), Server: f.server()}
		f.skip() // latency
	case "VERDICT":
		o := policy.Outcome{ID: f.id(), Attempt: f.int()}
		f.skip() // the metered figure: the totals that peers exchange are used instead
		o.Latency = f.ms()
		o.Server = f.server()
		o.ClientAnswered = f.bool()
		o.ActualUnits = f.num()
		o.Code = f.code()
		o.Load = f.row()
		item.Event = o
	case "LAPSED":
		item.Event = policy.ClientGone{ID: f.id()}
	case "ELAPSED":
		item.Event = policy.Timer{Token: f.text()}
	case "WHISPER":
		item.Event = policy.PeerMessage{From: f.int(), Data: f.bytes()}
	case "PROBE_RESULT":
		f.server()
		f.code()
		f.ms()
		f.row()
	case "LEDGER_REPLY":
		f.skip()
		f.code()
		f.num()
		f.ms()
	default:
		return item, false, d.errorf("unknown event %q", clip(verb))
	}
	if err := f.end(); err != nil {
		return item, false, d.errorf("%s: %v", verb, err)
	}
	return item, true, nil
}

var listKinds = map[string]policy.ServerListKind{"changes": policy.ChangedServers, "all": policy.CompleteList,
	"remembered": policy.CachedList, "refused": policy.WatchFailed}

var states = map[string]policy.State{"Running": policy.Running, "Stopping": policy.Draining,
	"Deleted": policy.Removed}

var codes = map[string]policy.Code{"OK": policy.OK, "INTERNAL": policy.Error,
	"RESOURCE_EXHAUSTED": policy.Full, "DEADLINE_EXCEEDED": policy.TimedOut,
	"UNAVAILABLE": policy.ConnectFailed, "ABORTED": policy.Reset, "CANCELLED": policy.Cancelled,
	"TOO_LATE": policy.NoRetry}

// table reads the entries that follow a TABLE line and stores the list under
// its page number.
func (d *Decoder) table(f *parser) error {
	page, count := f.int(), f.int()
	if err := f.end(); err != nil {
		return d.errorf("TABLE: %v", err)
	}
	if count < 0 || count > 1<<20 {
		return d.errorf("TABLE: %d entries", count)
	}
	var list []policy.Server
	for range count {
		s, err := d.next()
		if err != nil {
			return d.errorf("input ends inside a list")
		}
		entry := parser{fields: strings.Split(s, " ")}
		if entry.text() != "M" {
			return d.errorf("a list entry starts with M, not %q", clip(s))
		}
		start := entry.num()
		server := policy.Server{HasStartTime: start > 0, StartTime: duration(start), Weight: entry.num(), Zone: entry.text()}
		server.Cell = entry.int()
		state, known := states[entry.text()]
		entry.skip() // kind of machine
		server.State, server.ID = state, entry.server()
		if err := entry.end(); err != nil {
			return d.errorf("M: %v", err)
		}
		if !known {
			return d.errorf("M: unknown state")
		}
		list = append(list, server)
	}
	d.tables[page] = list
	return nil
}

// parser reads the fields of a line one by one and keeps the first error.
type parser struct {
	fields []string
	err    error
}

func (p *parser) text() string {
	if len(p.fields) == 0 {
		p.setError("too few fields")
		return ""
	}
	w := p.fields[0]
	p.fields = p.fields[1:]
	return w
}

func (p *parser) skip() { p.text() }

func (p *parser) setError(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

// end returns the first error, which includes fields that are left over.
func (p *parser) end() error {
	if len(p.fields) > 0 {
		p.setError("too many fields")
	}
	return p.err
}

// num reads a finite number; "-" stands for 0.
func (p *parser) num() float64 {
	w := p.text()
	if w == "-" || p.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.setError("%q is no number", clip(w))
		return 0
	}
	return v
}

// duration converts milliseconds, rounded to a nanosecond.
func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

func (p *parser) ms() time.Duration { return duration(p.num()) }

func (p *parser) int() int { return int(p.num()) }

func (p *parser) uint(bits int) uint64 {
	w := p.text()
	v, err := strconv.ParseUint(w, 10, bits)
	if err != nil {
		p.setError("%q is no whole number", clip(w))
	}
	return v
}

func (p *parser) server() policy.ServerID { return policy.ServerID(p.uint(32)) }

func (p *parser) id() policy.RequestID {
	w := p.text()
	v, err := strconv.ParseUint(w, 16, 64)
	if err != nil || len(w) != 16 {
		p.setError("%q is no request id", clip(w))
	}
	return policy.RequestID(v)
}

func (p *parser) bool() bool { return p.text() == "1" }

func (p *parser) code() policy.Code {
	w := p.text()
	c, known := codes[w]
	if !known {
		p.setError("unknown ending %q", clip(w))
	}
	return c
}

// row reads numbers separated by commas; "-" stands for none.
func (p *parser) row() []float64 {
	w := p.text()
	if w == "-" || w == "" {
		return nil
	}
	row := parser{fields: strings.Split(w, ",")}
	var out []float64
	for len(row.fields) > 0 {
		out = append(out, row.num())
	}
	if row.err != nil {
		p.setError("%v", row.err)
	}
	return out
}

func (p *parser) bytes() []byte {
	w := p.text()
	if w == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(w)
	if err != nil {
		p.setError("bad base64")
	}
	return b
}

// clip shortens text that an error quotes.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}
