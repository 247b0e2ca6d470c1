package routing

import (
	"time"

	"pepperfall.example/pepperfall/policy"
)

// KeyHistory remembers how careful the tries of each Idempotency-Key were, so that
// a client's further try under another book is held to the more careful of the
// two, as long as a rack may still know the key. It is bounded: the oldest key
// gives way. It is not safe for use by several goroutines.
type KeyHistory struct {
	maxKeys        int
	keys           map[string]*keyEntry
	insertionOrder []string // in the order in which keys came; as long as most once full
	oldest         int
}

type keyEntry struct {
	effect policy.Effect
	class  string
	until  time.Duration
}

// NewKeyHistory remembers so many keys.
func NewKeyHistory(most int) *KeyHistory {
	return &KeyHistory{maxKeys: max(1, most), keys: map[string]*keyEntry{}}
}

// Update takes in a try and returns how careful it has to be. What repeats safely
// without end leaves no trace, but is held to one.
func (c *KeyHistory) Update(now time.Duration, k *ResolvedRequest) policy.Effect {
	if k.IdempotencyKey == "" {
		return k.Effect
	}
	name := k.Number + " " + k.IdempotencyKey
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
	c.keys[name] = &keyEntry{effect, k.Class.Name, until}
	if len(c.insertionOrder) < c.maxKeys {
		c.insertionOrder = append(c.insertionOrder, name)
		return effect
	}
	delete(c.keys, c.insertionOrder[c.oldest])
	c.insertionOrder[c.oldest] = name
	c.oldest = (c.oldest + 1) % c.maxKeys
	return effect
}

// Len returns how many keys are remembered.
func (c *KeyHistory) Len() int { return len(c.keys) }
