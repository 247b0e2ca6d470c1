package serverhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Unpack restores a packed report, a damaged report causes no panic, and Sample keeps an unbiased share of outcomes.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Report{Proxy: rapid.String().Draw(t, "name"), Incarnation: rapid.Int64().Draw(t, "life"), Zone: "a", Now: time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "now")),
			Sequence: rapid.Uint64().Draw(t, "no"), ServersTried: 9, FailingCount: 2, Failing: []string{"s1", "s3"}}
		for i := range rapid.IntRange(0, 40).Draw(t, "observations") {
			e := Observation{Server: fmt.Sprint("s", i%7), Kind: Kind(i % 2), Group: uint8(i % Groups), Bin: binOf(s.Now) - int32(i), Unreliable: i%3 == 0}
			for o := range e.Counts {
				e.Counts[o] = uint16(rapid.IntRange(0, 70000).Draw(t, "count") % 65536)
			}
			s.Observations = append(s.Observations, e)
		}
		b := s.Pack()
		got, err := Unpack(b)
		if len(b) > MaxReportBytes {
			return
		}
		assert.NilError(t, err)
		assert.DeepEqual(t, got, s)
		if len(b) > 0 {
			cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
			_, err := Unpack(b[:cut])
			assert.Assert(t, err != nil)
			b[cut] ^= byte(rapid.IntRange(1, 255).Draw(t, "spoilt"))
			_, _ = Unpack(b)
		}
	})
	of := func(share int) (bad, all int) {
		s := &Report{Proxy: "g"}
		for i := range 4000 {
			e := Observation{Server: fmt.Sprint("s", i%40), Kind: AtMostOnce, Group: uint8(i % Groups), Bin: int32(i / 640)}
			e.Counts[Confirmed] = 1
			if i*7919%100 < share {
				e.Counts = Counts{Unclear: 1}
			}
			s.Observations = append(s.Observations, e)
		}
		s.Sample(400)
		for _, e := range s.Observations {
			all++
			bad += int(e.Counts[Unclear])
		}
		return bad, all
	}
	bad, all := of(30)
	assert.Equal(t, all, 400)
	assert.Assert(t, bad > 90 && bad < 150, "%d of %d", bad, all)
	s := &Report{Proxy: "g", Now: time.Hour, ServersTried: 40}
	for i := range 400 {
		s.Observations = append(s.Observations, Observation{Server: fmt.Sprintf("i-%08x", i%40), Kind: Kind(i % 2), Group: uint8(i % 16), Bin: binOf(s.Now), Counts: Counts{Confirmed: 3}})
	}
	s.Sample(MaxDeltaObservations)
	assert.Assert(t, len(s.Pack()) <= 500, "%d bytes", len(s.Pack()))
}

// Each region of a service has its own limit, and closed servers count neither as excluded nor as capacity.
func TestBoundByRegion(t *testing.T) {
	servers := []Server{{ID: "a", Service: "loans", Region: "n"}, {ID: "b", Service: "loans", Region: "n"}, {ID: "e", Service: "loans", Region: "n"}, {ID: "c", Service: "loans", Region: "s"},
		{ID: "d", Service: "loans", Region: "n", Closed: true}}
	list := LimitExcluded(servers, []Verdict{{Server: "a", Level: UnfitAtMostOnce}, {Server: "c", Level: UnfitAtMostOnce}, {Server: "d", Level: UnfitAll}})
	assert.Equal(t, list[0].Level, UnfitAtMostOnce)
	assert.Equal(t, list[1].Level, Doubtful)
	assert.Equal(t, list[2].Level, UnfitAll)
}
