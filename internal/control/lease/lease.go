package lease

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timeouts and intervals of a lease.
const (
	HeartbeatInterval = 600 * time.Millisecond // maximum time between two messages of a holder
	SilenceTimeout    = 900 * time.Millisecond // a holder that is silent for so long is considered lost
	DisconnectTimeout = 500 * time.Millisecond // the shorter timeout for a holder that is also disconnected
	RankDelay         = 300 * time.Millisecond // delay between the attempts of replicas of successive ranks
	voteRetryInterval = 400 * time.Millisecond // between two requests for votes, plus the delay by rank
	successorTimeout  = time.Second            // a successor that is disconnected for so long is replaced
	never             = time.Duration(1) << 62 // a time that is never reached
)

// Peer is another replica that is connected and is not leaving.
type Peer struct {
	peerlink.Seat
	Zone    string
	CanVote bool // its vote counts
}

// View is what a replica knows of itself and of its peers at one moment.
type View struct {
	Now        time.Duration // monotonic time
	UnixMS     uint64        // time of day, in milliseconds of Unix time
	Peers      []Peer
	CanVote    bool // this replica's own vote counts
	VoterCount int  // number of all replicas whose votes count, including unreachable ones
}

// Message is a statement that is to be sent.
type Message struct {
	To   string // name of the receiver; empty: all peers
	Duty peerlink.Duty
}

// Lease is the state of one replica in the elections for a duty. It is not safe for concurrent use.
type Lease struct {
	duty string
	self peerlink.Seat
	zone string

	known            peerlink.Duty   // the highest known term, its holder and its successor
	holderHeardAt    time.Duration   // when the holder last sent a message, or first became known
	announcedAt      time.Duration   // if this replica is the holder: when it last sent a message to all
	successorSeenAt  time.Duration   // if this replica is the holder: when its successor was last connected
	hasLeft          bool            // this replica has given up its part for good
	votedEpoch       uint64          // the highest epoch that this replica has voted for since its start
	highestSeenEpoch uint64          // the highest epoch known that any replica has voted for
	candidateEpoch   uint64          // the epoch for which this replica requests votes; 0: none
	requestedAt      time.Duration   // when this replica last requested votes
	hasRequested     bool            // whether requestedAt is set
	votes            map[string]bool // replicas that voted for candidateEpoch
}

// New returns the Lease of the replica self, located in zone, for a duty.
func New(duty string, self peerlink.Seat, zone string) *Lease {
	return &Lease{duty: duty, self: self, zone: zone}
}

// Holds reports whether this replica holds the lease.
func (s *Lease) Holds() bool { return !s.hasLeft && s.known.Holder == s.self }

// Known returns the newest term that this replica knows, with its holder and successor.
func (s *Lease) Known() peerlink.Duty { return s.known }

// AcceptsTerm reports whether a message sent in term t is to be processed, that is, whether the term is not outdated.
// The zero term claims nothing and is always accepted.
func (s *Lease) AcceptsTerm(t peerlink.Term) bool {
	return t == peerlink.Term{} || !s.known.Term.Above(t)
}

// Greeting returns the statement to send to a replica that has just connected.
func (s *Lease) Greeting() peerlink.Duty { return s.statement() }

// statement returns what this replica knows of the duty.
func (s *Lease) statement() peerlink.Duty {
	d := s.known
	d.Voted = max(s.highestSeenEpoch, s.votedEpoch)
	return d
}

// NoteAnnounced records that the holder has sent a statement to all peers.
func (s *Lease) NoteAnnounced(now time.Duration) { s.announcedAt = now }

// Rank returns this replica's rank among all connected replicas.
func (s *Lease) Rank(v View) int { return s.rank(v, func(Peer) bool { return true }) }

func (s *Lease) rank(v View, counts func(Peer) bool) int {
	var names []string
	for _, p := range v.Peers {
		if counts(p) {
			names = append(names, p.Name)
		}
	}
	return Rank(s.duty, s.self.Name, names)
}

// rankDelay returns how long this replica waits because of its rank among the connected replicas with a vote.
func (s *Lease) rankDelay(v View) time.Duration {
	return time.Duration(s.rank(v, func(p Peer) bool { return p.CanVote })) * RankDelay
}

