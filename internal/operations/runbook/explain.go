package runbook

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Explain is the book in words.
func (b *Book) Explain() string {
	var t strings.Builder
	say := func(format string, a ...any) { fmt.Fprintf(&t, format+"\n", a...) }
	say("%s: %s\n\n%s\n", b.Name, b.Title, strings.TrimSpace(b.About))
	for _, p := range b.Params {
		text := ""
		if p.Default != "" {
			text = ", else " + p.Default
		}
		say("--set %s=...  %s (%s)%s", p.Name, p.About, p.Kind, text)
	}
	for _, c := range b.Before {
		say("begins only if %s: %s", c.When, c.Why)
	}
	l := b.Limits
	say("takes %v at most, then: %s; gives %d orders at most, then: %s", seconds(l.WithinS), l.Late, l.Orders, l.Harm)
	for _, c := range l.Keep {
		say("once %s does not hold: %s, because %s", c.When, l.Harm, c.Why)
	}
	if b.Each.Param != "" {
		say("the steps are taken for each value of %s, %s at a time; limits of orders and time count for each", b.Each.Param, or(b.Each.AtOnce, "1"))
	}
	for i := range b.Steps {
		b.Steps[i].explain(i+1, say)
	}
	return t.String()
}

func (s *Step) explain(no int, say func(string, ...any)) {
	say("\n%d. %s (%s) %s", no, s.Name, s.Kind, strings.TrimSpace(s.About))
	switch s.Kind {
	case Observe:
		say("   writes down %s", strings.Join(s.Look, ", "))
	case Decide:
		for _, c := range s.Choices {
			say("   if %s: goes to %s", strings.Join(c.When, " and "), c.Go)
		}
		say("   else: goes to %s", s.Otherwise)
	case Act:
		for _, c := range s.Needs {
			say("   only if %s: %s", c.When, c.Why)
		}
		var args []string
		for _, k := range slices.Sorted(maps.Keys(s.Args)) {
			args = append(args, k+"="+s.Args[k])
		}
		d := deed(s.Do)
		say("   orders %s %s: %s", s.Do, strings.Join(args, " "), d.About)
		if s.Undo {
			say("   undone by: %s", d.Undo)
		} else {
			say("   not undone when the run goes back")
		}
	case Wait:
		hold := ""
		if s.HoldS > 0 {
			hold = fmt.Sprintf(" for %v", seconds(s.HoldS))
		}
		say("   waits until %s%s, for %v at most; else goes to %s", strings.Join(s.Until, " and "), hold, seconds(s.WithinS), s.Else)
	case Confirm:
		say("   asks: %s", s.Ask)
	}
	if s.Next != "" {
		say("   then goes to %s", s.Next)
	}
}

func or(text, none string) string {
	if text == "" {
		return none
	}
	return text
}
