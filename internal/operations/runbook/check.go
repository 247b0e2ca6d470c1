package runbook

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"pepperfall.example/pepperfall/internal/config/conffile"
)

var (
	place = regexp.MustCompile(`\{([^{}]*)\}`)
	names = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
)

// checker looks for what the bounds of single keys can't tell.
type checker struct {
	b      *Book
	file   string
	lines  conffile.Index
	faults conffile.Faults
}

func (c *checker) fault(key, format string, a ...any) {
	c.faults = append(c.faults, conffile.Fault{File: c.file, Line: c.lines.Of(key), Key: key, Text: fmt.Sprintf(format, a...)})
}

func (b *Book) check(file string, text []byte) conffile.Faults {
	lines, _ := conffile.Lines(text)
	c := &checker{b: b, file: file, lines: lines}
	c.name("name", b.Name)
	seen := map[string]bool{}
	for i, p := range b.Params {
		key := fmt.Sprintf("params.%d.name", i)
		c.name(key, p.Name)
		if seen[p.Name] {
			c.fault(key, "%q: the same name again", p.Name)
		}
		seen[p.Name] = true
	}
	c.text("title", b.Title)
	c.text("about", b.About)
	c.checks("before", b.Before)
	c.checks("limits.keep", b.Limits.Keep)
	c.each()
	clear(seen)
	for i := range b.Steps {
		s := &b.Steps[i]
		key := fmt.Sprintf("steps.%d", i)
		c.name(key+".name", s.Name)
		if seen[s.Name] || s.Name == GoEnd || s.Name == GoUndo || s.Name == GoStop {
			c.fault(key+".name", "%q: taken", s.Name)
		}
		seen[s.Name] = true
		c.step(key, i, s)
	}
	slices.SortStableFunc(c.faults, func(a, b conffile.Fault) int { return a.Line - b.Line })
	return c.faults
}

func (c *checker) name(key, name string) {
	if !names.MatchString(name) {
		c.fault(key, "%q: not small letters, digits and dashes", name)
	}
}

// each checks what is to be taken for each value of a list.
func (c *checker) each() {
	e := c.b.Each
	c.text("each.at_once", e.AtOnce)
	if e.Param == "" {
		if e.AtOnce != "" {
			c.fault("each.at_once", "of what? each.param is missing")
		}
		return
	}
	if !slices.ContainsFunc(c.b.Params, func(p Param) bool { return p.Name == e.Param && p.Kind == "list" }) {
		c.fault("each.param", "%q: no param of kind list", e.Param)
	}
	for key, all := range map[string][]Check{"before": c.b.Before, "limits.keep": c.b.Limits.Keep} {
		for i, x := range all {
			if strings.Contains(x.When, "{"+e.Param+"}") {
				c.fault(fmt.Sprintf("%s.%d.when", key, i), "{%s} is a list here", e.Param)
			}
		}
	}
}

// text finds places of params that there are not.
func (c *checker) text(key, text string) {
	for _, m := range place.FindAllStringSubmatch(text, -1) {
		if !slices.ContainsFunc(c.b.Params, func(p Param) bool { return p.Name == m[1] }) {
			c.fault(key, "{%s}: no such param", m[1])
		}
	}
}

func (c *checker) cond(key, text string) {
	c.text(key, text)
	if _, err := ParseCond(text); err != nil {
		c.fault(key, "%v", err)
	}
}

func (c *checker) checks(key string, all []Check) {
	for i, x := range all {
		at := fmt.Sprintf("%s.%d", key, i)
		c.cond(at+".when", x.When)
		c.text(at+".why", x.Why)
	}
}

// to checks a place to go to: only onwards, so that no step comes twice.
func (c *checker) to(key string, from int, name string) {
	if name == GoEnd && c.b.Each.Param != "" {
		c.fault(key, "no end: the steps are taken for each value of a list")
	}
	if name == GoEnd || name == GoUndo || name == GoStop {
		return
	}
	switch at := c.b.Find(name); {
	case at < 0:
		c.fault(key, "%q: no such step; there are also end, undo and stop", name)
	case at <= from:
		c.fault(key, "%q: not a later step", name)
	}
}

