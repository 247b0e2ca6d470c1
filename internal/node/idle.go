package node

import (
	"math/bits"
	"time"

	"pepperfall.example/pepperfall/policy"
)

const (
	ageStep  = 32 * time.Millisecond // ages are told apart by this, doubled from one span to the next
	ageSpans = 12
	ageQuick = 20 * time.Millisecond // a break before this, with no byte of an answer, is the connection's fault
	ageShare = 0.1                   // of the requests in a span that may break so
	ageLeast = 3.0                   // breaks before a span is held to be too old
	ageFade  = 0.98                  // what a second leaves of the counts: servers change
)

// idleAges learns for how long an idle connection can be used again. App servers
// may close one sooner than they say, and a request written to it then ends as
// a reset, after which a keyed one has few ways left.
type idleAges struct {
	used, broke [ageSpans]float64
}

func ageSpan(age time.Duration) int { return min(ageSpans-1, bits.Len64(uint64(max(0, age)/ageStep))) }

// note takes in how a request on a connection of some age went.
func (x *idleAges) note(age, took time.Duration, code policy.Code, begun bool) {
	i := ageSpan(age)
	x.used[i]++
	if code == policy.Reset && !begun && took < ageQuick {
		x.broke[i]++
	}
}

// most is the age from which too many break, or else the age given.
func (x *idleAges) most(age time.Duration) time.Duration {
	for i := 1; i < ageSpans; i++ {
		if x.broke[i] >= ageLeast && x.broke[i] > ageShare*x.used[i] {
			return min(age, ageStep<<(i-1))
		}
	}
	return age
}

func (x *idleAges) fade() {
	for i := range x.used {
		x.used[i] *= ageFade
		x.broke[i] *= ageFade
	}
}
