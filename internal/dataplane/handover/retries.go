package handover

import "math"

// RetryShare returns how many retries for a service a proxy may accumulate, out of a total for all proxies. The proxies
// divide the total evenly if each gets at least one retry, as less than one is of no use. Otherwise floor(total) proxies get
// at least one each and the others none: those whose numbers come first, counted from an offset that depends on the
// service. So the shares of all proxies add up to at most the total, however many proxies there are. Parameter shares is
// the number of parts that the total is divided into, numbers how many proxy numbers are possible, and me the number of
// this proxy.
func RetryShare(total float64, shares, numbers, me int, service string) float64 {
	if each := total / float64(max(1, shares)); each >= 1 {
		return each
	}
	holders := math.Floor(total)
	if holders < 1 {
		return 0
	}
	if numbers = max(numbers, me+1, 1); (me+int(mixedHash(service)%uint64(numbers)))%numbers >= int(holders) {
		return 0
	}
	return total / holders
}
