package winnow

import (
	"maps"
	"math"
	"slices"
	"time"
)

// What it takes. Weights are in outcomes.
const (
	need       = 4.0        // against a server, after all caps, that condemn it
	groupBad   = 0.6 * need // at most of one tenant group, ...
	witnessBad = 0.6 * need // ... and of one gate: neither can condemn alone
	groupMass  = 6.0        // at most of one group, for and against
	illWorth   = 0.25       // of what one saw who was ill itself
	leastShare = 0.25       // against a server, of all, that condemn it; and twice what is usual
	mostShare  = 0.6
	usualTimes = 2.0
	proof      = 12.0 // in e-folds, that condemns
	leastUsual = 0.02
	mostUsual  = 0.45
	spare      = 1.3
	leastIll   = 0.5
	mostIll    = 0.9
	usualEvery = 5 * time.Second // what is usual changes slowly, and takes a look at all
	enoughSeen = 3               // servers that a gate must have tried to be compared
	zoneGood   = 2.0             // for a server, without one group, that let a zone speak for it
	fullExcess = 0.75            // servers failing at it beyond what is usual among gates, at which its word counts nothing
)

// spans are the last parts of the window that are looked at, the shortest first: what was good before a server fell ill
// does not hide it.
var spans = []time.Duration{Span, 2 * Span, 4 * Span, 8 * Span, 16 * Span, 32 * Span, 64 * Span, Window}

// reading is what the evidence of one server and kind comes to in one span.
type reading struct {
	bad, good     float64
	share         float64 // against it, without the group that speaks for it most
	plain         float64 // share of all
	proof         float64 // logarithm of how much likelier it is of an ill server than of a usual one
	number        int
	against, for_ int // witnesses
	zonesAgainst  int
	zonesFor      int
}

// credit is what a gate's word on a server is worth, 0 to 1: little where it fails at many others too, beyond what
// the middle one of all gates does.
func (f *Floor) credit(w *witness, server string, usual float64) float64 {
	if f.fault == "trusts all" {
		return 1
	}
	return 1 - min(1, max(0, w.failsBeside(server)-usual)/fullExcess)
}

// failsBeside is the share of other servers that fail at a gate; 0 where it has tried too few.
func (w *witness) failsBeside(server string) float64 {
	tried, fails := w.tried, w.fails
	if w.failing[server] {
		tried, fails = tried-1, fails-1
	}
	if tried < enoughSeen {
		return 0
	}
	return float64(fails) / float64(tried)
}

func (f *Floor) usualFails(server string) float64 {
	var all []float64
	for _, w := range f.witnesses {
		if w.tried >= enoughSeen {
			all = append(all, w.failsBeside(server))
		}
	}
	return middle(all)
}

