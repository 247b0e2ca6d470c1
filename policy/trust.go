package policy

// Trust in servers, based on what all gateways observed; a TrustUpdate event brings it.

// allowedByTrust tells whether a request may go to a server, if only as a trial.
func (s *server) allowedByTrust(r *request) bool {
	l := s.trust.Level
	return l <= Suspect || l == SafeOnly && r.effect == Safe || s.mayTakeTrial(r)
}

// mayTakeTrial tells whether a request may go to a server as a trial: the first attempt of one that shows what is
// to be shown next. Of a server that is trusted with nothing these are requests that may run again, at first.
func (s *server) mayTakeTrial(r *request) bool {
	return s.trust.Trial && r.attempts == 0 && (r.effect == Safe) == (s.trust.Level == TrialsOnly)
}
