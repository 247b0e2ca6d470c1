package serverhealth

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Level is the restriction on a server's use. A higher level is stricter.
type Level uint8

// The levels.
const (
	Fit             Level = iota
	Doubtful              // at-most-once requests prefer other servers
	UnfitAtMostOnce       // no at-most-once requests, except trials
	UnfitAll              // no requests, except trials
)

func (l Level) String() string {
	return [...]string{"fit", "doubtful", "unfit for recording", "unfit for all"}[min(l, UnfitAll)]
}

// Serves reports whether a server at this level gets requests of the kind, apart from trials.
func (l Level) Serves(k Kind) bool {
	return l < UnfitAtMostOnce || l == UnfitAtMostOnce && k == Repeatable
}

// Verdict is the health verdict on one incarnation of a server.
type Verdict struct {
	Server   string
	Service  string
	Level    Level
	Why      string
	Age      time.Duration // time since the level began
	Share    float64       // share of outcomes against the server when the level began, 0 to 1
	Number   int           // outcomes that were combined
	For      int           // proxies whose evidence was for the server
	Against  int
	Relapses int
	Trial    bool // a few trial requests may be sent to the server: see TrialProxies
	Round    uint32
}

// Verdicts are the verdicts of one replica, sorted by Server. Fit servers without relapses are left out.
type Verdicts struct {
	By    string
	Stamp int64 // Unix time in nanoseconds; among one replica's verdicts the highest is current
	Part  bool  // verdicts in neither List nor Gone are unchanged since the last message on this connection
	List  []Verdict
	Gone  []string // with Part: servers that no longer have a verdict
}

// Ages of verdicts that are not renewed.
const (
	StaleAfter   = 10 * time.Second // past this age a level counts as Doubtful at most
	ExpiredAfter = time.Minute      // past this age a verdict is ignored
)

// Aged returns the level that a proxy applies when it has received no verdicts for the time silent. After ExpiredAfter the
// proxy uses only its own outcomes.
func (l Level) Aged(silent time.Duration) Level {
	switch {
	case silent > ExpiredAfter:
		return Fit
	case silent > StaleAfter && l > Doubtful:
		return Doubtful
	}
	return l
}

// differs reports whether y has to be sent to a receiver that has v. Changes of age or counts alone are not sent.
func (v Verdict) differs(y Verdict) bool {
	v.Age, y.Age = 0, 0
	v.Number, y.Number, v.For, y.For, v.Against, y.Against = 0, 0, 0, 0, 0, 0
	return v != y
}

// DiffFrom returns what a receiver of old needs to be up to date, or nil if nothing has changed.
func (s *Verdicts) DiffFrom(old *Verdicts) *Verdicts {
	if old == nil || old.By != s.By {
		return s
	}
	p := &Verdicts{By: s.By, Stamp: s.Stamp, Part: true}
	previous := index(old.List)
	for _, v := range s.List {
		if o, ok := previous[v.Server]; !ok || o.differs(v) {
			p.List = append(p.List, v)
		}
		delete(previous, v.Server)
	}
	for id := range previous {
		p.Gone = append(p.Gone, id)
	}
	slices.Sort(p.Gone)
	if p.List == nil && p.Gone == nil {
		return nil
	}
	return p
}

// ApplyTo returns the complete verdicts after s is applied to old. It returns old if s is not newer, and nil if s is partial
// and old is nil or from another replica.
func (s *Verdicts) ApplyTo(old *Verdicts) *Verdicts {
	if old != nil && old.By == s.By && old.Stamp >= s.Stamp {
		return old
	}
	if !s.Part {
		return s
	}
	if old == nil || old.By != s.By {
		return nil
	}
	all := index(old.List)
	for _, id := range s.Gone {
		delete(all, id)
	}
	for _, v := range s.List {
		all[v.Server] = v
	}
	return &Verdicts{By: s.By, Stamp: s.Stamp, List: sorted(all)}
}

func index(list []Verdict) map[string]Verdict {
	m := make(map[string]Verdict, len(list))
	for _, v := range list {
		m[v.Server] = v
	}
	return m
}

func sorted(m map[string]Verdict) []Verdict {
	var list []Verdict
	for _, v := range m {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Verdict) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Server is an entry of the server list.
type Server struct {
	ID       string
	Service  string
	Region   string // requests may be bound to a region, so LimitExcluded works by region of a service
	Capacity int
	Closed   bool // it or its zone is draining: counted neither as excluded nor as capacity
}

// Maximum shares of a service's capacity in a region that may be excluded at once.
const (
	maxExcludedAtMostOnce = 1. / 2
	maxExcludedAll        = 1. / 3
)

// whyLeastBad is the reason given for a server that stays in use only because of LimitExcluded.
const whyLeastBad = "enough of its service is out: the least bad serve"

// MergeVerdicts merges the verdicts of several replicas into one list. Where they differ, the stricter one applies, within
// the limits of LimitExcluded.
func MergeVerdicts(servers []Server, lists ...[]Verdict) []Verdict {
	all := map[string]Verdict{}
	for _, list := range lists {
		for _, v := range list {
			o, ok := all[v.Server]
			if !ok || cmp.Or(cmp.Compare(v.Level, o.Level), cmp.Compare(v.Share, o.Share), cmp.Compare(v.Relapses, o.Relapses), strings.Compare(v.Why, o.Why)) > 0 {
				all[v.Server] = v
			}
		}
	}
	return LimitExcluded(servers, sorted(all))
}

// LimitExcluded limits the share of a service's capacity in a region that is excluded. Beyond the limit, the servers with
// the least evidence against them stay in use. It modifies and returns the given list.
func LimitExcluded(servers []Server, list []Verdict) []Verdict {
	type serviceRegion struct{ service, region string }
	capacity, regionOf, total := map[string]int{}, map[string]serviceRegion{}, map[serviceRegion]int{}
	for _, s := range servers {
		if !s.Closed {
			capacity[s.ID], regionOf[s.ID] = max(1, s.Capacity), serviceRegion{s.Service, s.Region}
			total[regionOf[s.ID]] += capacity[s.ID]
		}
	}
	worst := make([]*Verdict, 0, len(list))
	for i := range list {
		if capacity[list[i].Server] > 0 && list[i].Level >= UnfitAtMostOnce {
			worst = append(worst, &list[i])
		}
	}
	slices.SortFunc(worst, func(a, b *Verdict) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(b.Share, a.Share), cmp.Compare(b.Age, a.Age), strings.Compare(a.Server, b.Server))
	})
	outRecord, outAll := map[serviceRegion]int{}, map[serviceRegion]int{}
	for _, v := range worst {
		n, in := capacity[v.Server], regionOf[v.Server]
		all := float64(total[in])
		if v.Level == UnfitAll && float64(outAll[in]+n) > all*maxExcludedAll {
			v.Level = UnfitAtMostOnce
		}
		if float64(outRecord[in]+n) > all*maxExcludedAtMostOnce {
			v.Level, v.Why = Doubtful, whyLeastBad
			continue
		}
		outRecord[in] += n
		if v.Level == UnfitAll {
			outAll[in] += n
		}
	}
	return list
}
