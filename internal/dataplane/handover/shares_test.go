package handover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shareModel is the state of three proxies and of control, which decides how many parts the quotas are divided into. The
// first proxy leaves, crashes and restarts. Control's message reaches each other proxy at any time or never, and the first
// proxy learns at any later time that it did.
type shareModel struct {
	fault        string
	stage        byte // of the first proxy: 's'erving, 'y'ielded, 'g'one, 'd'ead, 'b'ack without the current configuration, 'j'oined
	shareCount   int  // number of parts that control has decided
	hasRejoined  bool // the first proxy has joined again
	saidReleased bool // the first proxy has reported that it released its part
	knownCounts  [2]int
	knowsJoin    [2]bool // the first proxy knows that the other one knows of the join
	firstPart    int     // of the first proxy, in sixths
}

func (f shareModel) joinerPart() int {
	silent := 0
	for i := range f.knowsJoin {
		if !f.knowsJoin[i] {
			silent++
		}
	}
	unused := 0.0
	if f.hasRejoined && f.fault != "joiner takes all" {
		unused = UnusedShare(f.shareCount, 1, silent)
	}
	return int(6*(1-unused)/float64(f.shareCount) + 1e-9)
}

func (f shareModel) next() (all []shareModel) {
	add := func(do func(c *shareModel)) {
		c := f
		do(&c)
		all = append(all, c)
	}
	switch f.stage {
	case 's':
		add(func(c *shareModel) {
			c.stage = 'y'
			if f.fault != "keeps using its share" {
				c.firstPart = 0
			}
		})
		add(func(c *shareModel) { c.stage, c.firstPart = 'd', 0 })
		if f.fault == "reported before the stop" {
			add(func(c *shareModel) { c.saidReleased, c.shareCount = true, 2 })
		}
	case 'y':
		add(func(c *shareModel) { c.saidReleased, c.shareCount = true, 2 })
		add(func(c *shareModel) { c.stage, c.firstPart = 'g', 0 })
	case 'g', 'd':
		add(func(c *shareModel) { c.saidReleased, c.shareCount = true, 2 }) // its time limit has passed
		add(func(c *shareModel) {                                           // it has restarted, and control knows
			c.stage, c.hasRejoined, c.knowsJoin = 'b', c.shareCount == 2, [2]bool{}
			c.shareCount, c.saidReleased = 3, false
		})
	case 'b', 'j':
		add(func(c *shareModel) { c.stage, c.firstPart = 'j', c.joinerPart() })
		if f.fault == "ready without a configuration" && f.stage == 'b' {
			add(func(c *shareModel) { c.stage, c.firstPart = 'j', 6 })
		}
	}
	for i := range f.knownCounts {
		add(func(c *shareModel) { c.knownCounts[i] = c.shareCount })
		if f.knownCounts[i] == f.shareCount || f.fault == "known before the message" {
			add(func(c *shareModel) { c.knowsJoin[i] = true })
		}
	}
	return all
}

