package policy

import "fmt"

// validate returns an error that names the first invalid setting, or nil.
func (s *Settings) validate() error {
	var err error
	require := func(ok bool, key string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("policy: setting "+key, args...)
		}
	}
	require(s.Resolution > 0, "Resolution: not above 0")
	require(s.Gateways >= 1, "Gateways: below 1")
	require(s.Me >= 0 && s.Me < max(s.Gateways, 1), "Me: outside 0 to Gateways-1")
	require(s.MessagesPerSecond >= 0, "MessagesPerSecond: negative")
	require(len(s.Plans) > 0 || s.MultiService != nil, "Plans: none")
	require(len(s.Classes) > 0 || s.MultiService != nil, "Classes: none")
	for i, p := range s.Plans {
		require(p.Name != "", "Plans[%d].Name: empty", i)
		require(p.Rate >= 0, "Plans[%d].Rate: negative", i)
		require(p.Burst >= 0, "Plans[%d].Burst: negative", i)
		require(p.MaxInFlight >= 0, "Plans[%d].MaxInFlight: negative", i)
		require(p.HardRate >= 0, "Plans[%d].HardRate: negative", i)
		require(p.HardBurst >= 0, "Plans[%d].HardBurst: negative", i)
	}
	for i, c := range s.Classes {
		require(c.Name != "", "Classes[%d].Name: empty", i)
		require(c.LatencyTarget > 0, "Classes[%d].LatencyTarget: not above 0", i)
		require(c.Deadline > 0, "Classes[%d].Deadline: not above 0", i)
	}
	return err
}
