package lease

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timeouts and intervals of a duty.
const (
	HeartbeatInterval = 600 * time.Millisecond // between two words of a holder at most
	SilenceTimeout    = 900 * time.Millisecond // without a word a holder is taken for lost
	DisconnectTimeout = 500 * time.Millisecond // and one that is not connected either
	RankDelay         = 300 * time.Millisecond // between the attempts of one and the next in rank
	voteRetryInterval = 400 * time.Millisecond
	successorTimeout  = time.Second // a successor that is gone for so long is replaced by another
	never             = time.Duration(1) << 62
)

// Peer is another replica that is connected and is not leaving.
type Peer struct {
	peerlink.Seat
	Zone    string
	CanVote bool // its vote counts
}

// View is what a replica knows of itself and of its peers at one moment.
type View struct {
	Now        time.Duration // of its steady clock
	UnixMS     uint64        // its time of day
	Peers      []Peer
	CanVote    bool // its own vote counts
	VoterCount int  // how many there are, those out of reach included
}

// Message is a word that is to be told.
type Message struct {
	To   string // empty: to all peers
	Duty peerlink.Duty
}

// Lease is one replica's view of and part in a duty. It is not safe for concurrent use.
type Lease struct {
	duty string
	self peerlink.Seat
	zone string

	known            peerlink.Duty // the highest term, its holder and the next one
	holderHeardAt    time.Duration // when the holder last spoke, or was first told of
	announcedAt      time.Duration // of a holder: when it last spoke
	successorSeenAt  time.Duration // of a holder: when its successor was last connected
	hasLeft          bool
	votedEpoch       uint64 // the highest epoch that this replica voted for, in this life
	highestSeenEpoch uint64 // the highest that anybody did, as far as was heard
	candidateEpoch   uint64 // the epoch that it wants; 0: none
	requestedAt      time.Duration
	hasRequested     bool
	votes            map[string]bool
}

// New returns the part of the replica self, which is in zone, in a duty.
func New(duty string, self peerlink.Seat, zone string) *Lease {
	return &Lease{duty: duty, self: self, zone: zone}
}

// Holds tells whether this replica has the duty.
func (s *Lease) Holds() bool { return !s.hasLeft && s.known.Holder == s.self }

// Known returns the newest term that this replica knows, with its holder and successor.
func (s *Lease) Known() peerlink.Duty { return s.known }

// AcceptsTerm tells whether a word given in a term is to be heeded. The zero term claims nothing, so it is.
func (s *Lease) AcceptsTerm(t peerlink.Term) bool {
	return t == peerlink.Term{} || !s.known.Term.Above(t)
}

// Greeting is what a replica that has just been connected is told.
func (s *Lease) Greeting() peerlink.Duty { return s.statement() }

func (s *Lease) statement() peerlink.Duty {
	d := s.known
	d.Voted = max(s.highestSeenEpoch, s.votedEpoch)
	return d
}

// NoteAnnounced notes that the holder has told its word to all.
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

func (s *Lease) rankDelay(v View) time.Duration {
	return time.Duration(s.rank(v, func(p Peer) bool { return p.CanVote })) * RankDelay
}

// isMajorityConnected tells whether enough electors are connected for a vote.
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

func isMajority(n, of int) bool { return n >= of/2+1 }

func isConnected(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who })
}

// takeoverTime is when this replica, the next one, takes the duty over.
func (s *Lease) takeoverTime(v View) time.Duration {
	if !isConnected(v, s.known.Holder) {
		return s.holderHeardAt + DisconnectTimeout
	}
	return s.holderHeardAt + SilenceTimeout
}

// electionTime is when this replica asks for a vote; never: it has no reason to.
func (s *Lease) electionTime(v View) time.Duration {
	if !v.CanVote || !s.isMajorityConnected(v) {
		return never
	}
	at := s.holderHeardAt + SilenceTimeout + RankDelay + s.rankDelay(v) // the next one has its chance first
	switch {
	case s.Holds():
		if at = s.successorSeenAt + successorTimeout; s.chooseSuccessor(v) == (peerlink.Seat{}) {
			return never
		}
	case s.known.Term == peerlink.Term{}:
		at = s.rankDelay(v)
	}
	if s.hasRequested {
		at = max(at, s.requestedAt+voteRetryInterval+s.rankDelay(v)) // of those who ask against each other the first in rank does so more often
	}
	return at
}

// NextStep is when Step has something to do, if nothing is heard before.
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

// Step does what is due.
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

// takeOver takes over as the successor that was named.
func (s *Lease) takeOver(v View) Message {
	t := s.known.Term
	t.Step++
	return s.startTerm(v, t)
}

