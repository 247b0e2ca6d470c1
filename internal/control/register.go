package control

import (
	"context"
	"crypto/sha256"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/replicate"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/control/statestore"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// genesisPrefix begins the ID of a disk that the first start names as a voter.
const genesisPrefix = "genesis/"

// restoreFromDisk reads the disk. An empty or spoilt one gives this replica a new identity:
// what it may have promised under the old one is never relied on again.
func (b *Replica) restoreFromDisk(disk world.Disk) {
	s := b.settings.Self
	store, contents, found, err := statestore.Open(disk, s.DataDir)
	if err != nil {
		b.log.Error(err, "the disk's files can't be read")
	}
	if found != statestore.Intact {
		contents.Record.ID = s.Name + "/" + strconv.FormatInt(b.self.Life, 36)
	}
	if s.Bootstrap && found == statestore.Empty {
		b.initializeGenesis(&contents.Record)
	}
	b.store, b.contents = store, contents
	b.self.ID = contents.Record.ID
	b.persist()
}

// applyRestoredState puts in force what was decided in earlier lives; nobody else runs yet.
func (b *Replica) applyRestoredState() {
	d := b.contents.Record.Decided
	if p := b.contents.Configs[d.Config.Digest]; p != nil {
		b.setConfiguration(p)
		b.parsedConfiguration, _ = routeconfig.Parse(p.Body)
	}
	for _, o := range d.Orders {
		b.applyOrder(o)
	}
	b.noteLock(d.Lock)
}

// initializeGenesis sets the state of the first start: the seeds, which are the same for all
// then, are the voters.
func (b *Replica) initializeGenesis(r *quorum.Record) {
	var voters []state.Voter
	for _, seed := range b.settings.Network.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		inner := b.settings.Inner(host)
		voters = append(voters, state.Voter{ID: genesisPrefix + inner, Inner: inner})
		if inner == b.self.Inner {
			r.ID = genesisPrefix + inner
		}
	}
	if len(voters) > 0 {
		r.Decided = state.Genesis(slices.CompactFunc(voters, func(x, y state.Voter) bool { return x.ID == y.ID }))
	}
}

// persist has the record written down as it is now; the mutex is held.
func (b *Replica) persist() uint64 { return b.store.Put(b.contents) }

// decidedState is the newest decided state that this replica knows.
func (b *Replica) decidedState() state.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Record.Decided
}

// isVoter tells whether this replica's disk counts; the mutex is held.
func (b *Replica) isVoter() bool {
	_, is := b.contents.Record.Decided.Voter(b.self.ID)
	return is
}

// answerQuestion answers another replica's question.
func (b *Replica) answerQuestion(ctx context.Context, l *link, a *peerlink.Ask) {
	reply := &peerlink.Reply{ID: a.ID}
	switch {
	case a.Report:
		b.mu.Lock()
		m := b.contents.Record.Report()
		b.mu.Unlock()
		reply.Report = &m
	case a.Piece != nil:
		reply.Piece = b.cutPiece(*a.Piece)
	case a.Prepare != nil || a.Accept != nil || a.Command != nil:
		b.jobs.Go(func() {
			ctx, cancel := b.withTimeout(ctx, callTimeout)
			defer cancel()
			if reply := reply; a.Command != nil {
				reply.Outcome = b.executeForwarded(ctx, a.Command)
			} else {
				*reply = *b.vote(ctx, a)
			}
			reply.ID = a.ID
			_ = l.conn.Send(&peerlink.Frame{Reply: reply})
		})
		return
	}
	_ = l.conn.Send(&peerlink.Frame{Reply: reply})
}

// vote is this replica's answer to a proposer. What it promises or accepts is on
// disk when vote returns.
func (b *Replica) vote(ctx context.Context, a *peerlink.Ask) *peerlink.Reply {
	reply := &peerlink.Reply{}
	granted := false
	b.mu.Lock()
	if a.Prepare != nil {
		m := b.contents.Record.HandlePrepare(*a.Prepare)
		for d := range b.contents.Configs {
			m.Holds = append(m.Holds, d)
		}
		reply.Promise, granted = &m, m.Granted
	} else if m, err := b.acceptValue(a); err != nil {
		reply.Err = err.Error()
	} else {
		reply.Accepted, granted = &m, m.Granted
	}
	if !granted {
		b.mu.Unlock()
		return reply
	}
	b.promisedAt = b.now()
	number := b.persist()
	b.mu.Unlock()
	if err := b.store.Wait(ctx, number); err != nil {
		return &peerlink.Reply{Err: err.Error()}
	}
	return reply
}

var errConfigurationMissing = errors.New("the configuration of the value is not here")

