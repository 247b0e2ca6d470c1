package standin

import (
	"encoding/json"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// Class is a class of requests in the platform's settings.
type Class struct {
	Name      string  `json:"name"`
	AimMS     float64 `json:"aim_ms"`
	LimitMS   float64 `json:"hard_limit_ms"`
	Semantics string  `json:"semantics"` // repeatable, by_key or once
	Group     string  `json:"group"`
	WindowMS  float64 `json:"window_ms"`
}

// Plan is a plan of quotas in the platform's settings.
type Plan struct {
	Name      string  `json:"name"`
	Rate      float64 `json:"rate"`
	Store     float64 `json:"store_size"`
	Parallel  int     `json:"parallel"`
	HardRate  float64 `json:"hard_rate"`
	HardBurst float64 `json:"hard_burst"`
	Tolerance float64 `json:"tolerance"`
}

// Settings are those parts of the platform's settings that the stand-ins use.
type Settings struct {
	Me        int            `json:"me"`
	Balancers int            `json:"balancers"`
	Zone      string         `json:"zone"`
	Zones     []string       `json:"zones"`
	TickMS    float64        `json:"tick_ms"`
	Discovery string         `json:"discovery"`
	Weight    string         `json:"weight_kind"`
	Caps      map[string]any `json:"caps"`
	Family    map[string]any `json:"family_info"`
	Report    map[string]any `json:"report"`
	Rules     map[string]any `json:"rules"`
	Classes   []Class        `json:"classes"`
	Plans     []Plan         `json:"plans"`
}

// SiteSettings are the settings of an installation with four plans, one of
// them under a hard ceiling little above its quota, and the two classes of a
// library's work. The municipal plan is large enough for its smallest part, one
// for each edge node, to hold two of the largest requests.
func SiteSettings(nodes int) Settings {
	burst := max(36, 4*float64(nodes))
	return Settings{
		Balancers: nodes, Zone: "a", Zones: []string{"a", "b"}, TickMS: 1, Discovery: "push", Weight: "nominal",
		Caps: map[string]any{"max_attempts": 3, "cancel": true, "peers": true, "retry_after": true,
			"max_retry_after_ms": 2000.0, "dial_timeout_ms": 250.0, "conn_idle_ms": 15000.0},
		Family: map[string]any{"largest": 2, "mail_per_s": 60.0},
		Report: map[string]any{"names": []string{"cpu", "rps"}, "via": "answers"},
		Rules: map[string]any{"answer_slack_ms": 16.0, "drain_grace_ms": 250.0, "cold_share": 0.21,
			"warm_within_ms": 17000.0, "fall_multiple": 2.0, "fall_ms": 1000.0},
		Classes: []Class{
			{Name: "holdings-lookup", AimMS: 400, LimitMS: 1000, Semantics: "repeatable", Group: "all", WindowMS: 5000},
			{Name: "loan-request", AimMS: 1000, LimitMS: 4000, Semantics: "by_key", Group: "cell", WindowMS: 2500},
		},
		Plans: []Plan{
			{Name: "scolar", Rate: 1.2, Store: 5},
			{Name: "orasenesc", Rate: 3.2, Store: 12},
			{Name: "municipal", Rate: 18, Store: burst, HardRate: 19, HardBurst: burst + 2, Tolerance: 4},
			{Name: "judetean", Rate: 25, Store: 60, Parallel: 20},
		},
	}
}

// JSON is the form in which an edge node's configuration holds them.
func (s Settings) JSON() []byte {
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err) // only plain values are in it
	}
	return b
}

// AuditRules are what an audit of the installation goes by. slack widens the limits
// in time for the machine that the run is on.
func (s Settings) AuditRules(slack time.Duration) audit.Rules {
	r := audit.Rules{Classes: map[string]audit.Class{}, Plans: map[string]audit.Plan{}, Slack: slack,
		AnswerSlack: 16 * time.Millisecond, DrainGrace: 250 * time.Millisecond, FallMultiple: 2, FallTime: time.Second,
		FallSlack: 50, Memory: time.Minute}
	effects := map[string]audit.Effect{"repeatable": audit.Safe, "by_key": audit.Keyed, "once": audit.Unsafe}
	for _, c := range s.Classes {
		r.Classes[c.Name] = audit.Class{Effect: effects[c.Semantics], Racked: c.Group != "all",
			Window: time.Duration(c.WindowMS * float64(time.Millisecond))}
	}
	for _, p := range s.Plans {
		r.Plans[p.Name] = audit.Plan{Rate: p.HardRate, Burst: p.HardBurst, Slack: p.Tolerance}
	}
	return r
}
