package node

import (
	"container/heap"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// armTimer sets the loop's timer to the earliest timer in the heap.
func (l *loop) armTimer() {
	if len(l.timers) == 0 || l.timerAt != 0 && l.timerAt <= l.timers[0].at {
		return
	}
	l.timerAt = l.timers[0].at
	l.timer.Reset(max(0, l.timerAt-l.clock.now()))
}

// fireTimers handles the timers that have expired.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.clock.now() {
		t := heap.Pop(&l.timers).(*timer)
		switch {
		case t.request != nil:
			l.checkDeadline(t.request)
		case t.isDisconnectCheck:
			l.checkDisconnects()
		default:
			l.decide(policy.Timer{Token: t.token})
		}
	}
}

// timer is a policy timer, a request's deadline timer or the periodic check for disconnected clients.
type timer struct {
	at                time.Duration
	token             string
	request           *openRequest
	isDisconnectCheck bool // checks for disconnected clients
	heapIndex         int  // index in the heap; -1: removed
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1], t.heapIndex = nil, -1
	*h = old[:len(old)-1]
	return t
}
