package policy

import "fmt"

// validate refuses settings that cannot be meant, and names the key.
func (s *Settings) validate() error {
	var err error
	require := func(ok bool, key string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("policy: setting "+key, args...)
		}
	}
	need(s.Resolution > 0, "Resolution: not above 0")
	need(s.Gateways >= 1, "Gateways: below 1")
	need(s.Me >= 0 && s.Me < max(s.Gateways, 1), "Me: outside 0 to Gateways-1")
	need(s.MessagesPerSecond >= 0, "MailPerSecond: negative")
	need(len(s.Plans) > 0 || s.MultiService != nil, "Plans: none")
	need(len(s.Classes) > 0 || s.MultiService != nil, "Classes: none")
	for i, p := range s.Plans {
		need(p.Name != "", "Plans[%d].Name: empty", i)
		need(p.Rate >= 0, "Plans[%d].Rate: negative", i)
		need(p.Burst >= 0, "Plans[%d].Burst: negative", i)
		need(p.MaxInFlight >= 0, "Plans[%d].Open: negative", i)
		need(p.HardRate >= 0, "Plans[%d].HardRate: negative", i)
		need(p.HardBurst >= 0, "Plans[%d].HardBurst: negative", i)
	}
	for i, c := range s.Classes {
		need(c.Name != "", "Classes[%d].Name: empty", i)
		need(c.LatencyTarget > 0, "Classes[%d].Aim: not above 0", i)
		need(c.Deadline > 0, "Classes[%d].Deadline: not above 0", i)
	}
	return err
}
