package sim

// Host is a process on a machine of its own.
type Host struct{ *Process }

// Host starts a process on a machine, which has power.
func (n *Net) Host(ip string) *Host {
	m := n.Machine(ip)
	m.PowerOn()
	return &Host{m.Start()}
}

// End ends the process: its connections are reset, or its machine loses power
// without a word.
func (h *Host) End(told bool) {
	if told {
		h.Kill()
		return
	}
	h.m.PowerOff()
}
