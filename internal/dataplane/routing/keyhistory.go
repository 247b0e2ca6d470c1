package routing

import (
	"time"

	"pepperfall.example/pepperfall/policy"
)

// KeyHistory remembers the strictest effect with which each Idempotency-Key was
// sent. When a client retries under another route book, the stricter of the two
// effects applies for as long as a server may still remember the key. The
// history is bounded: when it is full, the oldest key is dropped. It is not safe
// for concurrent use.
type KeyHistory struct {
	maxKeys        int
	keys           map[string]*keyEntry
	insertionOrder []string // keys in order of insertion; used as a ring buffer once it is full
	oldest         int
}

type keyEntry struct {
	effect policy.Effect
	class  string
	until  time.Duration
}

// NewKeyHistory returns a history of at most the given number of keys, at least 1.
func NewKeyHistory(maxKeys int) *KeyHistory {
	return &KeyHistory{maxKeys: max(1, maxKeys), keys: map[string]*keyEntry{}}
}

// Update records an attempt and returns the effect that applies to it. A request
// that is safe to repeat adds no entry, but an existing entry applies to it.
func (c *KeyHistory) Update(now time.Duration, request *ResolvedRequest) policy.Effect {
	if request.IdempotencyKey == "" {
		return request.Effect
	}
	name := request.Number + " " + request.IdempotencyKey
	entry := c.keys[name]
	effect := request.Effect
	if entry != nil && now < entry.until {
		effect = max(effect, entry.effect)
		if effect == policy.Keyed && entry.class != request.Class.Name {
			effect = policy.Unsafe // another class may use other servers and another deduplication window
		}
	}
	if effect == policy.Safe {
		return effect
	}
	until := now + request.Deadline + request.Class.DedupWindow
	if entry != nil {
		if now < entry.until {
			until = max(until, entry.until)
		}
		entry.effect, entry.class, entry.until = effect, request.Class.Name, until
		return effect
	}
	c.keys[name] = &keyEntry{effect, request.Class.Name, until}
	if len(c.insertionOrder) < c.maxKeys {
		c.insertionOrder = append(c.insertionOrder, name)
		return effect
	}
	delete(c.keys, c.insertionOrder[c.oldest])
	c.insertionOrder[c.oldest] = name
	c.oldest = (c.oldest + 1) % c.maxKeys
	return effect
}

// Len returns the number of remembered keys.
func (c *KeyHistory) Len() int { return len(c.keys) }
