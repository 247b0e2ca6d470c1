package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// lists makes replicas answer for the duration d, each with the age of its list at that time.
func (r *selection) lists(d time.Duration, age func(now time.Duration) map[string]time.Duration) string {
	for end := r.now + d; r.now < end; {
		r.now += heartbeatInterval
		for addr, a := range age(r.now) {
			list := &peerlink.Reading{Age: a, Period: time.Second}
			r.HandleFrame(addr, &peerlink.Frame{Pong: &peerlink.Pong{Sent: r.now, InTouch: true, List: list}}, r.now)
		}
		r.Choose(r.now)
	}
	return r.Chosen()
}

func TestUpstreamWithOldListIsReplaced(t *testing.T) {
	r := newSelection("m")
	r.up("own", "z1", "r1")
	r.up("near", "z2", "r1")
	began := time.Duration(0)
	age := func(now time.Duration) map[string]time.Duration {
		return map[string]time.Duration{"own": now - began, "near": now - now.Truncate(time.Second)}
	}
	assert.Equal(t, r.lists(1500*time.Millisecond, age), "own")
	assert.Equal(t, r.lists(time.Second, age), "near") // its list has missed two reads
	began = 3 * time.Second
	assert.Equal(t, r.lists(failbackDelay-time.Second, func(now time.Duration) map[string]time.Duration {
		began = now.Truncate(time.Second)
		return age(now)
	}), "near")
	assert.Equal(t, r.lists(2*time.Second, func(now time.Duration) map[string]time.Duration {
		began = now.Truncate(time.Second)
		return age(now)
	}), "own") // good for failbackDelay

	// If all lists are equally old, the upstream replica is kept, and likewise if no replica has a list.
	old := func(now time.Duration) map[string]time.Duration {
		return map[string]time.Duration{"own": now, "near": now}
	}
	assert.Equal(t, r.lists(10*time.Second, old), "own")
}

// A replica that misses no two reads in a row is never replaced for the age of its list, however late it receives lists and answers.
func TestUpstreamIsKeptWhenListsArriveSlightlyLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSelection("m")
		r.LongHeartbeats = true
		r.up("own", "z1", "r1")
		r.up("near", "z2", "r1")
		duration := func(maxMillis int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, maxMillis).Draw(t, label)) * time.Millisecond
		}
		period := 500*time.Millisecond + duration(1000, "period")
		receiveDelay, answerDelay := map[string]time.Duration{}, map[string]time.Duration{}
		for _, addr := range []string{"own", "near"} {
			receiveDelay[addr], answerDelay[addr] = duration(300, "hears after "+addr), duration(300, "answers after "+addr)
		}
		for range 120 {
			r.now += heartbeatInterval
			for addr, delay := range receiveDelay {
				if r.now%r.PingInterval(addr) == 0 {
					pingSent := r.now - answerDelay[addr]
					list := &peerlink.Reading{Age: delay + (pingSent+2*period-delay)%period, Period: period}
					r.HandleFrame(addr, &peerlink.Frame{Pong: &peerlink.Pong{Sent: pingSent, InTouch: true, List: list}}, r.now)
				}
			}
			assert.Equal(t, r.Choose(r.now), "own")
		}
	})
}

func TestListAgeCountsOnlyWhatTheFollowedReplicaSent(t *testing.T) {
	a := &listAge{}
	pong := func(sent, age time.Duration) *peerlink.Pong {
		return &peerlink.Pong{Sent: sent, List: &peerlink.Reading{Age: age}}
	}
	assert.Assert(t, a.reading(0) == nil)
	a.restart(time.Second)
	a.addPong(pong(900*time.Millisecond, 0)) // pinged before the replica was chosen
	assert.Assert(t, a.reading(0) == nil)
	a.addPong(pong(2*time.Second, time.Second))
	a.addPong(&peerlink.Pong{Sent: 3 * time.Second})
	assert.Equal(t, a.reading(4*time.Second).Age, 3*time.Second)
	a.addPong(pong(3*time.Second, 3*time.Second)) // older than the list held
	assert.Equal(t, a.reading(4*time.Second).Age, 3*time.Second)
}
