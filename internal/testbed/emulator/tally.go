package emulator

import (
	"slices"
	"time"
)

// Tally is what clients saw for a while: tries by how they ended.
type Tally struct {
	Served, Refused, Failed int             // refused: an answer that nothing ran
	Took                    []time.Duration // of those served, in order
}

// Quantile is the time within which so much of what was served was served.
func (t *Tally) Quantile(part float64) time.Duration {
	if len(t.Took) == 0 {
		return 0
	}
	return t.Took[min(int(part*float64(len(t.Took))), len(t.Took)-1)]
}

// Tally counts the tries that ended in a stretch of time, without those of stories.
func (b *Book) Tally(from, to time.Time) *Tally { return b.TallyOf("", from, to) }

// TallyOf counts those with a key only, and with none all.
func (b *Book) TallyOf(key string, from, to time.Time) *Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Tally{}
	for _, x := range b.lonely {
		if !x.at.Before(from) && x.at.Before(to) {
			t.Failed++
		}
	}
	for _, q := range b.all {
		switch {
		case key != "" && q.Key != key:
		case q.Probe || q.Ended.IsZero() || q.Ended.Before(from) || !q.Ended.Before(to):
		case q.Status/100 == 2:
			t.Served++
			t.Took = append(t.Took, q.Ended.Sub(q.Sent))
		case slices.Contains([]int{429, 503, 408, 421}, q.Status):
			t.Refused++
		default:
			t.Failed++
		}
	}
	slices.Sort(t.Took)
	return t
}

// Arrivals counts what came to a zone's servers in a stretch of time, and tells when the last of it did.
func (b *Book) Arrivals(zone string, from, to time.Time) (n int, last time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.all {
		for _, a := range q.Arrivals {
			if a.Server.Zone != zone || a.At.Before(from) || !a.At.Before(to) {
				continue
			}
			n++
			if a.At.After(last) {
				last = a.At
			}
		}
	}
	return n, last
}

func (b *Book) probe(q *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Probe = true
}

// Visits counts the requests of a kind that came to a server in a stretch of time.
func (b *Book) Visits(s *Server, kind string, from, to time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.all {
		if q.Kind != kind {
			continue
		}
		for _, a := range q.Arrivals {
			if a.Server == s && !a.At.Before(from) && a.At.Before(to) {
				n++
			}
		}
	}
	return n
}
