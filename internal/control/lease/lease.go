package lease

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timeouts and intervals of a duty.
const (
	Heartbeat = 600 * time.Millisecond // maximum time between two messages of a holder
	Silence   = 900 * time.Millisecond // a holder that is silent for so long is considered lost
	Unlinked  = 500 * time.Millisecond // the shorter timeout for a holder that is also disconnected
	Stagger   = 300 * time.Millisecond // delay between the attempts of replicas of successive ranks
	askEvery  = 400 * time.Millisecond // between two requests for votes, plus the delay by rank
	nameless  = time.Second            // a successor that is disconnected for so long is replaced
	never     = time.Duration(1) << 62 // a time that is never reached
)

// Peer is another replica that is connected and is not leaving.
type Peer struct {
	peerlink.Seat
	Zone    string
	Elector bool // its vote counts
}

// View is what a replica knows of itself and of its peers at one moment.
type View struct {
	Now      time.Duration // monotonic time
	UnixMS   uint64        // time of day, in milliseconds of Unix time
	Peers    []Peer
	Elector  bool // this replica's own vote counts
	Electors int  // number of all replicas whose votes count, including unreachable ones
}

// Message is a statement that is to be sent.
type Tell struct {
	To   string // name of the receiver; empty: all peers
	Duty peerlink.Duty
}

// Lease is one replica's view of and part in a duty. It is not safe for concurrent use.
type Lease struct {
	duty string
	self peerlink.Seat
	zone string

	known   peerlink.Duty   // the highest known term, its holder and its successor
	heard   time.Duration   // when the holder last sent a message, or first became known
	told    time.Duration   // if this replica is the holder: when it last sent a message to all
	named   time.Duration   // if this replica is the holder: when its successor was last connected
	left    bool            // this replica has given up its part for good
	voted   uint64          // the highest epoch that this replica has voted for since its start
	seen    uint64          // the highest epoch known that any replica has voted for
	asking  uint64          // the epoch for which this replica requests votes; 0: none
	askedAt time.Duration   // when this replica last requested votes
	asked   bool            // whether requestedAt is set
	votes   map[string]bool // replicas that voted for candidateEpoch
}

// New returns the part of the replica self, which is in zone, in a duty.
func New(duty string, self peerlink.Seat, zone string) *Lease {
	return &Lease{duty: duty, self: self, zone: zone}
}

// Holds reports whether this replica holds the duty.
func (s *Lease) Holds() bool { return !s.left && s.known.Holder == s.self }

// Known returns the newest term that this replica knows, with its holder and successor.
func (s *Lease) Known() peerlink.Duty { return s.known }

// AcceptsTerm reports whether a message sent in term t is to be processed, that is, whether the term is not outdated.
// The zero term claims nothing and is always accepted.
func (s *Lease) Takes(t peerlink.Term) bool { return t == peerlink.Term{} || !s.known.Term.Above(t) }

// Greeting returns the statement to send to a replica that has just connected.
func (s *Lease) Greet() peerlink.Duty { return s.word() }

// statement returns what this replica knows of the duty.
func (s *Lease) word() peerlink.Duty {
	d := s.known
	d.Voted = max(s.seen, s.voted)
	return d
}

// NoteAnnounced records that the holder has sent a statement to all peers.
func (s *Lease) Spoke(now time.Duration) { s.told = now }

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

// rankDelay returns the delay that this replica's rank among the connected replicas with a vote causes.
func (s *Lease) turn(v View) time.Duration {
	return time.Duration(s.rank(v, func(p Peer) bool { return p.Elector })) * Stagger
}

// isMajorityConnected reports whether enough replicas with a vote are connected for an election.
func (s *Lease) majority(v View) bool {
	n := 0
	for _, p := range v.Peers {
		if p.Elector {
			n++
		}
	}
	if v.Elector {
		n++
	}
	return enough(n, v.Electors)
}

func enough(n, total int) bool { return n >= total/2+1 }

func connected(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who })
}

// takeoverTime returns when this replica, being the successor, takes over the duty.
func (s *Lease) follows(v View) time.Duration {
	if !connected(v, s.known.Holder) {
		return s.heard + Unlinked
	}
	return s.heard + Silence
}

// electionTime returns when this replica requests votes, or never if it has no reason to.
func (s *Lease) wants(v View) time.Duration {
	if !v.Elector || !s.majority(v) {
		return never
	}
	at := s.heard + Silence + Stagger + s.turn(v) // the successor may take over first
	switch {
	case s.Holds():
		if at = s.named + nameless; s.pick(v) == (peerlink.Seat{}) {
			return never
		}
	case s.known.Term == peerlink.Term{}:
		at = s.turn(v)
	}
	if s.asked {
		at = max(at, s.askedAt+askEvery+s.turn(v)) // among competing candidates, the first in rank retries most often
	}
	return at
}

// NextStep returns when Step has something to do next, unless a message arrives before.
func (s *Lease) Wake(v View) time.Duration {
	switch {
	case s.left:
		return never
	case s.Holds():
		if connected(v, s.known.Next) {
			return s.told + Heartbeat
		}
		return min(s.told+Heartbeat, s.wants(v))
	case s.known.Next == s.self:
		return min(s.follows(v), s.wants(v))
	}
	return s.wants(v)
}

