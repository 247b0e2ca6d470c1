package node

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is how many requests a connection to a server carries before it is closed.
const maxCarriedIDs = 512

var idHashSeed = maphash.MakeSeed()

// carriedIDs remembers the ids of the requests that were sent on a connection, as hashes. Two ids with the same hash cost
// a connection and do no harm.
//
// An answer names its request by id alone, and a server may send it once more at any later time. A second request with the
// id, sent after a refusal for example, could then be taken for answered by that copy. So a connection carries each id once.
type carriedIDs []uint64

func (c *carriedIDs) add(id string) { *c = append(*c, maphash.String(idHashSeed, id)) }

func (c carriedIDs) contains(id string) bool {
	return slices.Contains(c, maphash.String(idHashSeed, id))
}

func (c carriedIDs) isFull() bool { return len(c) >= maxCarriedIDs }
