package runbook

import (
	"slices"
	"strconv"
	"strings"
)

// Each has all steps taken for each value of a list, some values at a time: a step is taken for all of these before
// the next one is. Limits of orders and time count for each value.
type Each struct {
	Param  string `toml:"param"`   // of kind list; empty: the steps are taken once
	AtOnce string `toml:"at_once"` // how many values at a time; a param may be named. Empty: 1
}

// mostValues bounds a list.
const mostValues = 200

// ListOf is the values of a param of kind list.
func ListOf(text string) (all []string) {
	for _, v := range strings.Split(text, ",") {
		if v = strings.TrimSpace(v); v != "" {
			all = append(all, v)
		}
	}
	return all
}

// spread is the steps for each value, named step@value.
func (b *Book) spread(params map[string]string) (steps []Step) {
	values := ListOf(params[b.Each.Param])
	width, err := strconv.Atoi(fill(params)(b.Each.AtOnce))
	if err != nil || width < 1 {
		width = 1
	}
	for batch := range slices.Chunk(values, width) {
		for i := range b.Steps {
			for _, v := range batch {
				own := map[string]string{}
				for k, x := range params {
					own[k] = x
				}
				own[b.Each.Param] = v
				s := b.Steps[i].with(fill(own))
				to := func(place string) string {
					if b.Find(place) < 0 {
						return place
					}
					return place + "@" + v
				}
				s.Name, s.Next, s.Otherwise, s.Else = s.Name+"@"+v, to(s.Next), to(s.Otherwise), to(s.Else)
				for j := range s.Choices {
					s.Choices[j].Go = to(s.Choices[j].Go)
				}
				s.value, s.base = v, i
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// pass goes on over the steps that a value has jumped over.
func (r *Run) pass() {
	for s := r.step(); s != nil && s.value != "" && s.base < r.past[s.value]; s = r.step() {
		r.At++
	}
}

// jump goes to a later step: of a value's own, where the steps are taken for each of a list.
func (r *Run) jump(place string) {
	at := r.Book.Find(place)
	if s := r.step(); s == nil || s.value == "" || at < 0 {
		r.At = at
		return
	}
	if r.past == nil {
		r.past = map[string]int{}
	}
	to := r.Book.Steps[at]
	r.past[to.value] = to.base
	r.At++
	r.pass()
}

// Renewed is what a run knows beside what is seen: which proxies have begun a new life since it had them restarted.
func (r *Run) renewed(seen Facts) Facts {
	if len(r.lives) == 0 || seen == nil {
		return seen
	}
	all := Facts{}
	for k, v := range seen {
		all[k] = v
	}
	for node, was := range r.lives {
		if is, ok := seen["proxy."+node+".life"].(float64); ok {
			all["proxy."+node+".renewed"] = is > float64(was)
		}
	}
	return all
}