// isMajorityConnected reports whether enough replicas with a vote are connected for an election.
func (s *Lease) isMajorityConnected(v View) bool {
	n := 0
	for _, p := range v.Peers {
		if p.CanVote {
			n++
		}
	}
	if v.CanVote {
		n++
	}
	return isMajority(n, v.VoterCount)
}

func isMajority(n, total int) bool { return n >= total/2+1 }

func isConnected(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who })
}

// takeoverTime returns when this replica, being the successor, takes over the lease.
func (s *Lease) takeoverTime(v View) time.Duration {
	if !isConnected(v, s.known.Holder) {
		return s.holderHeardAt + DisconnectTimeout
	}
	return s.holderHeardAt + SilenceTimeout
}

// electionTime returns when this replica requests votes, or never if it has no reason to.
func (s *Lease) electionTime(v View) time.Duration {
	if !v.CanVote || !s.isMajorityConnected(v) {
		return never
	}
	at := s.holderHeardAt + SilenceTimeout + RankDelay + s.rankDelay(v) // the successor may take over first
	switch {
	case s.Holds():
		if at = s.successorSeenAt + successorTimeout; s.chooseSuccessor(v) == (peerlink.Seat{}) {
			return never
		}
	case s.known.Term == peerlink.Term{}:
		at = s.rankDelay(v)
	}
	if s.hasRequested {
		at = max(at, s.requestedAt+voteRetryInterval+s.rankDelay(v)) // among competing candidates, the first in rank retries most often
	}
	return at
}

// NextStep returns when Step has something to do next, unless a message arrives before.
func (s *Lease) NextStep(v View) time.Duration {
	switch {
	case s.hasLeft:
		return never
	case s.Holds():
		if isConnected(v, s.known.Next) {
			return s.announcedAt + HeartbeatInterval
		}
		return min(s.announcedAt+HeartbeatInterval, s.electionTime(v))
	case s.known.Next == s.self:
		return min(s.takeoverTime(v), s.electionTime(v))
	}
	return s.electionTime(v)
}

// Step does what is due at v.Now and returns the messages to send.
func (s *Lease) Step(v View) (out []Message) {
	if s.hasLeft {
		return nil
	}
	if s.Holds() && isConnected(v, s.known.Next) {
		s.successorSeenAt = v.Now
	}
	if !s.Holds() && s.known.Next == s.self && v.Now >= s.takeoverTime(v) {
		out = append(out, s.takeOver(v))
	}
	if v.Now >= s.electionTime(v) {
		out = append(out, s.requestVotes(v)...)
	}
	if s.Holds() && v.Now >= s.announcedAt+HeartbeatInterval {
		s.announcedAt = v.Now
		out = append(out, Message{Duty: s.statement()})
	}
	return out
}

// takeOver begins the next term as the successor named by the holder, without a vote.
func (s *Lease) takeOver(v View) Message {
	t := s.known.Term
	t.Step++
	return s.startTerm(v, t)
}

// startTerm makes this replica the holder in a new term and names the successor, which is fixed for the whole term.
func (s *Lease) startTerm(v View, t peerlink.Term) Message {
	s.known = peerlink.Duty{Term: t, Holder: s.self, Next: s.chooseSuccessor(v)}
	s.holderHeardAt, s.announcedAt, s.successorSeenAt, s.candidateEpoch = v.Now, v.Now, v.Now, 0
	return Message{Duty: s.statement()}
}

// chooseSuccessor returns the replica to name as successor: one that has a vote, preferably in another zone. It is the
// zero Seat if there is none.
func (s *Lease) chooseSuccessor(v View) peerlink.Seat {
	var candidates []Peer
	for _, p := range v.Peers {
		if p.CanVote {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return peerlink.Seat{}
	}
	sameZone := func(p Peer) int {
		if p.Zone == s.zone {
			return 1
		}
		return 0
	}
	return slices.MinFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(sameZone(a), sameZone(b)), cmp.Compare(weight(s.duty, b.Name), weight(s.duty, a.Name)), cmp.Compare(a.Name, b.Name))
	}).Seat
}

