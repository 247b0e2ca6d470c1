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
	MostReport = 16 << 10 // size of a packed report
	MostTold   = 24       // observations in a report of changes, ...
	MostWhole  = 256      // ... and in a complete report
	mostText   = 256      // of the name of a proxy, zone or server
)

const packVersion = 1

// Sample reduces the observations to the given number. The choice depends on server, group and bin, never on outcomes, so
// the remaining evidence is an unbiased sample. Observations of at-most-once requests are preferred to those of repeatable
// requests, which are far more frequent.
func (s *Report) Thin(limit int) {
	if len(s.Observations) <= limit {
		return
	}
	rank := func(e *Observation) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(s.Witness + "\x00" + e.Server))
		_, _ = h.Write(binary.AppendVarint([]byte{e.Group}, int64(e.Bin)))
		v := h.Sum64()
		v = (v ^ v>>31) * 0x9e3779b97f4a7c15 // FNV hashes of similar inputs are close to each other
		if e.Kind == Record {
			v /= recordsBefore
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
const recordsBefore = 4

// HasFailures reports whether a report holds evidence against any server.
func (s *Report) Accuses() bool {
	return slices.ContainsFunc(s.Observations, func(e Observation) bool {
		bad, _ := e.Counts.weigh()
		return bad > 0
	})
}

// ForServers returns a copy of the report with only the observations of the selected servers. A report without observations
// still shows up to what time its proxy has reported.
func (s *Report) Part(mine func(server string) bool) *Report {
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
		if e.Ill {
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
	text(s.Witness)
	text(s.Zone)
	b = binary.AppendVarint(b, s.Life)
	for _, n := range []uint64{uint64(max(0, s.Now)), s.No, uint64(s.Tried), uint64(s.Fails), uint64(len(names))} {
		b = binary.AppendUvarint(b, n)
	}
	for _, n := range names {
		text(n)
	}
	return append(b, tail...)
}

var errPacked = errors.New("serverhealth: malformed report")

// unpacker decodes the output of Pack. After the first error, every read returns a zero value.
type unpacker struct {
	b   []byte
	bad bool
}

func (u *unpacker) number() uint64 { return variable(u, binary.Uvarint) }

func (u *unpacker) signed() int64 { return variable(u, binary.Varint) }

// readVarint reads a variable-length integer.
func variable[N uint64 | int64](u *unpacker, read func([]byte) (N, int)) N {
	v, n := read(u.b)
	if u.bad = u.bad || n <= 0; u.bad {
		return 0
	}
	u.b = u.b[n:]
	return v
}

// numberUpTo reads an integer; one above the limit is an error.
func (u *unpacker) below(limit uint64) int {
	v := u.number()
	if u.bad = u.bad || v > limit; u.bad {
		return 0
	}
	return int(v)
}

func (u *unpacker) octet() byte {
	if u.bad = u.bad || len(u.b) == 0; u.bad {
		return 0
	}
	c := u.b[0]
	u.b = u.b[1:]
	return c
}

func (u *unpacker) text() string {
	n := u.below(mostText)
	if u.bad = u.bad || n > len(u.b); u.bad {
		return ""
	}
	t := string(u.b[:n])
	u.b = u.b[n:]
	return t
}

// Unpack decodes a packed report. It returns an error for a malformed report and for one larger than MaxReportBytes.
func Unpack(b []byte) (*Report, error) {
	u := &unpacker{b: b}
	if len(b) > MostReport || u.octet() != packVersion {
		return nil, errPacked
	}
	s := &Report{Witness: u.text(), Zone: u.text(), Life: u.signed()}
	s.Now, s.No = time.Duration(u.below(1<<62)), u.number()
	s.Tried, s.Fails = u.below(1<<31), u.below(1<<31)
	var names []string
	for range u.below(MostReport) {
		if u.bad {
			return nil, errPacked
		}
		names = append(names, u.text())
	}
	name := func() string {
		if i := u.number(); i < uint64(len(names)) {
			return names[i]
		}
		u.bad = true
		return ""
	}
	for range u.below(MostFailing) {
		s.Failing = append(s.Failing, name())
	}
	for range u.below(MostReport) {
		e := Observation{Server: name()}
		flags := u.octet()
		e.Kind, e.Ill, e.Group = Kind(flags&1), flags&2 > 0, flags>>2%Groups
		e.Bin = binOf(s.Now) - int32(min(max(u.signed(), -mostAhead), 1<<30))
		for i, mask := 0, u.octet(); i < int(outcomes); i++ {
			if mask>>i&1 == 1 {
				e.Counts[i] = uint16(u.below(countLimit))
			}
		}
		if u.bad {
			return nil, errPacked
		}
		s.Observations = append(s.Observations, e)
	}
	if u.bad || len(u.b) > 0 {
		return nil, errPacked
	}
	return s, nil
}

const mostAhead = 1 << 20 // limit on the bins by which a decoded observation is later than its report; AddReport ignores such observations