// Step does what is due at v.Now and returns the messages to send.
func (s *Lease) Step(v View) (out []Tell) {
	if s.left {
		return nil
	}
	if s.Holds() && connected(v, s.known.Next) {
		s.named = v.Now
	}
	if !s.Holds() && s.known.Next == s.self && v.Now >= s.follows(v) {
		out = append(out, s.follow(v))
	}
	if v.Now >= s.wants(v) {
		out = append(out, s.ask(v)...)
	}
	if s.Holds() && v.Now >= s.told+Heartbeat {
		s.told = v.Now
		out = append(out, Tell{Duty: s.word()})
	}
	return out
}

// takeOver begins the next term as the successor named by the holder, without a vote.
func (s *Lease) follow(v View) Tell {
	t := s.known.Term
	t.Step++
	return s.take(v, t)
}

// startTerm makes this replica the holder in a new term. It names the successor, which stays the same for the whole
// term.
func (s *Lease) take(v View, t peerlink.Term) Tell {
	s.known = peerlink.Duty{Term: t, Holder: s.self, Next: s.pick(v)}
	s.heard, s.told, s.named, s.asking = v.Now, v.Now, v.Now, 0
	return Tell{Duty: s.word()}
}

// chooseSuccessor returns the replica to name as successor: one that has a vote, preferably in another zone. It is the
// zero Seat if there is none.
func (s *Lease) pick(v View) peerlink.Seat {
	var candidates []Peer
	for _, p := range v.Peers {
		if p.Elector {
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
func (s *Lease) ask(v View) []Tell {
	s.asked, s.askedAt = true, v.Now
	s.asking = max(max(s.known.Term.Epoch, s.voted, s.seen)+1, v.UnixMS)
	s.voted, s.votes = s.asking, map[string]bool{s.self.Name: true}
	statement := s.word()
	statement.Ask = s.asking
	out := []Tell{{Duty: statement}}
	if enough(len(s.votes), v.Electors) {
		out = append(out, s.take(v, peerlink.Term{Epoch: s.asking}))
	}
	return out
}

// Receive processes a statement from another replica and returns the messages to send in response.
func (s *Lease) Hear(v View, from peerlink.Seat, d peerlink.Duty) (out []Tell) {
	if s.left {
		return nil
	}
	fromHolder := d.Holder == from
	s.seen = max(s.seen, d.Voted, d.Ask)
	switch {
	case s.over(d):
		s.known = peerlink.Duty{Term: d.Term, Holder: d.Holder, Next: d.Next}
		s.heard = v.Now
		if s.asking <= d.Term.Epoch {
			s.asking = 0
		}
	case d.Term == s.known.Term && d.Holder == s.known.Holder:
		if fromHolder {
			s.heard = v.Now
		}
	case fromHolder || d.Ask > 0:
		out = append(out, Tell{To: from.Name, Duty: s.word()}) // the sender's knowledge is outdated
	}
	if fromHolder && d.Yields && d.Term == s.known.Term && s.known.Next == s.self {
		out = append(out, s.follow(v))
	}
	if s.grants(v, from, d) {
		s.voted = d.Ask
		answer := s.word()
		answer.Vote = d.Ask
		out = append(out, Tell{To: from.Name, Duty: answer})
	} else if d.Ask > 0 && len(out) == 0 {
		out = append(out, Tell{To: from.Name, Duty: s.word()}) // refuses the vote and reports the higher epoch or the holder
	}
	if d.Vote > 0 && d.Vote == s.asking && s.asking > s.known.Term.Epoch && s.elector(v, from) {
		s.votes[from.Name] = true
		if enough(len(s.votes), v.Electors) {
			out = append(out, s.take(v, peerlink.Term{Epoch: s.asking}))
		}
	}
	return out
}

// supersedesKnown reports whether a statement takes precedence over what is known. One term can have two holders only
// if a voter restarted and voted again in the same millisecond, or while a clock is ahead. All replicas then agree on
// one holder by comparing names.
func (s *Lease) over(d peerlink.Duty) bool {
	return d.Term.Above(s.known.Term) || d.Term == s.known.Term && d.Holder.Name > s.known.Holder.Name
}

// canVote reports whether a replica is connected and has a vote.
func (s *Lease) elector(v View, who peerlink.Seat) bool {
	return slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Seat == who && p.Elector })
}

// grantsVote reports whether to vote for a replica that requests votes. A replica votes once in an epoch and, unless
// the holder itself asks, only if the holder is silent or disconnected here too.
func (s *Lease) grants(v View, from peerlink.Seat, d peerlink.Duty) bool {
	if d.Ask <= s.voted || d.Ask <= s.known.Term.Epoch || !v.Elector || s.Holds() {
		return false
	}
	return from == s.known.Holder || s.known.Term == peerlink.Term{} || v.Now >= s.heard+Unlinked && !connected(v, s.known.Holder) || v.Now >= s.heard+Silence
}

// Yield returns the message that asks the successor to take over now, or nothing if there is no successor. This
// replica stays the holder until the successor has taken over.
func (s *Lease) Yield() []Tell {
	if !s.Holds() || s.known.Next == (peerlink.Seat{}) {
		return nil
	}
	statement := s.word()
	statement.Yields = true
	return []Tell{{Duty: statement}}
}

// Leave gives up the duty for good, because this replica is shutting down, and returns the messages to send.
func (s *Lease) Leave() []Tell {
	out := s.Yield()
	s.left = true
	return out
}