// requestVotes asks all peers for their vote in a new epoch and votes for itself. The epoch is at least the time of
// day in milliseconds: votes are not stored on disk, so a replica that restarts may vote again, but not for an epoch
// of the moment before.
func (s *Lease) requestVotes(v View) []Message {
	s.hasRequested, s.requestedAt = true, v.Now
	s.candidateEpoch = max(max(s.known.Term.Epoch, s.votedEpoch, s.highestSeenEpoch)+1, v.UnixMS)
	s.votedEpoch, s.votes = s.candidateEpoch, map[string]bool{s.self.Name: true}
	statement := s.statement()
	statement.Ask = s.candidateEpoch
	out := []Message{{Duty: statement}}
	if isMajority(len(s.votes), v.VoterCount) {
		out = append(out, s.startTerm(v, peerlink.Term{Epoch: s.candidateEpoch}))
	}
	return out
}

// Receive processes a statement from another replica and returns the messages to send in response.
func (s *Lease) Receive(v View, from peerlink.Seat, d peerlink.Duty) (out []Message) {
	if s.hasLeft {
		return nil
	}
	fromHolder := d.Holder == from
	s.highestSeenEpoch = max(s.highestSeenEpoch, d.Voted, d.Ask)
	switch {
	case s.supersedesKnown(d):
		s.known = peerlink.Duty{Term: d.Term, Holder: d.Holder, Next: d.Next}
		s.holderHeardAt = v.Now
		if s.candidateEpoch <= d.Term.Epoch {
			s.candidateEpoch = 0
		}
	case d.Term == s.known.Term && d.Holder == s.known.Holder:
		if fromHolder {
			s.holderHeardAt = v.Now
		}
	case fromHolder || d.Ask > 0:
		out = append(out, Message{To: from.Name, Duty: s.statement()}) // the sender's knowledge is outdated
	}
	if fromHolder && d.Yields && d.Term == s.known.Term && s.known.Next == s.self {
		out = append(out, s.takeOver(v))
	}
	if s.grantsVote(v, from, d) {
		s.votedEpoch = d.Ask
		answer := s.statement()
		answer.Vote = d.Ask
		out = append(out, Message{To: from.Name, Duty: answer})
	} else if d.Ask > 0 && len(out) == 0 {
		out = append(out, Message{To: from.Name, Duty: s.statement()}) // refuses the vote and reports the higher epoch or the holder
	}
	if d.Vote > 0 && d.Vote == s.candidateEpoch && s.candidateEpoch > s.known.Term.Epoch && s.canVote(v, from) {
		s.votes[from.Name] = true
		if isMajority(len(s.votes), v.VoterCount) {
			out = append(out, s.startTerm(v, peerlink.Term{Epoch: s.candidateEpoch}))
		}
	}
	return out
}

// supersedesKnown reports whether a statement takes precedence over what is known. One term can have two holders only
// if a voter restarted and voted again in the same millisecond, or while a clock is ahead. All replicas then agree on
// one holder by comparing names.
func (s *Lease) supersedesKnown(d peerlink.Duty) bool {
	return d.Term.Above(s.known.Term) || d.Term == s.known.Term && d.Holder.Name > s.known.Holder.Name
}

// canVote reports whether a replica is connected and has a vote.
func (s *Lease) canVote(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who && p.CanVote })
}

// grantsVote reports whether to vote for a replica that requests votes. A replica votes once in an epoch and, unless
// the holder itself asks, only if the holder is silent or disconnected here too.
func (s *Lease) grantsVote(v View, from peerlink.Seat, d peerlink.Duty) bool {
	if d.Ask <= s.votedEpoch || d.Ask <= s.known.Term.Epoch || !v.CanVote || s.Holds() {
		return false
	}
	return from == s.known.Holder || s.known.Term == peerlink.Term{} || v.Now >= s.holderHeardAt+DisconnectTimeout && !isConnected(v, s.known.Holder) || v.Now >= s.holderHeardAt+SilenceTimeout
}

// Yield returns the message that asks the successor to take over now, or nothing if there is no successor. This
// replica stays the holder until the successor has taken over.
func (s *Lease) Yield() []Message {
	if !s.Holds() || s.known.Next == (peerlink.Seat{}) {
		return nil
	}
	statement := s.statement()
	statement.Yields = true
	return []Message{{Duty: statement}}
}

// Leave gives up the lease for good, because this replica is shutting down, and returns the messages to send.
func (s *Lease) Leave() []Message {
	out := s.Yield()
	s.hasLeft = true
	return out
}
