package audit

import (
	"fmt"
	"time"
)

// Cost is what a revision of a route book says of a request.
type Cost struct {
	Units  float64
	Repeat Effect
}

// Revised tells what a revision says. It comes before any edge node could have
// it in force. Of is asked for an operation and a query text; ok is false where
// the revision has no such operation.
type Revised struct {
	Revision string
	Of       func(operation, query string) (c Cost, ok bool)
}

// Swapping tells that an edge node is about to bring a revision in force, and
// Swapped that it has: what it reads from then on is read under that one.
type (
	Swapping struct{ Node, Revision string }
	Swapped  struct{ Node, Revision string }
)

// ReadAs tells what an attempt or an answer says that its request was read as.
// It comes before Sent and Answered.
type ReadAs struct {
	Request  string
	Server   string // empty: an answer says so
	Revision string
	Units    float64
}

func (ReadAs) event()   {}
func (Revised) event()  {}
func (Swapping) event() {}
func (Swapped) event()  {}

// books is what the judge knows of revisions.
type books struct {
	costs map[string]Revised
	force map[string][]reign // by node, oldest first
}

// reign is the time in which a revision may have been in force.
type reign struct {
	revision string
	from     time.Duration
	to       time.Duration // 0: it goes on
}

func newBooks() books { return books{costs: map[string]Revised{}, force: map[string][]reign{}} }

// swapped ends the reign of all but the one that is in force now.
func (b *books) swapped(ev Swapped, now time.Duration) {
	list := b.force[ev.Node]
	for i := range list {
		if list[i].revision != ev.Revision && list[i].to == 0 {
			list[i].to = now
		}
	}
}

// reigned tells whether a revision may have been in force at some moment of a
// span.
func (b *books) reigned(node, revision string, from, to time.Duration) bool {
	for _, r := range b.force[node] {
		if r.revision == revision && r.from <= to && (r.to == 0 || r.to >= from) {
			return true
		}
	}
	return false
}

// read judges what a request was read as: by the book of a revision that was in
// force when it could be read, at that revision's cost, and by the same one to
// its end.
func (j *Judge) read(r *request, ev ReadAs) {
	if r.asked == nil {
		return
	}
	revision, units := ev.Revision, ev.Units
	b := Break{Rule: ChargedByBook, Request: r.id, Node: r.asked.Node, Server: ev.Server, Customer: r.asked.Customer}
	if r.book != "" && (r.book != revision || r.units != units) {
		b.Why = fmt.Sprintf("%v units by revision %s, and %v by %s before", units, revision, r.units, r.book)
		j.fault(b)
		return
	}
	if r.book != "" {
		return
	}
	r.book, r.units = revision, units
	if !j.books.reigned(r.asked.Node, revision, r.at, j.now) {
		b.Why = "read under revision " + revision + ", which was not in force then"
		j.fault(b)
	}
	cost, ok := j.cost(r)
	switch {
	case !ok:
		b.Why = fmt.Sprintf("revision %s has no operation %s", revision, r.asked.Operation)
		j.fault(b)
	case cost.Units != units:
		b.Why = fmt.Sprintf("charged %v units; revision %s says %v", units, revision, cost.Units)
		j.fault(b)
	}
}

// cost is what a request's revision says of it.
func (j *Judge) cost(r *request) (Cost, bool) {
	rev, ok := j.books.costs[r.book]
	if !ok || r.asked == nil {
		return Cost{}, false
	}
	return rev.Of(r.asked.Operation, r.asked.Query)
}

// effect is the more careful of what a class and a revision say.
func (j *Judge) effect(r *request, c Class) Effect {
	if cost, ok := j.cost(r); ok {
		return max(c.Effect, cost.Repeat)
	}
	return c.Effect
}
