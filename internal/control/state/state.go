// Package state defines what the replicas of the control plane agree on: one value, decided version by version,
// without a log of its history.
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

// MarshalText encodes a digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest from hexadecimal. It returns an error for text that is not hexadecimal or has the
// wrong length.
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

// ConfigID identifies one configuration by its number and the digest of its text. The zero ConfigID stands for no
// configuration.
type ConfigID struct {
	Gen    uint64
	Digest Digest
}

// Voter is a replica whose disk counts in a majority. The ID belongs to one disk: a machine that comes back without
// its disk gets another ID.
type Voter struct {
	ID    string
	Name  string // of the machine; empty if the voter was only named at the first start
	Zone  string
	Inner string // address for other replicas and agents, host and port
}

// Lock lets one operator issue several orders without interference from others. The zero Lock is not held.
type Lock struct {
	Token   string // known only to the holder
	Who     string
	Since   int64         // nanoseconds of Unix time, on the holder's clock
	For     time.Duration // after this time since the last grant or renewal, others may take the lock over
	Granted uint64        // version of the state that granted or last renewed it
}

// State is everything that the replicas decide on. A State must not be modified once it was proposed.
type State struct {
	Version uint64 // incremented by each decision; 0 if nothing is known
	Voters  []Voter
	Config  ConfigID
	Orders  []Order // sorted by subject
	Lock    Lock

	// Proposer identifies the run of the process that proposed this state. Only it may propose the next version under
	// quorum.FirstRound, which needs no promises.
	Proposer string
}

// Genesis returns the state before the first decision, which all replicas know from their settings.
func Genesis(voters []Voter) State {
	voters = slices.Clone(voters)
	sortVoters(voters)
	return State{Version: 1, Voters: voters}
}

func sortVoters(all []Voter) {
	slices.SortFunc(all, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
}

// Clone returns a copy that shares no memory with s.
func (s State) Clone() State {
	s.Voters, s.Orders = slices.Clone(s.Voters), slices.Clone(s.Orders)
	return s
}

// SameContent reports whether two states are equal except for their versions and proposers.
func (s State) SameContent(o State) bool {
	return s.Config == o.Config && s.Lock == o.Lock && slices.Equal(s.Voters, o.Voters) && slices.Equal(s.Orders, o.Orders)
}

// Voter returns the voter with the given ID.
func (s State) Voter(id string) (v Voter, ok bool) {
	i := slices.IndexFunc(s.Voters, func(v Voter) bool { return v.ID == id })
	if i < 0 {
		return Voter{}, false
	}
	return s.Voters[i], true
}

// WithVoters returns a copy of s with the given voters.
func (s State) WithVoters(voters []Voter) State {
	s = s.Clone()
	s.Voters = slices.Clone(voters)
	sortVoters(s.Voters)
	return s
}

// Order returns the order about a subject. Its Count is 0 if there is none.
func (s State) Order(subject string) Order {
	i, found := slices.BinarySearchFunc(s.Orders, subject, func(o Order, subject string) int { return cmp.Compare(o.Zone, subject) })
	if !found {
		return Order{Zone: subject}
	}
	return s.Orders[i]
}

// SetOrder adds an order and replaces any order about the same subject.
func (s *State) SetOrder(o Order) {
	i, found := slices.BinarySearchFunc(s.Orders, o.Zone, func(x Order, subject string) int { return cmp.Compare(x.Zone, subject) })
	if found {
		s.Orders[i] = o
		return
	}
	s.Orders = slices.Insert(s.Orders, i, o)
}

// maxWithdrawn is how many of the newest withdrawn orders about nodes are kept. Agents that missed older ones have
// reconnected since.
const maxWithdrawn = 256

// Prune drops orders that no longer have any effect, so that the state does not grow with the number of changes:
// orders about servers that expired before unixMS, in milliseconds of Unix time, and the oldest withdrawn orders about
// nodes.
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

// Above reports whether the configuration c takes precedence over o. Each decided number has exactly one text, so the
// digests only order configurations that were never decided.
func (c ConfigID) Above(o ConfigID) bool {
	if c.Gen != o.Gen {
		return c.Gen > o.Gen
	}
	return bytes.Compare(c.Digest[:], o.Digest[:]) > 0
}
