package node

import (
	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// handoverState is the state of a managed proxy's handover of quota units, as giver and as taker.
type handoverState struct {
	peers       policy.GatewaySet // as last set by SetPeers; Gateways is 0 before the first call
	stage       handover.Stage
	taker       handover.Receiver
	giver       *handover.Sender // nil: no handover has begun
	offeredLots []handover.Batch
}

// updateShares passes the peers and this proxy's share of quotas to the policy package. It runs on the loop.
func (e *ManagedNode) updateShares(l *loop) {
	state := &e.handover
	if state.peers.Gateways == 0 {
		return
	}
	peers := state.peers
	peers.NoColdSends = state.stage >= handover.NoColdSends
	if state.stage >= handover.NotAccepting {
		peers.UnusedShare = 1
	}
	l.decide(peers)
}

// leave goes through the stages of a planned stop. It returns when all requests are answered or the grace period is over.
func (e *ManagedNode) leave() {
	n := e.node
	s := n.server
	began := n.world.Now()
	s.draining.Store(true)
	var leave handover.Leave
	e.runOnLoop(func(loop *loop) {
		e.handover.taker.Leaving = true
		leave.Grace = e.cfg.Grace // as last set
		e.managed.workDeadline.Store(int64(loop.clock.now() + leave.ServerDeadline()))
	})
	handedOver := false
	for {
		world.Pause(n.world, drainPollInterval)
		elapsed := n.world.Now().Sub(began)
		if elapsed >= leave.Grace/2 {
			s.closeIdle(drainQuietTime)
		}
		if leave.Stage() == handover.NotAccepting && !handedOver {
			handedOver = e.continueHandover()
		}
		open, quiet := s.connectionActivity()
		stage, isNew := leave.Step(elapsed, handover.LeaveInputs{Connections: open, SinceLastRequest: quiet, HandoverDone: handedOver})
		if !isNew {
			continue
		}
		if stage >= handover.NotAccepting {
			n.listener.Close()
		}
		if stage == handover.Ended {
			return
		}
		e.runOnLoop(func(l *loop) { e.enterStage(l, stage) })
		if stage == handover.Answering && e.cfg.OnUnitsTransferred != nil {
			taken, total := 0, 0
			e.runOnLoop(func(*loop) {
				if g := e.handover.giver; g != nil {
					taken, total = g.AcceptedUnits()
				}
			})
			e.cfg.OnUnitsTransferred(taken, total)
		}
	}
}

// enterStage carries out the first actions of a stage. It runs on the loop.
func (e *ManagedNode) enterStage(l *loop, stage handover.Stage) {
	state := &e.handover
	switch state.stage = stage; stage {
	case handover.NotAccepting:
		l.decide(policy.Relinquish{}) // must come before updateShares sets its share to none
		state.giver = handover.NewSender(state.taker.Incarnation, state.offeredLots, l.clock.now())
	case handover.Finalizing:
		l.finishAll()
	}
	e.updateShares(l)
}

// continueHandover sends the handover's next messages and reports whether the handover is over.
func (e *ManagedNode) continueHandover() (over bool) {
	e.runOnLoop(func(l *loop) {
		g, now := e.handover.giver, l.clock.now()
		for _, m := range g.Step(now) {
			e.node.peers.sendMessage(m.To, m.Encode())
		}
		over = g.Done(now)
	})
	return over
}

// recordOfferedUnits keeps quota units that the policy package has given up, for the handover. It runs on the loop.
func (e *ManagedNode) recordOfferedUnits(a policy.OfferUnits) {
	e.handover.offeredLots = append(e.handover.offeredLots, handover.Batch{Shares: []handover.Share{{Key: a.Customer, Units: a.Units}}, Receivers: a.Candidates})
}

// receiveHandover passes a peer's handover message to the loop.
func (e *ManagedNode) receiveHandover(from int, data []byte) {
	m := handover.Decode(data)
	if m == nil {
		return
	}
	select {
	case e.node.loop.events <- func() { e.handleHandover(e.node.loop, from, m) }:
	default: // queue full: dropped, as datagrams may be anyway
	}
}

// handleHandover processes a peer's handover message. It runs on the loop.
func (e *ManagedNode) handleHandover(l *loop, from int, m *handover.Message) {
	state := &e.handover
	switch m.Kind {
	case handover.Willing, handover.Unwilling, handover.Accepted, handover.Rejected:
		if state.giver != nil {
			state.giver.HandleMessage(from, m)
		}
		return
	case handover.Query:
		if !e.ready.Load() {
			return // not configured yet
		}
	}
	answer, shares := state.taker.HandleMessage(m)
	for _, s := range shares {
		l.decide(policy.UnitsReceived{Customer: s.Key, Units: s.Units})
	}
	if answer != nil {
		e.node.peers.sendMessage(from, answer.Encode())
	}
}
