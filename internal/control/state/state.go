// Package state defines what the replicas of the control plane agree on: one
// value, decided version after version, without a log of how it came about.
package state

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 sum of a configuration's bytes.
type Digest [32]byte

// MarshalText writes a digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads what MarshalText wrote; it fails on any other text.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "digest")
	}
	if len(raw) != len(d) {
		return errors.Errorf("digest: %d bytes, not %d", len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}

// ConfigID names one configuration: its number and its text. The zero one stands
// for no configuration.
type ConfigID struct {
	Gen    uint64
	Digest Digest
}

// Voter is a replica whose disk counts in a majority. Its ID belongs to one disk:
// a machine that comes back without its disk has another one.
type Voter struct {
	ID    string
	Name  string // of the machine; empty for one named at the first start only
	Zone  string
	Inner string // address for other replicas and agents, host and port
}

// Lock keeps operators who give many orders from crossing each other. The zero
// one is held by nobody.
type Lock struct {
	Token   string // known to its holder alone
	Who     string
	Since   int64         // nanoseconds of Unix time, by the holder's clock
	For     time.Duration // it may be taken over so long after its last grant
	Granted uint64        // version of the state that granted or renewed it
}

// State is the whole of what is decided. States are never changed in place once
// they were proposed.
type State struct {
	Version uint64 // rises by one with each decision; 0: nothing is known
	Voters  []Voter
	Config  ConfigID
	Orders  []Order // by subject
	Lock    Lock

	// Proposer is the life of the process that proposed this state. It alone may propose the version after it under
	// quorum.FirstRound, without asking for promises.
	Proposer string
}

// Genesis is the state before the first decision, known to all from their settings.
func Genesis(voters []Voter) State {
	voters = slices.Clone(voters)
	sortVoters(voters)
	return State{Version: 1, Voters: voters}
}

func sortVoters(all []Voter) {
	slices.SortFunc(all, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
}

// Clone returns a copy that shares nothing with s.
func (s State) Clone() State {
	s.Voters, s.Orders = slices.Clone(s.Voters), slices.Clone(s.Orders)
	return s
}

// SameContent tells whether two states agree in all that is decided about: not in their version and proposer.
func (s State) SameContent(o State) bool {
	return s.Config == o.Config && s.Lock == o.Lock && slices.Equal(s.Voters, o.Voters) && slices.Equal(s.Orders, o.Orders)
}

// Voter returns the voter of an ID.
func (s State) Voter(id string) (v Voter, is bool) {
	i := slices.IndexFunc(s.Voters, func(v Voter) bool { return v.ID == id })
	if i < 0 {
		return Voter{}, false
	}
	return s.Voters[i], true
}

// WithVoters returns a copy with other voters.
func (s State) WithVoters(voters []Voter) State {
	s = s.Clone()
	s.Voters = slices.Clone(voters)
	sortVoters(s.Voters)
	return s
}

// Order returns the order about a subject; its Count is 0 where there is none.
func (s State) Order(subject string) Order {
	i, found := slices.BinarySearchFunc(s.Orders, subject, func(o Order, subject string) int { return cmp.Compare(o.Zone, subject) })
	if !found {
		return Order{Zone: subject}
	}
	return s.Orders[i]
}

// SetOrder puts an order in place of the one about the same subject.
func (s *State) SetOrder(o Order) {
	i, found := slices.BinarySearchFunc(s.Orders, o.Zone, func(x Order, subject string) int { return cmp.Compare(x.Zone, subject) })
	if found {
		s.Orders[i] = o
		return
	}
	s.Orders = slices.Insert(s.Orders, i, o)
}

// maxWithdrawn is how many withdrawn orders about nodes are kept, the newest
// ones: agents that missed them have reconnected since.
const maxWithdrawn = 256

// Prune drops orders that have no effect any more, so that the state does not
// grow with the number of changes: words on servers that ran out before
// unixMS, and the oldest withdrawn orders about nodes.
func (s *State) Prune(unixMS int64) {
	s.Orders = slices.DeleteFunc(s.Orders, func(o Order) bool {
		_, server := o.Server()
		return server && o.Until < unixMS
	})
	var withdrawn []uint64
	for _, o := range s.Orders {
		if _, node := o.Node(); node && !o.Drain {
			withdrawn = append(withdrawn, o.Count)
		}
	}
	if len(withdrawn) <= maxWithdrawn {
		return
	}
	slices.Sort(withdrawn)
	oldest := withdrawn[len(withdrawn)-maxWithdrawn]
	s.Orders = slices.DeleteFunc(s.Orders, func(o Order) bool {
		_, node := o.Node()
		return node && !o.Drain && o.Count < oldest
	})
}

// Above tells whether the configuration named by c is to be in force in place of o.
// A decided number has one text, so the digests only order what was never decided.
func (c ConfigID) Above(o ConfigID) bool {
	if c.Gen != o.Gen {
		return c.Gen > o.Gen
	}
	return bytes.Compare(c.Digest[:], o.Digest[:]) > 0
}
