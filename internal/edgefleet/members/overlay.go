package members

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	rings     = 3 // each instance has the ones before and after it in each as neighbours
	wholeMesh = 7 // up to so many all are neighbours
)

func hash(seed uint64, n Name) uint64 {
	var b [10]byte
	binary.BigEndian.PutUint64(b[:], seed)
	binary.BigEndian.PutUint16(b[8:], uint16(n))
	return xxhash.Sum64(b[:])
}

// overlay tells who watches whom. It follows from the names alone, so all with one view agree on it.
type overlay struct {
	names []Name // sorted
	ring  [rings][]Name
	at    [rings]map[Name]int
	found map[Name][]Name // by neighbours
}

func newOverlay(names []Name) *overlay {
	o := &overlay{names: names, found: map[Name][]Name{}}
	if len(names) <= wholeMesh {
		return o
	}
	for k := range o.ring {
		o.ring[k] = slices.Clone(names)
		slices.SortFunc(o.ring[k], func(a, b Name) int {
			return cmp.Or(cmp.Compare(hash(uint64(k), a), hash(uint64(k), b)), cmp.Compare(a, b))
		})
		o.at[k] = make(map[Name]int, len(names))
		for i, n := range o.ring[k] {
			o.at[k][n] = i
		}
	}
	return o
}

// neighbours are those who watch an instance, which watches them, sorted. Nil for a stranger.
func (o *overlay) neighbours(n Name) []Name {
	list, ok := o.found[n]
	if !ok {
		list = o.find(n)
		o.found[n] = list
	}
	return list
}

func (o *overlay) find(n Name) []Name {
	if _, ok := slices.BinarySearch(o.names, n); !ok {
		return nil
	}
	if len(o.names) <= wholeMesh {
		return slices.DeleteFunc(slices.Clone(o.names), func(m Name) bool { return m == n })
	}
	list := make([]Name, 0, 2*rings)
	for k, r := range o.ring {
		i := o.at[k][n]
		for _, m := range []Name{r[(i+len(r)-1)%len(r)], r[(i+1)%len(r)]} {
			if m != n && !slices.Contains(list, m) {
				list = append(list, m)
			}
		}
	}
	slices.Sort(list)
	return list
}

// owners are the k names that a key falls to, the first before the second, by rendezvous hashing:
// a name that goes moves only its own keys.
func owners(names []Name, key uint64, k int) []Name {
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b Name) int {
		return cmp.Or(cmp.Compare(hash(key, b), hash(key, a)), cmp.Compare(a, b))
	})
	return list[:min(max(k, 0), len(list))]
}
