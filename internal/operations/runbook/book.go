package runbook

import (
	"strings"

	"pepperfall.example/pepperfall/internal/config/conffile"
)

// Book is a runbook.
type Book struct {
	Name   string  `toml:"name" min:"1" max:"40"`
	Title  string  `toml:"title" min:"1" max:"90"`
	About  string  `toml:"about" min:"1" max:"4000"`
	Params []Param `toml:"params" max:"16"`
	Before []Check `toml:"before" max:"16"` // what has to hold for it to begin
	Limits Limits  `toml:"limits"`
	Each   Each    `toml:"each"`
	Steps  []Step  `toml:"steps" min:"1" max:"64"`
}

// Param is what is told when a run begins. Steps name it as {name}.
type Param struct {
	Name    string `toml:"name" min:"1" max:"40"`
	About   string `toml:"about" min:"1" max:"200"`
	Kind    string `toml:"kind" one:"word number file list command"`
	Default string `toml:"default"`
}

// Check is something that has to hold, and what to say where it does not.
type Check struct {
	When string `toml:"when" min:"1" max:"200"`
	Why  string `toml:"why" min:"1" max:"400"`
}

// Limits bound a run.
type Limits struct {
	WithinS float64 `toml:"within_s" min:"1" max:"86400"` // of all of it; people's thinking counts
	Late    string  `toml:"late" one:"undo stop"`         // what then
	Orders  int     `toml:"orders" min:"0" max:"32"`      // that its acts give; what undoes them is not counted
	Keep    []Check `toml:"keep" max:"16"`                // what must not be harmed: looked at before each step
	Harm    string  `toml:"harm" one:"undo stop"`         // what where it is, or where an act must not be done
}

// Kind is what a step does.
type Kind string

// The kinds.
const (
	Observe Kind = "observe" // writes down what is seen
	Decide  Kind = "decide"  // goes on elsewhere by what is seen
	Act     Kind = "act"     // gives an order
	Wait    Kind = "wait"    // until something is seen
	Confirm Kind = "confirm" // asks a person
)

// Step is one step. Which keys belong to which kind is told by the check.
type Step struct {
	Name  string `toml:"name" min:"1" max:"40"`
	Kind  Kind   `toml:"kind" one:"observe decide act wait confirm"`
	About string `toml:"about" max:"1000"`
	Next  string `toml:"next"` // empty: the step after it

	Look []string `toml:"look" max:"32"` // observe: facts

	Choices   []Choice `toml:"choices" max:"16"` // decide: the first one that holds
	Otherwise string   `toml:"otherwise"`

	Needs []Check           `toml:"needs" max:"16"` // act: has to hold
	Do    string            `toml:"do"`
	Args  map[string]string `toml:"args"`
	Undo  bool              `toml:"undo"` // it is undone when the run goes back

	Until   []string `toml:"until" max:"16"` // wait: all of them
	HoldS   float64  `toml:"hold_s" min:"0" max:"3600"`
	WithinS float64  `toml:"within_s" min:"0" max:"86400"`
	Else    string   `toml:"else"` // where it did not come to hold within that

	Ask string `toml:"ask" max:"1000"` // confirm

	value string // of a list, for which it is taken; empty: for none
	base  int    // its place among the page's steps
}

// Choice is one way on.
type Choice struct {
	When []string `toml:"when" min:"1" max:"16"` // all have to hold
	Go   string   `toml:"go" min:"1"`
}

// Places to go to beside later steps.
const (
	GoEnd  = "end"  // all is done
	GoUndo = "undo" // what was done is undone, the last thing first
	GoStop = "stop" // all stays as it is, and a person goes on
)

// Deed is an order that a step can give.
type Deed struct {
	Name  string
	Args  []string
	Undo  string // how it is undone; empty: it never is
	About string
}