func middle(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// voice is one gate's weighed word, by group.
type voice struct {
	zone  string
	count int
	by    [Groups][2]int64 // against, for
}

// word is what one cell says, weighed.
type word struct {
	name, zone string
	group      uint8
	number     int
	bad, good  int64
}

// words are what was seen of a server in spans that began at a moment or later, each in the shortest of spans that it
// falls in.
func (f *Floor) words(server string, kind Kind, since time.Duration, usual float64) (all [][]word) {
	all = make([][]word, len(spans))
	credit := map[*witness]float64{}
	for k, c := range f.cells[server] {
		if k.kind != kind {
			continue
		}
		at := f.begins(&k, c)
		if at < since {
			continue
		}
		i := slices.IndexFunc(spans, func(d time.Duration) bool { return f.now-at <= d })
		if i < 0 {
			continue
		}
		w := c.from
		worth, ok := credit[w]
		if !ok {
			worth = f.credit(w, server, usual)
			credit[w] = worth
		}
		worth *= math.Exp2(-float64(max(0, f.now-at)) / float64(half))
		if c.ill && f.fault != "hears the ill" {
			worth *= illWorth
		}
		bad, good := c.counts.weigh()
		all[i] = append(all[i], word{k.name, w.zone, k.group, c.counts.number(), int64(float64(bad) * worth), int64(float64(good) * worth)})
	}
	return all
}

// add adds words to voices, by gate's name.
func add(voices map[string]*voice, words ...[]word) map[string]*voice {
	for _, list := range words {
		for _, x := range list {
			v := voices[x.name]
			if v == nil {
				v = &voice{zone: x.zone}
				voices[x.name] = v
			}
			v.count += x.number
			v.by[x.group][0] += x.bad
			v.by[x.group][1] += x.good
		}
	}
	return voices
}

// join makes one reading of all voices: by group first, each with a cap, then by gate, each with a cap.
func (f *Floor) join(voices map[string]*voice, b bar) (r reading) {
	var group [Groups][2]float64
	for _, v := range voices {
		for g, x := range v.by {
			group[g][0] += float64(x[0]) / one // whole multiples of 1/4096: exact in any order
			group[g][1] += float64(x[1]) / one
		}
	}
	var scale [Groups][2]float64
	for g, x := range group {
		all := min(1, groupMass/max(groupMass, x[0]+x[1]))
		scale[g] = [2]float64{all, all}
		if x[0]*all > groupBad {
			scale[g][0] = groupBad / x[0]
		}
		if f.fault == "no group cap" {
			scale[g] = [2]float64{1, 1}
		}
	}
	all, zones := &tally{}, map[string]*tally{}
	for _, name := range slices.Sorted(maps.Keys(voices)) {
		v, t := voices[name], &tally{}
		for g, x := range v.by {
			t.bad += float64(x[0]) / one * scale[g][0]
			t.good[g] = float64(x[1]) / one * scale[g][1]
		}
		if f.fault != "no witness cap" {
			t.bad = min(t.bad, witnessBad)
		}
		if zones[v.zone] == nil {
			zones[v.zone] = &tally{}
		}
		all.add(t)
		zones[v.zone].add(t)
		r.number += v.count
		good, apart := t.sums()
		switch {
		case t.against(apart, b):
			r.against++
		case good > 0:
			r.for_++
		}
	}
	for _, z := range zones {
		switch _, apart := z.sums(); {
		case z.against(apart, b):
			r.zonesAgainst++
		case apart >= zoneGood:
			r.zonesFor++
		}
	}
	r.bad = all.bad
	good, apart := all.sums()
	if r.good = good; r.bad > 0 {
		r.plain, r.share = r.bad/(r.bad+good), r.bad/(r.bad+apart)
		if f.fault == "one group absolves" {
			r.share, apart = r.plain, good
		}
		r.proof = r.bad*math.Log(b.ill/b.usual) + apart*math.Log((1-b.ill)/(1-b.usual))
	}
	return r
}

// tally is what speaks against a server, and for it by group.
type tally struct {
	bad  float64
	good [Groups]float64
}

func (t *tally) add(o *tally) {
	t.bad += o.bad
	for g, x := range o.good {
		t.good[g] += x
	}
}

// sums are what speaks for it, with and without the group that does so most: so none can absolve alone.
func (t *tally) sums() (all, apart float64) {
	for _, x := range t.good {
		all += x
	}
	return all, all - slices.Max(t.good[:])
}

func (t *tally) against(apart float64, b bar) bool {
	return t.bad > 0 && t.bad >= b.share*(t.bad+apart)
}

// read looks at all spans of a server's evidence since a moment, and gives the one that speaks most against it.
func (f *Floor) read(server string, kind Kind, since time.Duration, b bar) (worst reading) {
	if !f.anyBad(server, kind) {
		return worst
	}
	voices := map[string]*voice{}
	for _, list := range f.words(server, kind, since, f.usualFails(server)) {
		add(voices, list)
		r := f.join(voices, b)
		switch {
		case f.condemns(r, b):
			return r
		case worst.number == 0 || f.doubts(r, b) && !f.doubts(worst, b):
			worst = r
		}
	}
	return worst
}

func (f *Floor) anyBad(server string, kind Kind) bool {
	for k, c := range f.cells[server] {
		if bad, _ := c.counts.weigh(); bad > 0 && k.kind == kind {
			return true
		}
	}
	return false
}

// condemns tells whether a reading makes a server unfit.
func (f *Floor) condemns(r reading, b bar) bool {
	zones := r.zonesAgainst > r.zonesFor && (r.zonesAgainst > 1 || f.zones() < 2)
	return r.bad >= need && r.share >= b.share && r.proof >= proof && r.against > 1 && (zones || f.fault == "one zone condemns")
}

// doubts tells whether a reading makes a server doubtful.
func (f *Floor) doubts(r reading, b bar) bool {
	return r.bad >= need/2 && r.share >= b.share && r.proof >= proof/2 && r.zonesAgainst > r.zonesFor
}

// zones are in how many zones there are gates that told something.
func (f *Floor) zones() int {
	all := map[string]bool{}
	for _, w := range f.witnesses {
		all[w.zone] = true
	}
	return len(all)
}

// usualOver are the times over which it is looked at what is usual: lately, so that what befalls all at once is usual
// at once, and for long.
var usualOver = [...]time.Duration{2 * Span, 8 * Span, 64 * Span}

const (
	leastOthers = 3 // servers of which enough was seen lately, for what is usual lately
	usualLong   = len(usualOver) - 1
)

// usuals are the shares against all servers of which enough was seen, over each of those times.
type usuals [len(usualOver)]map[string]float64

func (f *Floor) shares(kind Kind) (all usuals) {
	for i, d := range usualOver {
		all[i] = map[string]float64{}
		for id := range f.cells {
			voices := add(map[string]*voice{}, f.words(id, kind, f.now-d, 0)...)
			if r := f.join(voices, barOf(0)); r.bad+r.good >= need {
				all[i][id] = r.plain
			}
		}
	}
	return all
}

// bar is what evidence is held against.
type bar struct {
	share float64 // against a server, that condemns it
	usual float64 // of outcomes that are unclear anyway, with something to spare
	ill   float64 // of those of an ill server
}

func barOf(usual float64) bar {
	p := min(mostUsual, max(leastUsual, spare*usual))
	return bar{min(mostShare, max(leastShare, usualTimes*usual)), p, min(mostIll, max(leastIll, 2*p))}
}

// barFor is higher where much is unclear at the middle one of all other servers.
func barFor(all usuals, server string) bar {
	usual := 0.0
	for i, shares := range all {
		var others []float64
		for id, x := range shares {
			if id != server {
				others = append(others, x)
			}
		}
		if i == usualLong || len(others) >= leastOthers {
			usual = max(usual, middle(others))
		}
	}
	return barOf(usual)
}
