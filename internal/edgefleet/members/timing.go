package members

import (
	"fmt"
	"time"
)

// Timing is how often an instance sends heartbeats and how fast it judges. All of a fleet must have the same.
type Timing struct {
	Heartbeat     time.Duration // between two heartbeats of an instance, to one neighbour after the other
	MostPerSecond float64       // messages that an instance sends, of all kinds
	Burst         float64       // so many of them at once
	Answer        time.Duration // an answer that was asked for is waited for so long
	SuspectAfter  time.Duration // silence to all before an instance is suspected
	SuspectLevel  float64       // and the suspicion, summed over its neighbours: minus the logarithm of a chance
	DeadAfter     time.Duration // silence to all before it is dead or unreachable: a shorter pause never makes it so
	DeadLevel     float64
	Batch         time.Duration // changes are gathered so long before the view changes
	BatchMost     time.Duration // and while more is to be expected, so long at most
	SleptLeast    time.Duration // a step that comes so late is a pause of this instance
	Tombstone     time.Duration // the dead and those who left are remembered so long
}

// DefaultTiming suits 2 to some hundreds of instances: at most 5 messages a
// second each, and out of the view after 3 s.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 300 * time.Millisecond, MostPerSecond: 5, Burst: 8, Answer: 300 * time.Millisecond,
		SuspectAfter: time.Second, SuspectLevel: 4, DeadAfter: 3 * time.Second, DeadLevel: 7,
		Batch: 100 * time.Millisecond, BatchMost: 3 * time.Second, SleptLeast: 250 * time.Millisecond,
		Tombstone: 10 * time.Minute}
}

// Check tells what no fleet could work with.
func (t Timing) Check() error {
	for _, d := range []struct {
		name string
		d    time.Duration
	}{{"beat", t.Heartbeat}, {"answer", t.Answer}, {"suspect_after", t.SuspectAfter}, {"dead_after", t.DeadAfter},
		{"batch", t.Batch}, {"batch_most", t.BatchMost}, {"slept_least", t.SleptLeast}, {"tombstone", t.Tombstone}} {
		if d.d <= 0 {
			return fmt.Errorf("members: %s: %v is not above 0", d.name, d.d)
		}
	}
	switch least := time.Duration(float64(time.Second) / max(t.MostPerSecond, 0.01)); {
	case t.Heartbeat < least:
		return fmt.Errorf("members: beat: one in %v is more than %v messages a second allow", t.Heartbeat, t.MostPerSecond)
	case t.Burst < 1:
		return fmt.Errorf("members: burst: %v is below 1", t.Burst)
	case t.DeadAfter < t.SuspectAfter+t.Answer:
		return fmt.Errorf("members: dead_after: %v leaves one suspected after %v no time to answer", t.DeadAfter, t.SuspectAfter)
	case t.DeadLevel < t.SuspectLevel || t.SuspectLevel <= 0:
		return fmt.Errorf("members: levels %v and %v: the first above 0, the second not below it", t.SuspectLevel, t.DeadLevel)
	case t.BatchMost < t.Batch:
		return fmt.Errorf("members: batch_most: %v is below batch, %v", t.BatchMost, t.Batch)
	case t.Tombstone < 4*t.DeadAfter:
		return fmt.Errorf("members: tombstone: %v is below four times dead_after, %v", t.Tombstone, t.DeadAfter)
	}
	return nil
}