func (c *checker) step(key string, i int, s *Step) {
	c.text(key+".about", s.About)
	c.text(key+".ask", s.Ask)
	if s.Next != "" {
		c.to(key+".next", i, s.Next)
	}
	allowed := map[string][]Kind{"look": {Observe}, "choices": {Decide}, "otherwise": {Decide}, "needs": {Act}, "do": {Act}, "args": {Act}, "undo": {Act},
		"until": {Wait}, "hold_s": {Wait}, "within_s": {Wait, Decide}, "else": {Wait}, "ask": {Confirm}, "next": {Observe, Act, Wait, Confirm}}
	set := map[string]bool{"look": len(s.Look) > 0, "choices": len(s.Choices) > 0, "otherwise": s.Otherwise != "", "needs": len(s.Needs) > 0, "do": s.Do != "",
		"args": len(s.Args) > 0, "undo": s.Undo, "until": len(s.Until) > 0, "hold_s": s.HoldS > 0, "within_s": s.WithinS > 0, "else": s.Else != "", "ask": s.Ask != "", "next": s.Next != ""}
	wanted := map[Kind][]string{Observe: {"look"}, Decide: {"choices", "otherwise"}, Act: {"do"}, Wait: {"until", "within_s", "else"}, Confirm: {"ask"}}
	for _, k := range slices.Sorted(maps.Keys(allowed)) {
		if set[k] && !slices.Contains(allowed[k], s.Kind) {
			c.fault(key+"."+k, "does not belong to a step that is to %s", s.Kind)
		}
	}
	for _, k := range wanted[s.Kind] {
		if !set[k] {
			c.fault(key, "a step that is to %s wants %s", s.Kind, k)
		}
	}
	for j, f := range s.Look {
		c.text(key+".look", f)
		if known(f) == nil {
			c.fault(key+".look", "entry %d: %q: no such fact", j, f)
		}
	}
	for j, x := range s.Choices {
		at := fmt.Sprintf("%s.choices.%d", key, j)
		for _, w := range x.When {
			c.cond(at+".when", w)
		}
		c.to(at+".go", i, x.Go)
	}
	if s.Otherwise != "" {
		c.to(key+".otherwise", i, s.Otherwise)
	}
	for _, w := range s.Until {
		c.cond(key+".until", w)
	}
	if s.Else != "" {
		c.to(key+".else", i, s.Else)
	}
	c.checks(key+".needs", s.Needs)
	if s.Do != "" {
		c.act(key, s)
	}
}

func (c *checker) act(key string, s *Step) {
	d := deed(s.Do)
	if d == nil {
		var all []string
		for _, x := range Deeds {
			all = append(all, x.Name)
		}
		c.fault(key+".do", "%q: no such deed; there are %s", s.Do, strings.Join(all, ", "))
		return
	}
	if s.Undo && d.Undo == "" {
		c.fault(key+".undo", "%s is never undone", d.Name)
	}
	for _, a := range d.Args {
		if s.Args[a] == "" {
			c.fault(key, "%s wants args.%s", d.Name, a)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(s.Args)) {
		c.text(key+".args", s.Args[a])
		if !slices.Contains(d.Args, a) {
			c.fault(key+".args", "%s takes no %s", d.Name, a)
		}
	}
}

// Told checks the params of a run and fills in defaults.
func (b *Book) Told(params map[string]string) (map[string]string, error) {
	all := map[string]string{}
	var faults conffile.Faults
	fault := func(format string, a ...any) {
		faults = append(faults, conffile.Fault{File: b.Name, Text: fmt.Sprintf(format, a...)})
	}
	for _, p := range b.Params {
		v, told := params[p.Name]
		if !told {
			v = p.Default
		}
		switch {
		case v == "":
			fault("param %s is missing: %s", p.Name, p.About)
		case p.Kind == "command":
		case p.Kind == "list":
			list := ListOf(v)
			if slices.Sort(list); len(list) == 0 || len(list) > mostValues || len(slices.Compact(slices.Clone(list))) != len(list) || strings.ContainsAny(v, "{}@ \t\n") {
				fault("param %s: %q: no list of 1 to %d different words with commas between", p.Name, v, mostValues)
			}
		case p.Kind != "file" && strings.ContainsAny(v, " \t\n{}"):
			fault("param %s: %q: no spaces and no braces", p.Name, v)
		case p.Kind == "number":
			if _, err := ParseCond("replicas.known == " + v); err != nil {
				fault("param %s: %q: no number", p.Name, v)
			}
		}
		all[p.Name] = v
	}
	for _, k := range slices.Sorted(maps.Keys(params)) {
		if _, ok := all[k]; !ok {
			fault("param %s: there is none of that name", k)
		}
	}
	return all, faults.Err()
}
