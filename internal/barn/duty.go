package barn

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank is a barn's place, from 0, among those alive for a duty: each has a
// weight drawn from the names, and the highest does it.
func Rank(duty, self string, alive []string) (rank int) {
	mine := weight(duty, self)
	for _, name := range alive {
		if w := weight(duty, name); name != self && (w > mine || w == mine && name < self) {
			rank++
		}
	}
	return rank
}

func weight(duty, name string) uint64 { return xxhash.Sum64String(duty + "\x00" + name) }

// Times of the list's duty.
const (
	leastPeriod = 500 * time.Millisecond
	pagePeriod  = 200 * time.Millisecond // for each page: a long list is dear to read, and a change shows 800 ms late in it
	listWithin  = time.Second            // of one call
	listAgain   = 200 * time.Millisecond
	listLate    = 700 * time.Millisecond
	rateShare   = 8 // part of the allowed rate that one caller takes at most
)

// Period is the time between two readings of a list of so many pages.
func Period(pages int, perS float64) time.Duration {
	if perS <= 0 {
		return leastPeriod
	}
	return max(leastPeriod, time.Duration(pages)*pagePeriod, time.Duration(float64(max(pages, 1))*rateShare/perS*float64(time.Second)))
}

// Due is when a barn of a rank reads the list, having begun to read it itself
// at asked and heard of a reading at heard.
func Due(rank int, period time.Duration, asked, heard time.Duration) time.Duration {
	if rank == 0 {
		return asked + period
	}
	return max(asked+period, heard+period+time.Duration(rank)*leastPeriod+listLate)
}