func exploreShares(fault string) (states int, violation string) {
	first := shareModel{fault: fault, stage: 's', shareCount: 3, knownCounts: [2]int{3, 3}, firstPart: 2}
	seen := map[shareModel]bool{first: true}
	for queue := []shareModel{first}; len(queue) > 0; queue = queue[1:] {
		f := queue[0]
		if sum := f.firstPart + 6/f.knownCounts[0] + 6/f.knownCounts[1]; sum > 6 {
			return len(seen), fmt.Sprintf("%d of 6 parts in stage %c", sum, f.stage)
		}
		for _, n := range f.next() {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

func TestSharesNeverExceedTheTotal(t *testing.T) {
	states, violation := exploreShares("")
	assert.Equal(t, violation, "")
	t.Logf("%d states, parts never above the total", states)
	for _, fault := range []string{"keeps using its share", "reported before the stop", "joiner takes all", "ready without a configuration", "known before the message"} {
		states, violation := exploreShares(fault)
		assert.Assert(t, violation != "", fault)
		t.Logf("%s: %s, after %d states", fault, violation, states)
	}
}

// A leave goes through its stages in order and ends within the grace period, whatever is acknowledged.
func TestLeaveEndsWithinGrace(t *testing.T) {
	const grace = 6 * time.Second
	for _, open := range []int{0, 3} {
		for _, quiet := range []time.Duration{0, time.Second} {
			for _, handed := range []bool{false, true} {
				l, last := Leave{Grace: grace}, Unadvertised
				past := time.Duration(0)
				for ; l.Stage() != Ended; past += 10 * time.Millisecond {
					if s, isNew := l.Step(past, LeaveInputs{open, quiet, handed}); isNew {
						assert.Assert(t, s == last+1 || s >= Finalizing)
						assert.Assert(t, s != NotAccepting || past >= grace/2)
						last = s
					}
				}
				assert.Assert(t, past <= grace*15/16+20*time.Millisecond, "open %d, quiet %v, handed %v: %v", open, quiet, handed, past)
				if open == 0 && quiet > 0 && handed {
					assert.Assert(t, past < grace/2+100*time.Millisecond)
				}
			}
		}
	}
}

// The parts of joiners, of silent proxies (which still divide by the smaller number) and of all others add up to at most 1.
func TestJoinersUseNoShareOfSilentProxies(t *testing.T) {
	for shares := 1; shares <= 40; shares++ {
		for joined := 0; joined <= shares; joined++ {
			for silent := 0; silent <= shares-joined; silent++ {
				n, old := float64(shares), float64(shares-joined)
				sum := (old-float64(silent))/n + float64(joined)*(1-UnusedShare(shares, joined, silent))/n
				if silent > 0 {
					sum += float64(silent) / old
				}
				assert.Assert(t, sum < 1+1e-9, "%d shares, %d joined, %d silent: %v", shares, joined, silent, sum)
			}
		}
	}
}

// While it is unknown which proxies know of the join, all joiners together use at most maxInitialExcess of a second's units.
func TestInitialSharesAreLimited(t *testing.T) {
	for shares := 1; shares <= 100; shares++ {
		for joined := 1; joined <= shares; joined++ {
			sum := float64(joined) * InitialShare(shares, joined) / float64(shares)
			assert.Assert(t, sum <= maxInitialExcess+1e-9, "%d of %d: %v", joined, shares, sum)
		}
	}
	assert.Equal(t, InitialShare(12, 1), 1.0)
}

// A growing part of the places has the joiner in its answers, and a place that has it once keeps it.
func TestAdvertisedPlacesGrow(t *testing.T) {
	for tenth := range 11 {
		n, age := 0, RampStart+(RampEnd-RampStart)*time.Duration(tenth)/10
		for i := range 1000 {
			place := fmt.Sprint("zone ", i)
			if is := IsAdvertised("edge-1", place, age); is {
				n++
				assert.Assert(t, IsAdvertised("edge-1", place, age+RampEnd/10))
			}
		}
		assert.Assert(t, n > 100*tenth-50 && n < 100*tenth+50, "%d at %v", n, age)
	}
	assert.Assert(t, CanOmitJoiners(1, 4) && CanOmitJoiners(1, 1) && !CanOmitJoiners(3, 0) && !CanOmitJoiners(3, 2))
}

func TestDecodeRejectsIncompleteMessages(t *testing.T) {
	m := &Message{Kind: Offer, From: 1, To: 2, Number: 3}
	for i := range MaxShares {
		m.Shares = append(m.Shares, Share{uint64(i), 7})
	}
	b := m.Encode()
	assert.Assert(t, len(b) <= 256)
	assert.DeepEqual(t, Decode(b), m)
	for n := range b {
		if got := Decode(b[:n]); got != nil {
			assert.Assert(t, len(got.Shares) < len(m.Shares) && (n-22)%10 == 0)
		}
	}
	b[0]++
	assert.Assert(t, Decode(b) == nil)
}
