package node

import (
	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// handoverState is how an estate's parts are given up and taken over.
type handoverState struct {
	peers       policy.GatewaySet // as told last; Gateways 0: not told
	stage       handover.Stage
	taker       handover.Taker
	giver       *handover.Giver // nil: nothing is given up
	offeredLots []handover.Lot
}

// updateShares tells the module what its parts are; it runs on the loop.
func (e *ManagedNode) updateShares(l *loop) {
	y := &e.handover
	if y.peers.Gateways == 0 {
		return
	}
	p := y.peers
	p.NoColdSends = y.stage >= handover.Cool
	if y.stage >= handover.Shut {
		p.UnusedShare = 1
	}
	l.decide(p)
}

// leave goes through the stages of a planned stop, and returns when all is answered or its time is over.
func (e *ManagedNode) leave() {
	n := e.node
	s := n.server
	began := n.world.Now()
	s.draining.Store(true)
	var l handover.Leave
	e.runOnLoop(func(loop *loop) {
		e.handover.taker.Leaving = true
		l.Grace = e.cfg.Grace // as told last
		e.managed.workDeadline.Store(int64(loop.clock.now() + l.WorkEnds()))
	})
	handed := false
	for {
		world.Pause(n.world, drainPollInterval)
		past := n.world.Now().Sub(began)
		if past >= l.Grace/2 {
			s.closeIdle(drainQuietTime)
		}
		if l.Stage() == handover.Shut && !handed {
			handed = e.continueHandover()
		}
		open, quiet := s.connectionActivity()
		stage, isNew := l.Step(past, handover.Facts{Open: open, Quiet: quiet, Handed: handed})
		if !isNew {
			continue
		}
		if stage >= handover.Shut {
			n.listener.Close()
		}
		if stage == handover.Ended {
			return
		}
		e.runOnLoop(func(l *loop) { e.enterStage(l, stage) })
		if stage == handover.Answering && e.cfg.OnUnitsTransferred != nil {
			units, of := 0, 0
			e.runOnLoop(func(*loop) {
				if g := e.handover.giver; g != nil {
					units, of = g.Taken()
				}
			})
			e.cfg.OnUnitsTransferred(units, of)
		}
	}
}

// enterStage does what a stage begins with; it runs on the loop.
func (e *ManagedNode) enterStage(l *loop, stage handover.Stage) {
	y := &e.handover
	switch y.stage = stage; stage {
	case handover.Shut:
		l.decide(policy.Relinquish{}) // before its parts are told to be none
		y.giver = handover.NewGiver(y.taker.Life, y.offeredLots, l.clock.now())
	case handover.Late:
		l.finishAll()
	}
	e.updateShares(l)
}

// continueHandover goes on with the hand-over, and tells whether it is over.
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

// recordOfferedUnits notes units that the module has given up; it runs on the loop.
func (e *ManagedNode) recordOfferedUnits(a policy.OfferUnits) {
	e.handover.offeredLots = append(e.handover.offeredLots, handover.Lot{Shares: []handover.Share{{Key: a.Customer, Units: a.Units}}, Takers: a.Candidates})
}

// receiveHandover takes in what another edge node says about what is handed over.
func (e *ManagedNode) receiveHandover(from int, data []byte) {
	m := handover.Decode(data)
	if m == nil {
		return
	}
	select {
	case e.node.loop.events <- func() { e.handleHandover(e.node.loop, from, m) }:
	default: // lost, like one on the way
	}
}

func (e *ManagedNode) handleHandover(l *loop, from int, m *handover.Message) {
	y := &e.handover
	switch m.Kind {
	case handover.Will, handover.Wont, handover.Took, handover.Never:
		if y.giver != nil {
			y.giver.Hear(from, m)
		}
		return
	case handover.Ask:
		if !e.ready.Load() {
			return // it does not know what there is yet
		}
	}
	answer, shares := y.taker.Hear(m)
	for _, s := range shares {
		l.decide(policy.UnitsReceived{Customer: s.Key, Units: s.Units})
	}
	if answer != nil {
		e.node.peers.sendMessage(from, answer.Encode())
	}
}
