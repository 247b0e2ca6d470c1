package serverhealth

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Limits of reports.
const (
	MaxReportBytes       = 16 << 10 // size of a packed report
	MaxDeltaObservations = 24       // observations in a report of changes, ...
	MaxFullObservations  = 256      // ... and in a complete report
	maxNameBytes         = 256      // of the name of a proxy, zone or server
)

const packVersion = 1

// Sample reduces the observations to the given number. The choice depends on server, group and bin, never on outcomes, so
// the remaining evidence is an unbiased sample. Observations of at-most-once requests are preferred to those of repeatable
// requests, which are far more frequent.
func (s *Report) Sample(limit int) {
	if len(s.Observations) <= limit {
		return
	}
	rank := func(e *Observation) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(s.Proxy + "\x00" + e.Server))
		_, _ = h.Write(binary.AppendVarint([]byte{e.Group}, int64(e.Bin)))
		v := h.Sum64()
		v = (v ^ v>>31) * 0x9e3779b97f4a7c15 // FNV hashes of similar inputs are close to each other
		if e.Kind == AtMostOnce {
			v /= atMostOncePreference
		}
		return v
	}
	ranks := make(map[Observation]uint64, len(s.Observations))
	for i := range s.Observations {
		ranks[s.Observations[i]] = rank(&s.Observations[i])
	}
	kept := slices.Clone(s.Observations)
	slices.SortStableFunc(kept, func(a, b Observation) int {
		if x, y := ranks[a], ranks[b]; x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return 0
	})
	s.Observations = kept[:limit]
}

// atMostOncePreference is the factor by which observations of at-most-once requests are preferred to those of repeatable ones.
const atMostOncePreference = 4

// HasFailures reports whether a report holds evidence against any server.
func (s *Report) HasFailures() bool {
	return slices.ContainsFunc(s.Observations, func(e Observation) bool {
		bad, _ := e.Counts.weightedSums()
		return bad > 0
	})
}

// ForServers returns a copy of the report with only the observations of the selected servers. A report without observations
// still shows up to what time its proxy has reported.
func (s *Report) ForServers(mine func(server string) bool) *Report {
	p := *s
	p.Observations = nil
	for _, e := range s.Observations {
		if mine(e.Server) {
			p.Observations = append(p.Observations, e)
		}
	}
	return &p
}

// Pack encodes a report compactly; each server name is written once.
func (s *Report) Pack() []byte {
	var names []string
	at := map[string]int{}
	index := func(name string) uint64 {
		i, known := at[name]
		if !known {
			i = len(names)
			at[name] = i
			names = append(names, name)
		}
		return uint64(i)
	}
	var tail []byte
	tail = binary.AppendUvarint(tail, uint64(len(s.Failing)))
	for _, id := range s.Failing {
		tail = binary.AppendUvarint(tail, index(id))
	}
	tail = binary.AppendUvarint(tail, uint64(len(s.Observations)))
	for _, e := range s.Observations {
		tail = binary.AppendUvarint(tail, index(e.Server))
		flags := byte(e.Kind) | e.Group<<2
		if e.Unreliable {
			flags |= 2
		}
		tail = append(tail, flags)
		tail = binary.AppendVarint(tail, int64(binOf(s.Now)-e.Bin))
		mask, counts := byte(0), []byte(nil)
		for i, n := range e.Counts {
			if n > 0 {
				mask |= 1 << i
				counts = binary.AppendUvarint(counts, uint64(n))
			}
		}
		tail = append(append(tail, mask), counts...)
	}
	b := []byte{packVersion}
	text := func(t string) { b = append(binary.AppendUvarint(b, uint64(len(t))), t...) }
	text(s.Proxy)
	text(s.Zone)
	b = binary.AppendVarint(b, s.Incarnation)
	for _, n := range []uint64{uint64(max(0, s.Now)), s.Sequence, uint64(s.ServersTried), uint64(s.FailingCount), uint64(len(names))} {
		b = binary.AppendUvarint(b, n)
	}
	for _, n := range names {
		text(n)
	}
	return append(b, tail...)
}

var errMalformedReport = errors.New("serverhealth: malformed report")

// unpacker decodes the output of Pack. After the first error, every read returns a zero value.
type unpacker struct {
	data   []byte
	failed bool
}

func (u *unpacker) number() uint64 { return readVarint(u, binary.Uvarint) }

func (u *unpacker) signed() int64 { return readVarint(u, binary.Varint) }

// readVarint reads a variable-length integer.
func readVarint[N uint64 | int64](u *unpacker, read func([]byte) (N, int)) N {
	v, n := read(u.data)
	if u.failed = u.failed || n <= 0; u.failed {
		return 0
	}
	u.data = u.data[n:]
	return v
}

// numberUpTo reads an integer; one above the limit is an error.
func (u *unpacker) numberUpTo(limit uint64) int {
	v := u.number()
	if u.failed = u.failed || v > limit; u.failed {
		return 0
	}
	return int(v)
}

func (u *unpacker) octet() byte {
	if u.failed = u.failed || len(u.data) == 0; u.failed {
		return 0
	}
	c := u.data[0]
	u.data = u.data[1:]
	return c
}

func (u *unpacker) text() string {
	n := u.numberUpTo(maxNameBytes)
	if u.failed = u.failed || n > len(u.data); u.failed {
		return ""
	}
	t := string(u.data[:n])
	u.data = u.data[n:]
	return t
}

// Unpack decodes a packed report. It returns an error for a malformed report and for one larger than MaxReportBytes.
func Unpack(b []byte) (*Report, error) {
	u := &unpacker{data: b}
	if len(b) > MaxReportBytes || u.octet() != packVersion {
		return nil, errMalformedReport
	}
	s := &Report{Proxy: u.text(), Zone: u.text(), Incarnation: u.signed()}
	s.Now, s.Sequence = time.Duration(u.numberUpTo(1<<62)), u.number()
	s.ServersTried, s.FailingCount = u.numberUpTo(1<<31), u.numberUpTo(1<<31)
	var names []string
	for range u.numberUpTo(MaxReportBytes) {
		if u.failed {
			return nil, errMalformedReport
		}
		names = append(names, u.text())
	}
	name := func() string {
		if i := u.number(); i < uint64(len(names)) {
			return names[i]
		}
		u.failed = true
		return ""
	}
	for range u.numberUpTo(MaxFailing) {
		s.Failing = append(s.Failing, name())
	}
	for range u.numberUpTo(MaxReportBytes) {
		e := Observation{Server: name()}
		flags := u.octet()
		e.Kind, e.Unreliable, e.Group = Kind(flags&1), flags&2 > 0, flags>>2%Groups
		e.Bin = binOf(s.Now) - int32(min(max(u.signed(), -maxBinsAhead), 1<<30))
		for i, mask := 0, u.octet(); i < int(outcomeCount); i++ {
			if mask>>i&1 == 1 {
				e.Counts[i] = uint16(u.numberUpTo(maxCount))
			}
		}
		if u.failed {
			return nil, errMalformedReport
		}
		s.Observations = append(s.Observations, e)
	}
	if u.failed || len(u.data) > 0 {
		return nil, errMalformedReport
	}
	return s, nil
}

const maxBinsAhead = 1 << 20 // limit on the bins by which a decoded observation is later than its report; AddReport ignores such observations