// startTerm begins a term, and names its successor, once for all of it.
func (s *Lease) startTerm(v View, t peerlink.Term) Message {
	s.known = peerlink.Duty{Term: t, Holder: s.self, Next: s.chooseSuccessor(v)}
	s.holderHeardAt, s.announcedAt, s.successorSeenAt, s.candidateEpoch = v.Now, v.Now, v.Now, 0
	return Message{Duty: s.statement()}
}

// chooseSuccessor is who is to follow this replica: an elector, of another zone where there is one.
func (s *Lease) chooseSuccessor(v View) peerlink.Seat {
	var fit []Peer
	for _, p := range v.Peers {
		if p.CanVote {
			fit = append(fit, p)
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

// requestVotes wants the votes of all. An epoch is the time of day where that is higher than the next number: votes are not on
// disk, and one who has come back may vote again, but not for the number of a moment before.
func (s *Lease) requestVotes(v View) []Message {
	s.hasRequested, s.requestedAt = true, v.Now
	s.candidateEpoch = max(max(s.known.Term.Epoch, s.votedEpoch, s.highestSeenEpoch)+1, v.UnixMS)
	s.votedEpoch, s.votes = s.candidateEpoch, map[string]bool{s.self.Name: true}
	word := s.statement()
	word.Ask = s.candidateEpoch
	out := []Message{{Duty: word}}
	if isMajority(len(s.votes), v.VoterCount) {
		out = append(out, s.startTerm(v, peerlink.Term{Epoch: s.candidateEpoch}))
	}
	return out
}

// Receive takes in another replica's word.
func (s *Lease) Receive(v View, from peerlink.Seat, d peerlink.Duty) (out []Message) {
	if s.hasLeft {
		return nil
	}
	own := d.Holder == from
	s.highestSeenEpoch = max(s.highestSeenEpoch, d.Voted, d.Ask)
	switch {
	case s.supersedesKnown(d):
		s.known = peerlink.Duty{Term: d.Term, Holder: d.Holder, Next: d.Next}
		s.holderHeardAt = v.Now
		if s.candidateEpoch <= d.Term.Epoch {
			s.candidateEpoch = 0
		}
	case d.Term == s.known.Term && d.Holder == s.known.Holder:
		if own {
			s.holderHeardAt = v.Now
		}
	case own || d.Ask > 0:
		out = append(out, Message{To: from.Name, Duty: s.statement()}) // it is behind
	}
	if own && d.Yields && d.Term == s.known.Term && s.known.Next == s.self {
		out = append(out, s.takeOver(v))
	}
	if s.grantsVote(v, from, d) {
		s.votedEpoch = d.Ask
		word := s.statement()
		word.Vote = d.Ask
		out = append(out, Message{To: from.Name, Duty: word})
	} else if d.Ask > 0 && len(out) == 0 {
		out = append(out, Message{To: from.Name, Duty: s.statement()}) // it learns what is higher
	}
	if d.Vote > 0 && d.Vote == s.candidateEpoch && s.candidateEpoch > s.known.Term.Epoch && s.canVote(v, from) {
		s.votes[from.Name] = true
		if isMajority(len(s.votes), v.VoterCount) {
			out = append(out, s.startTerm(v, peerlink.Term{Epoch: s.candidateEpoch}))
		}
	}
	return out
}

// supersedesKnown tells whether a word tells of more than is known. Two holders of one term there are only where a voter came
// back, and voted again, in the same millisecond; or while a clock is ahead. Then all agree on one by name.
func (s *Lease) supersedesKnown(d peerlink.Duty) bool {
	return d.Term.Above(s.known.Term) || d.Term == s.known.Term && d.Holder.Name > s.known.Holder.Name
}

func (s *Lease) canVote(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who && p.CanVote })
}

// grantsVote tells whether to vote for one who asks: once in an epoch, and, but for the holder itself, only where the
// holder is silent here too.
func (s *Lease) grantsVote(v View, from peerlink.Seat, d peerlink.Duty) bool {
	if d.Ask <= s.votedEpoch || d.Ask <= s.known.Term.Epoch || !v.CanVote || s.Holds() {
		return false
	}
	return from == s.known.Holder || s.known.Term == peerlink.Term{} || v.Now >= s.holderHeardAt+DisconnectTimeout && !isConnected(v, s.known.Holder) || v.Now >= s.holderHeardAt+SilenceTimeout
}

// Yield tells the next one to take over now; nothing where there is no next one. Until it has, this replica holds on.
func (s *Lease) Yield() []Message {
	if !s.Holds() || s.known.Next == (peerlink.Seat{}) {
		return nil
	}
	word := s.statement()
	word.Yields = true
	return []Message{{Duty: word}}
}

// Leave gives the duty up for good: this replica ends.
func (s *Lease) Leave() []Message {
	out := s.Yield()
	s.hasLeft = true
	return out
}
