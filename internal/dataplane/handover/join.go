package handover

import (
	"hash/fnv"
	"math"
	"time"
)

// Times of a join.
const (
	JoinKnownAfter = time.Second                           // who is heard so long after a join has been told of it
	RampStart      = JoinKnownAfter + 250*time.Millisecond // before that a joiner may have no units: nobody is sent there
	RampEnd        = RampStart + 1500*time.Millisecond     // until it is in all answers to clients

	InitialPhase     = JoinKnownAfter + 500*time.Millisecond // from its start: it can't be known yet who has heard of it
	maxInitialExcess = 0.1                                   // of a second's units of all, that those who join in this time may pass beyond
)

// UnusedShare returns the part of its share that a joiner must not use. Of all shares, joined are those of proxies that joined
// with it, and silent those of proxies not heard since. Silent proxies still use the larger share of before the join, so
// the joiner's share can come only from the others.
func UnusedShare(shares, joined, silent int) float64 {
	old := shares - joined
	if joined <= 0 || silent <= 0 || old <= 0 {
		return 0 // nobody is here who has to give
	}
	return min(1, float64(silent)/float64(old))
}

// InitialShare returns the part of its share that a joiner uses until EarlyFor, before it is known who has heard of it: what all
// joiners together may pass beyond a quota in that time stays under maxInitialExcess of a second's rate each second.
func InitialShare(shares, joined int) float64 {
	return min(1, maxInitialExcess*float64(shares)/float64(max(1, joined)))
}

// IsAdvertised tells whether a joiner that has been ready for age is in the answer to clients of a place. The part of the places
// whose answers hold it rises to all of them by RampEnd. The result for a joiner and a place is deterministic.
func IsAdvertised(joiner, place string, age time.Duration) bool {
	if age >= RampEnd {
		return true
	}
	return float64(mixedHash(joiner+"\x00"+place))/math.MaxUint64 < float64(age-RampStart)/float64(RampEnd-RampStart)
}

// mixedHash hashes a text to a number, the same at all proxies; similar texts get unrelated numbers.
func mixedHash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64() // fnv's first bits follow the last bytes little
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// CanOmitJoiners tells whether joiners may be left out of answers because enough older proxies bear the load. After a first start
// there are none, and all proxies are in the answers at once.
func CanOmitJoiners(young, old int) bool { return young > 0 && old >= young }
