package homing

import "time"

// A host's clients are sent to its home region when there are startRatioKB kilobytes of bound requests for each free request,
// and no longer below stopRatioKB. If they are sent, free requests too travel between regions and back, once more with each new
// connection, and add load to the servers there. If not, the body and the answer of each bound request travel that way
// (docs/measurements/system-large.md).
const (
	startRatioKB   = 2.1
	stopRatioKB    = 1.95
	minDecisionAge = 5 * time.Second // a decision lasts at least: clients move with each
	countInterval  = time.Second     // between two countings of one host
	priorRequests  = 30              // requests to each route that count as seen before
	priorRequestKB = 4.0             // of each of those that is bound
	maxDecisions   = 4096            // hosts whose decisions are remembered
)

// Decisions holds the decisions about hosts of a proxy or replica that tells clients where to connect. It is not safe for
// concurrent use.
type Decisions struct {
	byHost map[uint32]*decision
}

type decision struct {
	sendsHome bool
	changedAt time.Duration
	countedAt time.Duration
}

// SendsHome tells whether clients of a host are to be sent to its home region. Bound and free are the numbers of its routes with
// a key of each kind; counted sums up the proxies' counts, and is called once a second at most. Times are those of one
// monotonic clock.
func (r *Decisions) SendsHome(host uint32, bound, free int, counted func() HostTraffic, now time.Duration) bool {
	if bound == 0 {
		return false
	}
	if free == 0 {
		return true // whatever is counted
	}
	d := r.byHost[host]
	if d != nil && (now-d.countedAt < countInterval || now-d.changedAt < minDecisionAge) {
		return d.sendsHome
	}
	sum := counted()
	load := (float64(sum.KB) + priorRequests*priorRequestKB*float64(bound)) / (float64(sum.Free) + priorRequests*float64(free))
	if d == nil {
		if len(r.byHost) >= maxDecisions || r.byHost == nil {
			r.byHost = map[uint32]*decision{} // decided anew
		}
		d = &decision{sendsHome: load >= startRatioKB, changedAt: now - minDecisionAge}
		r.byHost[host] = d
	}
	d.countedAt = now
	if home := load >= startRatioKB || d.sendsHome && load >= stopRatioKB; home != d.sendsHome {
		d.sendsHome, d.changedAt = home, now
	}
	return d.sendsHome
}
