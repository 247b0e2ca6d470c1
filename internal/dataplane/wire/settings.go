package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// settingValues holds the settings of a CONFIGURE line by key, and the first
// error in a value. An absent key reads as 0, and unknown keys are ignored.
type settingValues struct {
	values map[string]string
	err    error
}

func (f *settingValues) num(key string) float64 {
	w, have := f.values[key]
	if !have {
		return 0
	}
	p := parser{fields: []string{w}}
	v := p.num()
	if p.err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: %v", key, p.err)
	}
	return v
}

func (f *settingValues) ms(key string) time.Duration { return duration(f.num(key)) }
func (f *settingValues) int(key string) int          { return int(f.num(key)) }
func (f *settingValues) bool(key string) bool        { return f.values[key] == "true" || f.values[key] == "1" }

var effects = map[string]policy.Effect{"repeatable": policy.Safe, "by_key": policy.Keyed,
	"once": policy.Unsafe}

var dedupScopes = map[string]policy.DedupScope{"": policy.DedupAll, "all": policy.DedupAll,
	"zone": policy.DedupZone, "cell": policy.DedupCell}

// parseSettings returns the settings that key=value pairs hold.
func parseSettings(pairs []string) (policy.Settings, error) {
	f := settingValues{values: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if p == "" {
			continue
		}
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("setting %q has no value", clip(p))
		}
		f.values[k] = v
	}
	s := policy.Settings{
		Me: f.int("me"), Gateways: f.int("balancers"), Zone: f.values["zone"],
		Resolution: f.ms("tick_ms"), MaxAttempts: f.int("caps.max_attempts"),
		CanCancel: f.bool("caps.cancel"), CanMessagePeers: f.bool("caps.peers"),
		MessagesPerSecond: f.num("family_info.mail_per_s"), MaxRequestUnits: f.num("family_info.largest"),
		MustWatch:     f.values["discovery"] == "ask",
		SizeKnown:     f.values["weight_kind"] == "nominal" || f.values["weight_kind"] == "rough",
		CrossZoneCost: f.num("charges.cross_zone"),
		AnswerGrace:   f.ms("rules.answer_slack_ms"), MinColdShare: f.num("rules.cold_share"),
		WarmupTime: f.ms("rules.warm_within_ms"), FailFactor: f.num("rules.fall_multiple"),
		FailTime: f.ms("rules.fall_ms"),
	}
	if f.bool("caps.retry_after") {
		s.MaxRetryAfter = f.ms("caps.max_retry_after_ms")
	}
	if names := f.values["report.names"]; names != "" {
		s.LoadReportNames = strings.Split(names, ",")
	}
	count := func(key string) int {
		n := f.int(key)
		if (n < 0 || n > 1000) && f.err == nil {
			f.err = fmt.Errorf("%s: %d", key, n)
			return 0
		}
		return n
	}
	for i := range count("classes.count") {
		k := "classes." + strconv.Itoa(i) + "."
		effect, known := effects[f.values[k+"semantics"]]
		group, grouped := dedupScopes[f.values[k+"group"]]
		if (!known || !grouped) && f.err == nil {
			f.err = fmt.Errorf("%ssemantics or %sgroup: unknown", k, k)
		}
		s.Classes = append(s.Classes, policy.Class{Name: f.values[k+"name"], LatencyTarget: f.ms(k + "aim_ms"),
			Deadline: f.ms(k + "hard_limit_ms"), Effect: effect, DedupScope: group,
			DedupWindow: f.ms(k + "window_ms"), Streaming: f.bool(k + "stream")})
	}
	for i := range count("plans.count") {
		k := "plans." + strconv.Itoa(i) + "."
		s.Plans = append(s.Plans, policy.Plan{Name: f.values[k+"name"], Rate: f.num(k + "rate"),
			Burst: f.num(k + "store_size"), MaxInFlight: f.int(k + "parallel"),
			OverQuotaEarnings: f.num(k + "beyond_earns"), OverQuotaCharge: f.num(k + "beyond_costs"),
			HardRate: f.num(k + "hard_rate"), HardBurst: f.num(k + "hard_burst")})
	}
	return s, f.err
}
