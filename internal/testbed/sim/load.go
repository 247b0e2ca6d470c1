package sim

// Load is what went over the network: pieces of connections and datagrams, and the bytes in them.
type Load struct{ Messages, Bytes int64 }

// carry counts what is sent; the mutex is held.
func (n *Net) carry(from, to string, bytes int) {
	if from == to {
		return
	}
	k := [2]string{from, to}
	l := n.carried[k]
	if l == nil {
		if n.carried == nil {
			n.carried = map[[2]string]*Load{}
		}
		l = &Load{}
		n.carried[k] = l
	}
	l.Messages++
	l.Bytes += int64(bytes)
}

// Carried sums what machines have sent to others so far, over the pairs of machines that are asked for. Loopback is
// not counted.
func (n *Net) Carried(is func(from, to string) bool) (sum Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, l := range n.carried {
		if is(k[0], k[1]) {
			sum.Messages, sum.Bytes = sum.Messages+l.Messages, sum.Bytes+l.Bytes
		}
	}
	return sum
}
