package sim

import "time"

// Ways sets how long bytes take from one machine to another, on top of what Set says.
func (n *Net) Ways(way func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways = way
}

// latencyFrom draws a latency from one machine to another.
func (n *Net) latencyFrom(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wayBetween(from, to)
}

func (n *Net) wayBetween(from, to string) time.Duration {
	if from != "" && from == to {
		return loopback
	}
	d := n.way()
	if n.ways != nil {
		d += n.ways(from, to)
	}
	return d
}

// link is a machine's line to all others, in one direction.
type link struct {
	rate float64   // bytes a second
	free time.Time // when it has sent, or taken in, what it was given
}

// Links narrows the lines of machines to so many bytes a second, in each direction.
func (n *Net) Links(rate float64, ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		n.links[[2]string{ip, "out"}], n.links[[2]string{ip, "in"}] = &link{rate: rate}, &link{rate: rate}
	}
}

// Fill gives narrowed lines of machines so much to carry, in each direction, that what comes next waits for that long.
func (n *Net) Fill(d time.Duration, ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		for _, way := range []string{"in", "out"} {
			if l := n.links[[2]string{ip, way}]; l != nil {
				l.free = time.Now().Add(d)
			}
		}
	}
}

// arrival is when bytes that are sent now arrive: their way, and their turn on the lines at both ends.
func (n *Net) arrival(from, to string, bytes int, now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := n.wayBetween(from, to)
	n.carry(from, to, bytes)
	if from == to {
		return now.Add(way)
	}
	return n.links[[2]string{to, "in"}].pass(n.links[[2]string{from, "out"}].pass(now, bytes).Add(way), bytes)
}

// pass is when bytes that come at a moment are through.
func (l *link) pass(at time.Time, bytes int) time.Time {
	if l == nil {
		return at
	}
	if l.free.After(at) {
		at = l.free
	}
	l.free = at.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.free
}

const loopback = 20 * time.Microsecond
