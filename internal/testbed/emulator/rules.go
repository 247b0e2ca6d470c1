package emulator

// Rule is one that the judge knows.
type Rule struct{ Name, Asks string }

// Rules are all of them.
var Rules = []Rule{
	{"MIXED", "an answer is the server's own to this request, and whole"},
	{"UNASKED", "servers get what a client sent, as it was sent"},
	{"TWICE", "a request that changes something runs once at most"},
	{"REFUSED", "what is refused has not run"},
	{"ROUTE", "requests run where a configuration sends them, with a key of a tenant"},
	{"CONFIG", "what is acknowledged comes into force in time, and nothing older returns"},
	{"DENIED", "proper requests are not turned away as faulty ones"},
	{"DRAIN", "servers that go get no more requests"},
	{"EVAC", "zones that are evacuated get none either"},
	{"LOST", "a proxy told to end loses no request, a replica's loss no order"},
	{"BUDGET", "further tries are a small part of all"},
	{"QUOTA", "a tenant gets no more than its rate, of all proxies together"},
	{"FAILBACK", "cold servers get little at first"},
	{"HOME", "bound requests stay in their regions"},
	{"RECOVER", "requests are served again after the closing fault"},
	{"FAULT", "no process ends by itself"},
}
