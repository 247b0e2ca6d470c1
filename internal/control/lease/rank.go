package lease

import "github.com/cespare/xxhash/v2"

// Rank returns the position of self, from 0, among itself and all other named replicas. Each replica has a weight
// hashed from the name of the duty and its own name; the highest weight comes first.
func Rank(duty, self string, others []string) (rank int) {
	own := weight(duty, self)
	for _, name := range others {
		if w := weight(duty, name); name != self && (w > own || w == own && name < self) {
			rank++
		}
	}
	return rank
}

func weight(duty, name string) uint64 { return xxhash.Sum64String(duty + "\x00" + name) }