// Deeds about proxies.
const (
	DeedRest    = "rest"
	DeedWake    = "wake"
	DeedRestart = "restart"
	DeedHalt    = "halt"
	DeedStart   = "start"
)

// OnMachine tells whether a deed is done to a machine, and not by an order of control.
func OnMachine(deed string) bool { return deed == DeedRestart || deed == DeedHalt || deed == DeedStart }

// Deeds are all that there are.
var Deeds = []Deed{
	{"evacuate", []string{"zone"}, "restore", "sends nothing further to a zone's servers"},
	{"restore", []string{"zone"}, "evacuate", "takes an evacuation back"},
	{"push", []string{"file"}, "the old content as the next version", "brings a configuration from a file, as the next version"},
	{"limit_tenant", []string{"tenant", "rate", "burst"}, "the old content as the next version", "sets a tenant's limit, in the next version"},
	{"leave_service", []string{"service"}, "the old content as the next version", "sends nothing more to a service that shares its routes"},
	{"drop_key", []string{"print"}, "", "takes the key of a print away, in the next version"},
	{DeedRest, []string{"proxy", "zone", "all"}, "wake", "has a proxy rest, where these parts of its zone's proxies and of all stay awake"},
	{DeedWake, []string{"proxy"}, "", "has a proxy rest no longer"},
	{DeedRestart, []string{"proxy", "command"}, "", "has a machine restarted, by a command of yours or, where it is ask, by you"},
	{DeedHalt, []string{"proxy", "command"}, "", "has a machine stopped in the same way"},
	{DeedStart, []string{"proxy", "command"}, "", "has a machine started in the same way"},
}

func deed(name string) *Deed {
	for i := range Deeds {
		if Deeds[i].Name == name {
			return &Deeds[i]
		}
	}
	return nil
}

// Read reads a runbook and checks all of it.
func Read(file string, text []byte) (*Book, error) {
	b := &Book{}
	faults := conffile.Decode(file, text, b)
	if len(faults) == 0 {
		faults = b.check(file, text)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// With is the book with params in place of their names. It has to be checked, and
// all params to be told.
func (b *Book) With(params map[string]string) *Book {
	r := fill(params)
	c := *b
	c.Title, c.About, c.Before, c.Limits.Keep = r(b.Title), r(b.About), checks(b.Before, r), checks(b.Limits.Keep, r)
	c.Steps = nil
	if b.Each.Param != "" {
		c.Steps = b.spread(params)
		n := len(ListOf(params[b.Each.Param]))
		c.Limits.Orders *= n
		c.Limits.WithinS *= float64(n)
		return &c
	}
	for _, s := range b.Steps {
		c.Steps = append(c.Steps, s.with(r))
	}
	return &c
}

// fill puts params in place of their names.
func fill(params map[string]string) func(string) string {
	var pairs []string
	for k, v := range params {
		pairs = append(pairs, "{"+k+"}", v)
	}
	return strings.NewReplacer(pairs...).Replace
}

func checks(all []Check, r func(string) string) (out []Check) {
	for _, c := range all {
		out = append(out, Check{r(c.When), r(c.Why)})
	}
	return out
}

func (s Step) with(r func(string) string) Step {
	lines := func(all []string) (out []string) {
		for _, s := range all {
			out = append(out, r(s))
		}
		return out
	}
	s.About, s.Ask, s.Look, s.Until, s.Needs = r(s.About), r(s.Ask), lines(s.Look), lines(s.Until), checks(s.Needs, r)
	args := map[string]string{}
	for k, v := range s.Args {
		args[k] = r(v)
	}
	s.Args = args
	choices := s.Choices
	s.Choices = nil
	for _, x := range choices {
		s.Choices = append(s.Choices, Choice{lines(x.When), x.Go})
	}
	return s
}

// Find is the place of a step, or -1.
func (b *Book) Find(name string) int {
	for i := range b.Steps {
		if b.Steps[i].Name == name {
			return i
		}
	}
	return -1
}
