package policy

// Trust in servers, based on what all gateways observed; a TrustUpdate event brings it.

// allowedByTrust reports whether a server's trust level allows a request, at least as a trial.
func (s *server) allowedByTrust(r *request) bool {
	level := s.trust.Level
	return level <= Suspect || level == SafeOnly && r.effect == Safe || s.mayTakeTrial(r)
}

// mayTakeTrial reports whether a request's first attempt may be a server's trial: one that gets only trials
// is tested with requests that may run again, one for safe requests only with those that must not.
func (s *server) mayTakeTrial(r *request) bool {
	return s.trust.Trial && r.attempts == 0 && (r.effect == Safe) == (s.trust.Level == TrialsOnly)
}
