package runbook

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Facts is what is seen: numbers (float64), bools and words. What is not in it is
// not known.
type Facts map[string]any

// Fact is a fact that there can be; a star stands for a name.
type Fact struct {
	Pattern string
	Kind    string // number, yes or word
	About   string
}

// Known are all facts.
var Known = []Fact{
	{"settled", "yes", "a majority of voters answers a replica"},
	{"replicas.known", "number", "replicas that are known"},
	{"replicas.answering", "number", "replicas that answer this client"},
	{"replicas.voters", "number", "replicas whose disks count"},
	{"replicas.majority", "number", "voters that an order needs"},
	{"replicas.eligible", "number", "voters that answer"},
	{"replicas.failing", "number", "replicas that answer and whose last store failed"},
	{"replicas.behind", "number", "replicas that answer and hold less than the newest"},
	{"replicas.differ", "yes", "replicas differ in the version confirmed"},
	{"replica.*.answers", "yes", "the replica answers this client"},
	{"replica.*.eligible", "yes", "it is a voter by what is decided"},
	{"replica.*.failing", "yes", "its last store failed"},
	{"replica.*.held", "number", "the version on its disk; 0: none"},
	{"replica.*.behind", "yes", "it holds less than the newest"},
	{"proxies.known", "number", "proxies that are known"},
	{"proxies.alive", "number", "proxies that a replica hears"},
	{"proxies.ready", "number", "proxies that take clients"},
	{"proxies.ready_share", "number", "ready ones of those known, 0 to 1"},
	{"proxies.awake", "number", "proxies that take clients and are not to rest"},
	{"proxies.awake_share", "number", "such of those known, 0 to 1"},
	{"proxies.resting", "number", "proxies that are to rest"},
	{"proxies.refused_per_s", "number", "requests that proxies answered with 429 or 503, in the last seconds"},
	{"proxies.failed_per_s", "number", "requests that they answered with another 5xx"},
	{"proxies.refused_share", "number", "part of all answers that were 429 or 503, 0 to 1"},
	{"proxies.failed_share", "number", "part of them that were another 5xx"},
	{"proxies.lagging", "number", "proxies that are behind or silent"},
	{"proxy.*.alive", "yes", "a replica hears the proxy"},
	{"proxy.*.ready", "yes", "it takes clients"},
	{"proxy.*.lagging", "yes", "it is behind or silent"},
	{"proxy.*.to_rest", "yes", "a majority holds that it is to rest"},
	{"proxy.*.rests", "yes", "it does, and would take clients else"},
	{"proxy.*.requests", "number", "requests there that are not answered"},
	{"proxy.*.clients", "number", "connections of clients there"},
	{"proxy.*.life", "number", "start of its agent, in nanoseconds of Unix time"},
	{"proxy.*.renewed", "yes", "it has begun a new life since this run had it restarted"},
	{"proxy.*.version", "number", "the version in force there; 0: none"},
	{"config.version", "number", "the version that control shows"},
	{"config.everywhere", "yes", "it is in force at all proxies that are ready"},
	{"config.age_s", "number", "since a majority last confirmed what is held, by the freshest replica"},
	{"list.age_s", "number", "since the list of servers was heard, by the freshest replica"},
	{"servers.ready", "number", "servers listed ready, cold ones left out"},
	{"servers.cold", "number", "servers listed ready that are cold"},
	{"servers.open", "number", "such servers in zones that are not drained"},
	{"zones.drained", "number", "zones that are drained"},
	{"zone.*.drained", "yes", "a majority holds that nothing is sent to the zone's servers"},
	{"zone.*.replicas", "number", "replicas in the zone"},
	{"zone.*.answering", "number", "such that answer"},
	{"zone.*.proxies", "number", "proxies in the zone"},
	{"zone.*.ready", "number", "such that are ready"},
	{"zone.*.awake", "number", "such that are ready and not to rest"},
	{"zone.*.servers", "number", "servers listed there, draining ones left out"},
	{"tenant.*.rate", "number", "the tenant's limit, requests a second; 0: none"},
	{"tenant.*.keys", "number", "its keys"},
	{"key.*.held", "yes", "the key of the print is in the configuration that control shows"},
	{"service.*.routes", "number", "routes that send to the service"},
	{"service.*.share", "number", "its largest part of one of them, 0 to 1"},
}

// known finds the fact of a name; a param's place counts as a name.
func known(name string) *Fact {
	for i := range Known {
		before, after, star := strings.Cut(Known[i].Pattern, "*")
		if name == before && !star || star && strings.HasPrefix(name, before) && strings.HasSuffix(name, after) && len(name) > len(before)+len(after) {
			return &Known[i]
		}
	}
	return nil
}

// Cond is something that holds or does not.
type Cond struct {
	Fact, Op, Value string
}

var ops = map[string]func(a, b float64) bool{
	"==": func(a, b float64) bool { return a == b }, "!=": func(a, b float64) bool { return a != b },
	"<": func(a, b float64) bool { return a < b }, "<=": func(a, b float64) bool { return a <= b },
	">": func(a, b float64) bool { return a > b }, ">=": func(a, b float64) bool { return a >= b },
}

// ParseCond reads a condition: fact, operator and value, with spaces between.
func ParseCond(text string) (Cond, error) {
	f := strings.Fields(text)
	if len(f) != 3 {
		return Cond{}, errors.Errorf("%q: not a fact, an operator and a value", text)
	}
	c := Cond{f[0], f[1], f[2]}
	k := known(c.Fact)
	switch {
	case ops[c.Op] == nil:
		return c, errors.Errorf("%q: no operator; there are == != < <= > >=", c.Op)
	case k == nil:
		return c, errors.Errorf("%q: no such fact", c.Fact)
	case k.Kind != "number" && c.Op != "==" && c.Op != "!=":
		return c, errors.Errorf("%q: %s is no number", c.Op, c.Fact)
	case strings.HasPrefix(c.Value, "{") || known(c.Value) != nil:
		return c, nil
	case k.Kind == "yes" && c.Value != "true" && c.Value != "false":
		return c, errors.Errorf("%q: %s is true or false", c.Value, c.Fact)
	case k.Kind == "number":
		if _, err := strconv.ParseFloat(c.Value, 64); err != nil {
			return c, errors.Errorf("%q: neither a number nor a fact", c.Value)
		}
	}
	return c, nil
}

// Holds tells whether a condition holds; known is false where what it takes is
// not known: nothing is guessed then.
func (f Facts) Holds(text string) (holds, known bool) {
	c, err := ParseCond(text)
	if err != nil {
		return false, false
	}
	is, ok := f[c.Fact]
	if _, shown := f["config.version"]; !ok && shown && strings.HasPrefix(c.Fact, "key.") {
		is, ok = false, true // all keys that there are are told
	}
	if !ok {
		return false, false
	}
	want := any(c.Value)
	if other, ok := f[c.Value]; ok {
		want = other
	}
	if n, ok := is.(float64); ok {
		m, err := strconv.ParseFloat(fmt.Sprint(want), 64)
		return err == nil && ops[c.Op](n, m), err == nil
	}
	return (fmt.Sprint(is) == fmt.Sprint(want)) == (c.Op == "=="), true
}

// all tells whether all conditions hold; one that is known not to hold is enough
// for no, one that is not known is enough for not knowing.
func (f Facts) all(conds []string) (holds, known bool) {
	holds, known = true, true
	for _, c := range conds {
		h, k := f.Holds(c)
		if k && !h {
			return false, true
		}
		holds, known = holds && h, known && k
	}
	return holds && known, known
}
