// Package policy decides, for one gateway (an edge proxy) of a shared API, which requests to admit, to which server
// to send them, whether to retry and what to refuse, so that all gateways together keep each customer's limits.
// It does no I/O: Gateway.Handle takes events and returns actions. The interface is in api.go and all tuning
// constants are in values.go. The decisions are in admit.go (admission), waitorder.go (the order in which held
// requests get servers), buckets.go (the customers' token buckets of units), borrow.go (borrowing units of a
// ceiling), choose.go (selection of servers), trust.go (which requests a server is trusted with), outcomes.go (what
// outcomes show of servers), retry.go (retries) and askroot.go (asking the root that sums a customer's counts). The
// other files hold the state and the encoding of the messages.
//
// Admission works as a distributed waiting room. Requests beyond a customer's cap on attempts in flight wait in
// arrival order. Gateways report to each other once per tick, add up the attempts in flight from these reports, and
// send held requests when a tick or the end of one of their own attempts shows free room. For the rate quota each
// gateway keeps an estimate of the customer's bucket of units and passes its share of it by demand.
//
// In a large fleet reports from each gateway to each other would be too many messages. Then a few gateways, the
// customer's roots, sum its counts, and the others ask a root before they send a request; a deputy replaces a root
// that does not answer. Likewise each server has a watcher, a gateway that collects the outcomes seen by all and
// tells them which servers to avoid.
package policy
