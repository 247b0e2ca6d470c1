package handover

import "math"

// RetryShare returns how many retries for a service a proxy may save up, of a whole for all proxies. It is an even part if that
// is at least one, as less than one is of no use. Otherwise floor(whole) proxies have one and a fraction each and the others
// none: those whose numbers come first, counted from a start that differs by service. So the parts of all proxies sum up to
// no more than the whole, however many proxies there are. Shares is the number of parts that the proxies divide the whole
// into, numbers the number of numbers they may have, and me this proxy's number.
func RetryShare(whole float64, shares, numbers, me int, service string) float64 {
	if each := whole / float64(max(1, shares)); each >= 1 {
		return each
	}
	holders := math.Floor(whole)
	if holders < 1 {
		return 0
	}
	if numbers = max(numbers, me+1, 1); (me+int(mixedHash(service)%uint64(numbers)))%numbers >= int(holders) {
		return 0
	}
	return whole / holders
}
