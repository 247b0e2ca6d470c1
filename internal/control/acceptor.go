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

// genesisPrefix starts the disk ID of a seed, which is a voter from the first start on.
const genesisPrefix = "genesis/"

// restoreFromDisk reads the stored state. If the disk is empty or corrupt, this replica takes a new disk ID, since
// promises that it made under the old one may be lost.
func (b *Replica) restoreFromDisk(disk world.Disk) {
	s := b.settings.Self
	store, contents, found, err := statestore.Open(disk, s.DataDir)
	if err != nil {
		b.log.Error(err, "can't read the stored state")
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

// applyRestoredState puts the restored decided state in force. It needs no mutex, since no other goroutine runs yet.
func (b *Replica) applyRestoredState() {
	decided := b.contents.Record.Decided
	if config := b.contents.Configs[decided.Config.Digest]; config != nil {
		b.setConfiguration(config)
		b.parsedConfiguration, _ = routeconfig.Parse(config.Body)
	}
	for _, order := range decided.Orders {
		b.applyOrder(order)
	}
	b.noteLock(decided.Lock)
}

// initializeGenesis sets the state of the first start, at which all replicas have the same seeds: the seeds are the
// voters.
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

// persist queues the current contents for writing and returns the number to wait for. The caller holds the mutex.
func (b *Replica) persist() uint64 { return b.store.Put(b.contents) }

// decidedState returns the newest decided state that this replica knows.
func (b *Replica) decidedState() state.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Record.Decided
}

// isVoter reports whether this replica's disk is one of the voters'. The caller holds the mutex.
func (b *Replica) isVoter() bool {
	_, is := b.contents.Record.Decided.Voter(b.self.ID)
	return is
}

// answerQuestion answers another replica's question; it answers those that wait for the disk in the background.
func (b *Replica) answerQuestion(ctx context.Context, l *link, question *peerlink.Ask) {
	reply := &peerlink.Reply{ID: question.ID}
	switch {
	case question.Report:
		b.mu.Lock()
		report := b.contents.Record.Report()
		b.mu.Unlock()
		reply.Report = &report
	case question.Piece != nil:
		reply.Piece = b.cutPiece(*question.Piece)
	case question.Prepare != nil || question.Accept != nil || question.Command != nil:
		b.jobs.Go(func() {
			ctx, cancel := b.withTimeout(ctx, callTimeout)
			defer cancel()
			if reply := reply; question.Command != nil {
				reply.Outcome = b.executeForwarded(ctx, question.Command)
			} else {
				*reply = *b.vote(ctx, question)
			}
			reply.ID = question.ID
			_ = l.conn.Send(&peerlink.Frame{Reply: reply})
		})
		return
	}
	_ = l.conn.Send(&peerlink.Frame{Reply: reply})
}

// vote answers a proposer's question for a promise or an acceptance. If it is granted, it is on disk when vote returns.
func (b *Replica) vote(ctx context.Context, question *peerlink.Ask) *peerlink.Reply {
	reply := &peerlink.Reply{}
	granted := false
	b.mu.Lock()
	if question.Prepare != nil {
		promise := b.contents.Record.HandlePrepare(*question.Prepare)
		for digest := range b.contents.Configs {
			promise.Holds = append(promise.Holds, digest)
		}
		reply.Promise, granted = &promise, promise.Granted
	} else if acceptance, err := b.acceptValue(question); err != nil {
		reply.Err = err.Error()
	} else {
		reply.Accepted, granted = &acceptance, acceptance.Granted
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

var errConfigurationMissing = errors.New("the configuration of the proposed value is missing")

// acceptValue puts a proposer's value to the record, which grants or refuses it, and stores its configuration. It
// returns errConfigurationMissing if that was neither sent nor stored. The caller holds the mutex.
func (b *Replica) acceptValue(question *peerlink.Ask) (quorum.Acceptance, error) {
	id := question.Accept.Value.Config
	if id.Gen > 0 && b.contents.Configs[id.Digest] == nil {
		if question.Config == nil || !isIntactConfiguration(question.Config, id) {
			return quorum.Acceptance{}, errConfigurationMissing
		}
		b.contents.Configs[id.Digest] = question.Config.Pack()
	}
	acceptance := b.contents.Record.HandleAccept(*question.Accept)
	b.contents.DropUnreferenced()
	return acceptance, nil
}

// isIntactConfiguration reports whether p is the configuration with an ID and its body matches the digest.
func isIntactConfiguration(config *peerlink.Configuration, id state.ConfigID) bool {
	return config.Gen == id.Gen && config.Digest == id.Digest && sha256.Sum256(config.Body) == config.Digest
}

// learn stores a decided state and puts it in force. It does nothing if the state is not newer than the known one or
// its configuration is not stored. The caller holds the mutex.
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
		if s.Order(subject).Count == 0 { // it was pruned from the decided state
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
	b.signalLeaseChange()
}

// sendDecided sends the decided state to another replica. The caller holds the mutex.
func (b *Replica) sendDecided(l *link) {
	if s := b.contents.Record.Decided; s.Version > 0 {
		_ = l.conn.Send(&peerlink.Frame{Decided: &s})
	}
}

// receiveDecided learns a decided state that another replica has sent, at once or after fetching its configuration from
// there. The caller holds the mutex.
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
		return // the state is sent again in the next round
	}
	b.fetchInProgress = true
	b.runInBackground(func(ctx context.Context) {
		config, err := b.fetchConfiguration(ctx, l, s.Config)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fetchInProgress = false
		if err != nil {
			b.log.Info("configuration not fetched", "version", s.Version, "why", err.Error())
			return
		}
		b.contents.Configs[s.Config.Digest] = config
		b.learn(*s)
		b.contents.DropUnreferenced()
		b.requestRound()
	})
}

// fetchTimeout bounds the wait for one piece of a configuration.
const fetchTimeout = time.Second

// fetchConfiguration fetches a configuration from another replica in pieces.
func (b *Replica) fetchConfiguration(ctx context.Context, l *link, id state.ConfigID) (*peerlink.Configuration, error) {
	transfer := replicate.NewTransfer(id)
	for {
		piece, err := b.fetchPiece(ctx, l, transfer.NextRequest())
		if err != nil {
			return nil, err
		}
		body, err := transfer.AddPiece(*piece)
		if err != nil {
			return nil, err
		}
		if body != nil {
			return (&peerlink.Configuration{Gen: id.Gen, Digest: id.Digest, Body: body}).Pack(), nil
		}
	}
}

// fetchPiece fetches one piece of a configuration. It returns ErrNoMajority if no reply comes within fetchTimeout, and
// replicate.ErrUnexpectedPiece if the reply has no piece.
func (b *Replica) fetchPiece(ctx context.Context, l *link, r replicate.Request) (*replicate.Piece, error) {
	ctx, cancel := b.withTimeout(ctx, fetchTimeout)
	defer cancel()
	poll := b.newPoll()
	defer poll.cancel()
	b.mu.Lock()
	sent := poll.ask(l, peerlink.Ask{Piece: &r})
	b.mu.Unlock()
	if !sent {
		return nil, ErrNoMajority
	}
	select {
	case a := <-poll.answers:
		if a.reply == nil || a.reply.Piece == nil {
			return nil, replicate.ErrUnexpectedPiece
		}
		return a.reply.Piece, nil
	case <-ctx.Done():
		return nil, ErrNoMajority
	}
}

// cutPiece returns the requested piece; nil if the configuration is no longer stored or the request is out of range.
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
