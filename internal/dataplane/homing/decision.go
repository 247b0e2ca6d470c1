package homing

import "time"

// The clients of a host are sent to its home region once there are startRatioKB kilobytes of bound requests for each free
// request, until the ratio falls below stopRatioKB. If the clients are sent there, free requests travel between regions too,
// with another round trip for each new connection, and they load the servers there. If not, the body and the answer of each
// bound request travel between regions (docs/measurements/system-large.md).
const (
	startRatioKB   = 2.1
	stopRatioKB    = 1.95
	minDecisionAge = 5 * time.Second // a decision lasts at least so long, as clients reconnect with each change
	countInterval  = time.Second     // between two counts of one host
	priorRequests  = 30              // assumed requests to each route before any are counted
	priorRequestKB = 4.0             // of each assumed request that is bound, in kilobytes
	maxDecisions   = 4096            // number of hosts whose decisions are remembered
)

// Decisions holds the decisions about hosts of a proxy or control replica that tells clients where to connect. It is not
// safe for concurrent use.
type Decisions struct {
	byHost map[uint32]*decision
}

type decision struct {
	sendsHome bool
	changedAt time.Duration
	countedAt time.Duration
}

// SendsHome reports whether the clients of a host should be sent to its home region. Parameters
// bound and free are the numbers of its routes with a key of each kind. The function counted sums up the counts of all
// proxies; it is called at most once a second for a host. All times come from one monotonic clock.
func (r *Decisions) SendsHome(host uint32, bound, free int, counted func() HostTraffic, now time.Duration) bool {
	if bound == 0 {
		return false
	}
	if free == 0 {
		return true // no free request could suffer, whatever the counts are
	}
	d := r.byHost[host]
	if d != nil && (now-d.countedAt < countInterval || now-d.changedAt < minDecisionAge) {
		return d.sendsHome
	}
	traffic := counted()
	ratio := (float64(traffic.KB) + priorRequests*priorRequestKB*float64(bound)) / (float64(traffic.Free) + priorRequests*float64(free))
	if d == nil {
		if len(r.byHost) >= maxDecisions || r.byHost == nil {
			r.byHost = map[uint32]*decision{} // all hosts are decided again
		}
		d = &decision{sendsHome: ratio >= startRatioKB, changedAt: now - minDecisionAge}
		r.byHost[host] = d
	}
	d.countedAt = now
	if sendsHome := ratio >= startRatioKB || d.sendsHome && ratio >= stopRatioKB; sendsHome != d.sendsHome {
		d.sendsHome, d.changedAt = sendsHome, now
	}
	return d.sendsHome
}
