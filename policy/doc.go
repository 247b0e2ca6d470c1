// Package policy decides for a gateway that keeps customers' quotas on a shared API. Its interface is
// in api.go, all tuned values are in values.go, and the decisions are in admit.go (who is let in), line.go
// (in which order those who wait get servers), store.go (customers' units), wide.go (what is borrowed of
// them), choose.go (servers), judge.go (what outcomes tell), again.go (further tries) and mail.go (what
// gateways tell each other); the other files hold the state and the form of the messages.
//
// The mechanism is a distributed waiting room. Requests beyond a customer's cap on attempts out
// wait in arrival order; gateways report to each other once a tick, sum the attempts out from these
// reports, and release the free room at ticks and at their own outcomes. A rate companion keeps an
// estimate of each customer's store of units and lets a gateway pass its part of it.
package policy
