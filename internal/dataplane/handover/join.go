package handover

import (
	"hash/fnv"
	"math"
	"time"
)

// Times since a proxy joined.
const (
	JoinKnownAfter = time.Second                           // a proxy from which a message arrives after this time knows of the join
	RampStart      = JoinKnownAfter + 250*time.Millisecond // a joiner may have no units before, so no client is sent to it
	RampEnd        = RampStart + 1500*time.Millisecond     // from then on all answers to clients contain the joiner

	InitialPhase     = JoinKnownAfter + 500*time.Millisecond // in this time it is unknown which proxies know of the join
	maxInitialExcess = 0.1                                   // of a quota's units of a second: all joiners together may exceed it by this part
)

// UnusedShare returns the part of its share, from 0 to 1, that a joiner must not use. Of all shares, joined belong to proxies
// that joined at the same time, including the joiner, and silent to proxies from which no message has arrived since.
// Silent proxies still use the larger share from before the join, so the joiner's share can come only from the others.
func UnusedShare(shares, joined, silent int) float64 {
	old := shares - joined
	if joined <= 0 || silent <= 0 || old <= 0 {
		return 0 // no older proxy has to reduce its share
	}
	return min(1, float64(silent)/float64(old))
}

// InitialShare returns the part of its share, from 0 to 1, that a joiner uses during InitialPhase, while it is unknown which
// proxies know of the join. In that time all joiners together exceed a quota by at most maxInitialExcess of its rate.
func InitialShare(shares, joined int) float64 {
	return min(1, maxInitialExcess*float64(shares)/float64(max(1, joined)))
}

// IsAdvertised reports whether the answer to clients of a place contains a joiner that has been ready for age. The part of
// the places whose answers contain the joiner grows from none at RampStart to all at RampEnd. The result is deterministic.
func IsAdvertised(joiner, place string, age time.Duration) bool {
	if age >= RampEnd {
		return true
	}
	return float64(mixedHash(joiner+"\x00"+place))/math.MaxUint64 < float64(age-RampStart)/float64(RampEnd-RampStart)
}

// mixedHash returns a hash that is the same at all proxies and differs widely for similar texts.
func mixedHash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64() // the last bytes of the text hardly change the high bits of an FNV hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// CanOmitJoiners reports whether answers to clients may omit joiners because enough older proxies carry the load. After the
// first start of a system there are no older proxies, and the answers contain all proxies at once.
func CanOmitJoiners(joiners, older int) bool { return joiners > 0 && older >= joiners }
