package handover

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// The retry shares of all proxies add up to at most the total, for any number of proxies. Each share that is not zero allows
// at least one retry, and most proxies have a share for some service.
func TestRetrySharesAddUpToTheTotal(t *testing.T) {
	sum := func(total float64, proxies, s int, served map[int]bool) {
		sum, parts, service := 0.0, 0, fmt.Sprint("service", s)
		for me := range proxies {
			part := RetryShare(total, proxies, proxies, me, service)
			if sum += part; part > 0 {
				parts, served[me] = parts+1, true
				assert.Assert(t, part >= 1, "%v", part)
			}
		}
		assert.Assert(t, sum < total+1e-6, "%d proxies, %v of %v", proxies, sum, total)
		assert.Equal(t, parts, min(proxies, int(math.Floor(total))), "%d proxies, %v", proxies, total)
	}
	totals := []float64{0, 0.7, 1, 5.6, 39.2, 116.2}
	for proxies := 1; proxies <= 1000; proxies++ {
		sum(totals[proxies%7%len(totals)], proxies, proxies, map[int]bool{})
	}
	for _, proxies := range []int{50, 300} {
		served := map[int]bool{}
		for s := range 40 {
			sum(39.2, proxies, s, served)
		}
		assert.Assert(t, len(served) > proxies*3/4, "%d of %d proxies have any", len(served), proxies)
	}
}
