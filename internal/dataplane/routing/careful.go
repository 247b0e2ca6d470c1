package routing

import (
	"time"

	"pepperfall.example/pepperfall/policy"
)

// Careful remembers how careful the tries of each Idempotency-Key were, so that
// a client's further try under another book is held to the more careful of the
// two, as long as a rack may still know the key. It is bounded: the oldest key
// gives way. It is not safe for use by several goroutines.
type Careful struct {
	most int
	keys map[string]*trace
	ring []string // in the order in which keys came; as long as most once full
	next int
}

type trace struct {
	effect policy.Effect
	class  string
	until  time.Duration
}

// NewCareful remembers so many keys.
func NewCareful(most int) *Careful {
	return &Careful{most: max(1, most), keys: map[string]*trace{}}
}

// Hold takes in a try and returns how careful it has to be. What repeats safely
// without end leaves no trace, but is held to one.
func (c *Careful) Hold(now time.Duration, k *Ticket) policy.Effect {
	if k.Key == "" {
		return k.Effect
	}
	name := k.Number + " " + k.Key
	t := c.keys[name]
	effect := k.Effect
	if t != nil && now < t.until {
		effect = max(effect, t.effect)
		if effect == policy.Keyed && t.class != k.Class.Name {
			effect = policy.Unsafe // which servers know the key, and for how long, is another class's to say
		}
	}
	if effect == policy.Safe {
		return effect
	}
	until := now + k.Deadline + k.Class.DedupWindow
	if t != nil {
		if now < t.until {
			until = max(until, t.until)
		}
		t.effect, t.class, t.until = effect, k.Class.Name, until
		return effect
	}
	c.keys[name] = &trace{effect, k.Class.Name, until}
	if len(c.ring) < c.most {
		c.ring = append(c.ring, name)
		return effect
	}
	delete(c.keys, c.ring[c.next])
	c.ring[c.next] = name
	c.next = (c.next + 1) % c.most
	return effect
}

// Len returns how many keys are remembered.
func (c *Careful) Len() int { return len(c.keys) }
