package peerlink

import "time"

// Usual is the time between two Pings of a sender that does not announce another one.
const Usual = 250 * time.Millisecond

// Patience returns for how long a sender that pings at this interval counts as alive without a message.
func Patience(every time.Duration) time.Duration {
	if every <= 0 {
		every = Usual
	}
	return every * 16 / 5
}

// Suits returns the read timeout of a connection whose other side pings at this interval.
func Suits(every time.Duration) time.Duration { return max(Silence, Patience(every)) }