// acceptValue takes a proposer's value with its configuration; the mutex is held.
func (b *Replica) acceptValue(a *peerlink.Ask) (quorum.Acceptance, error) {
	id := a.Accept.Value.Config
	if id.Gen > 0 && b.contents.Configs[id.Digest] == nil {
		if a.Config == nil || !isIntactConfiguration(a.Config, id) {
			return quorum.Acceptance{}, errConfigurationMissing
		}
		b.contents.Configs[id.Digest] = a.Config.Pack()
	}
	m := b.contents.Record.HandleAccept(*a.Accept)
	b.contents.DropUnreferenced()
	return m, nil
}

// isIntactConfiguration tells whether p is the configuration that id names, unspoilt.
func isIntactConfiguration(p *peerlink.Configuration, id state.ConfigID) bool {
	return p.Gen == id.Gen && p.Digest == id.Digest && sha256.Sum256(p.Body) == p.Digest
}

// learn takes over a decided state whose configuration is at hand; the mutex is held.
func (b *Replica) learn(s state.State) {
	config := b.contents.Configs[s.Config.Digest]
	if s.Config.Gen > 0 && config == nil || !b.contents.Record.Learn(s) {
		return
	}
	b.contents.DropUnreferenced()
	b.persist()
	for _, v := range s.Voters {
		b.keepConnected(v.Inner)
	}
	if config != nil {
		b.applyConfiguration(config)
	}
	for subject, held := range b.ordersInForce {
		if s.Order(subject).Count == 0 { // pruned
			delete(b.ordersInForce, subject)
			b.log.V(1).Info("order dropped", "about", subject, "count", held.Count)
		}
	}
	for _, o := range s.Orders {
		b.applyOrder(o)
	}
	b.noteLock(s.Lock)
	select {
	case b.versionLearned <- struct{}{}:
	default:
	}
	b.spurred()
}

// sendDecided tells another replica what is decided; the mutex is held.
func (b *Replica) sendDecided(l *link) {
	if s := b.contents.Record.Decided; s.Version > 0 {
		_ = l.conn.Send(&peerlink.Frame{Decided: &s})
	}
}

// receiveDecided takes in a decided state that another replica tells, at once or after
// its configuration has been fetched from there; the mutex is held.
func (b *Replica) receiveDecided(l *link, s *state.State) {
	if s.Version <= b.contents.Record.Decided.Version {
		return
	}
	if s.Config.Gen == 0 || b.contents.Configs[s.Config.Digest] != nil {
		b.learn(*s)
		b.requestRound()
		return
	}
	if b.fetchInProgress {
		return // the next round tells it again
	}
	b.fetchInProgress = true
	b.runInBackground(func(ctx context.Context) {
		config, err := b.fetchConfiguration(ctx, l, s.Config)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fetchInProgress = false
		if err != nil {
			b.log.Info("not caught up", "version", s.Version, "why", err.Error())
			return
		}
		b.contents.Configs[s.Config.Digest] = config
		b.learn(*s)
		b.contents.DropUnreferenced()
		b.requestRound()
	})
}

// fetchTimeout bounds the wait for one piece.
const fetchTimeout = time.Second

// fetchConfiguration gets a configuration from another replica in pieces.
func (b *Replica) fetchConfiguration(ctx context.Context, l *link, id state.ConfigID) (*peerlink.Configuration, error) {
	t := replicate.NewTransfer(id)
	for {
		piece, err := b.fetchPiece(ctx, l, t.NextRequest())
		if err != nil {
			return nil, err
		}
		whole, err := t.AddPiece(*piece)
		if err != nil {
			return nil, err
		}
		if whole != nil {
			return (&peerlink.Configuration{Gen: id.Gen, Digest: id.Digest, Body: whole}).Pack(), nil
		}
	}
}

func (b *Replica) fetchPiece(ctx context.Context, l *link, r replicate.Request) (*replicate.Piece, error) {
	ctx, cancel := b.withTimeout(ctx, fetchTimeout)
	defer cancel()
	p := b.newPoll()
	defer p.cancel()
	b.mu.Lock()
	asked := p.ask(l, peerlink.Ask{Piece: &r})
	b.mu.Unlock()
	if !asked {
		return nil, ErrNoMajority
	}
	select {
	case a := <-p.answers:
		if a.reply == nil || a.reply.Piece == nil {
			return nil, replicate.ErrUnexpectedPiece
		}
		return a.reply.Piece, nil
	case <-ctx.Done():
		return nil, ErrNoMajority
	}
}

// cutPiece answers a request for a piece; nil: that configuration is not here any more.
func (b *Replica) cutPiece(r replicate.Request) *replicate.Piece {
	b.mu.Lock()
	config := b.contents.Configs[r.Digest]
	b.mu.Unlock()
	if config == nil {
		return nil
	}
	piece, ok := replicate.CutPiece(r, config.Body)
	if !ok {
		return nil
	}
	return &piece
}
