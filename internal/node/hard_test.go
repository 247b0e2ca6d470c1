package node

import (
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/standin"
)

const slowLoan = 150 * time.Millisecond

// work is the core time of a request: one whose id says so is slow.
func work(r *standin.Request) time.Duration {
	if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") {
		return slowLoan
	}
	return 3 * time.Millisecond
}
