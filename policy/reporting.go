package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buildReport builds the report for one peer: the servers at which this gateway has attempts
// in flight, then the customers that both gateways serve, most urgent first.
func (g *Gateway) buildReport(p *peer, customers []*customer) *report {
	m := &report{incarnation: g.incarnation, seq: g.reportSeq, complete: true}
	for _, s := range g.serverList {
		if s.inFlight > 0 && len(m.servers) < maxReportServers && !g.usesRoots {
			m.servers = append(m.servers, serverLoad{s.hash, byte(min(s.inFlight, maxReportedInFlight))})
		}
	}
	for _, c := range customers {
		v := c.viewOf(p)
		if v == nil {
			continue
		}
		if !m.hasRoom() {
			m.complete = false
			break
		}
		g.advance(c)
		e := customerEntry{hash: c.hash, held: byte(min(len(c.held), maxReportedHeld)),
			inFlight: byte(min(math.Round(inFlightScale*math.Sqrt(c.meanInFlight)), 15)),
			passed:   byte(c.passedUnits), lent: v.lentTotal, bucketFill: unknownFill,
			newTotal: g.now-c.createdAt < newTotalSpan,
			rate:     min(maxRateCode, toByte(rateScale*math.Log2(1+c.demand/demandDecay.Seconds())))}
		if c.bucketKnown && c.plan.Burst > 0 {
			e.bucketFill = toByte(250 * max(c.bucket, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.reportedTick = g.tickCount
	}
	return m
}

// onReport applies a peer's report.
func (g *Gateway) onReport(p *peer, m report) {
	if p.reported && p.incarnation == m.incarnation && int32(m.seq-p.reportSeq) <= 0 {
		return // outdated or duplicate: a later report contains all of its figures
	}
	if m.complete || p.incarnation != m.incarnation {
		for _, v := range p.views {
			v.inFlight, v.held = 0, 0
		}
	}
	p.reported, p.incarnation, p.reportSeq, p.reportedAt, p.complete = true, m.incarnation, m.seq, g.now, m.complete
	p.inFlight = map[uint16]float64{}
	for _, o := range m.servers {
		p.inFlight[o.hash] = float64(o.inFlight)
	}
	g.sumPeerLoads()
	for _, e := range m.customers {
		if c := g.customersByHash[e.hash]; c != nil {
			g.applyReportEntry(c, p, e)
		}
	}
}

// sendReports sends each peer the figures that have changed.
func (g *Gateway) sendReports() {
	g.reportSeq++
	var changed []*customer
	for _, c := range g.customerList {
		if c.hasNews() {
			c.reportPriority = g.reportUrgency(c)
			changed = append(changed, c)
		}
	}
	slices.SortStableFunc(changed, func(a, b *customer) int {
		return cmp.Compare(b.reportPriority, a.reportPriority)
	})
	for _, p := range g.peers {
		if p == nil || p.index == g.cfg.Me || g.usesRoots && len(p.views) == 0 {
			continue
		}
		if m := g.buildReport(p, changed); !g.usesRoots || len(m.customers) > 0 {
			g.emit(SendPeer{To: p.index, Data: m.encode()})
		}
	}
	for _, c := range changed {
		if c.reportedTick == g.tickCount {
			c.reportsLeft, c.reportedUnits = max(0, c.reportsLeft-1), c.passedUnits
		}
	}
}

// applyReportEntry takes over a peer's figures of a customer. Running totals make up for
// lost reports; when the peer has restarted, its total is a new base.
func (g *Gateway) applyReportEntry(c *customer, p *peer, e customerEntry) {
	v := c.viewOf(p)
	if v == nil {
		return
	}
	g.advance(c)
	passed, lent, isNew := v.applyEntry(e, p.incarnation, g.now)
	c.bucket = min(c.plan.Burst, max(0, c.bucket-passed))
	c.ceiling = min(c.plan.HardBurst/c.parts, c.ceiling+lent)
	// A new peer may know of units used that this gateway has not counted: take the lower fill, and report
	// the result once. This guards against a bucket that is full at one gateway only.
	if (isNew || !c.bucketKnown) && e.bucketFill != unknownFill {
		c.bucketKnown, c.reportsLeft = true, max(c.reportsLeft, 1)
		c.bucket = min(c.bucket, float64(e.bucketFill)/250*c.plan.Burst)
	}
}

// hasNews reports whether reports must include a customer.
func (c *customer) hasNews() bool {
	return len(c.views) > 0 && (c.inFlight > 0 || c.meanInFlight > 0 || len(c.held) > 0 || c.reportsLeft > 0)
}

// reportOutcome sends an outcome to the server's watchers, or records it if this gateway is one.
func (g *Gateway) reportOutcome(s *server, cl *class, code Code, latency time.Duration) {
	if cl.Name == "" {
		return // not a configured class
	}
	for i, w := range s.watchers {
		if i > 0 && (code != ConnectFailed || !g.usesRoots) {
			break
		}
		if w == g.cfg.Me {
			g.recordOutcome(s, cl.index, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.emit(SendPeer{To: w, Data: encode(outcomeReport{uint32(s.ID), byte(cl.index), byte(code), ms})})
	}
}
