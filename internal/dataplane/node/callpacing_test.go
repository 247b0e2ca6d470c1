package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// overloadedDiscovery simulates one discovery service for many proxies. It serves calls in order, accepts more calls than it
// can answer before they time out, and spends time on every accepted call.
type overloadedDiscovery struct {
	perCall, callTimeout, maxQueue time.Duration
	freeAt                         time.Duration // when it has finished all accepted calls
}

// call returns when a call ends and whether it is answered.
func (o *overloadedDiscovery) call(at time.Duration) (end time.Duration, ok bool) {
	o.freeAt = max(o.freeAt, at)
	if o.freeAt-at > o.maxQueue {
		return at, false
	}
	o.freeAt += o.perCall
	if o.freeAt-at > o.callTimeout {
		return at + o.callTimeout, false
	}
	return o.freeAt, true
}

// run starts proxies at a time and lets them call until each has an answer or the end is reached. It returns the number of
// proxies with an answer and the number of failed calls.
func (o *overloadedDiscovery) run(paces []callPacing, start, end time.Duration) (answered, failed int) {
	next := make([]time.Duration, len(paces))
	for i := range paces {
		next[i] = start + paces[i].firstDelay()
	}
	return o.runFrom(paces, next, end)
}

// runFrom continues from the times of the proxies' next calls.
func (o *overloadedDiscovery) runFrom(paces []callPacing, next []time.Duration, end time.Duration) (answered, failed int) {
	for {
		i := 0
		for j := range next {
			if next[j] < next[i] {
				i = j
			}
		}
		if next[i] >= end {
			return answered, failed
		}
		over, ok := o.call(next[i])
		if ok && over < end {
			answered++
			next[i] = end
			continue
		}
		failed++
		next[i] = over + paces[i].retryDelay()
	}
}

// Eighty proxies start at the same time, each with its last list, and most are killed and restarted together later. All of
// them get an answer of an overloaded discovery service soon. Without spreading the calls none of the restarted proxies does,
// and hardly one of the first.
func TestManyProxiesStartWithOverloadedDiscovery(t *testing.T) {
	paces := func(n int, life uint64, spread bool) (list []callPacing) {
		for i := range n {
			p := callPacing{}
			if spread {
				p = newSharedPacing(80, life*1000+uint64(i))
			}
			list = append(list, p)
		}
		return list
	}
	for life := uint64(1); life <= 200; life++ {
		// In 8 s the service can send the complete list to every proxy, or in half of that a change.
		o := &overloadedDiscovery{perCall: 50 * time.Millisecond, callTimeout: 2 * time.Second, maxQueue: 6 * time.Second}
		first, _ := o.run(paces(80, life, true), 0, 8*time.Second)
		second, failed := o.run(paces(56, life+1000, true), 10*time.Second, 18*time.Second)
		if first != 80 || second != 56 || failed > 0 {
			t.Fatalf("seeds %d: %d of 80 and %d of 56 have an answer, %d calls failed", life, first, second, failed)
		}
	}
	o := &overloadedDiscovery{perCall: 50 * time.Millisecond, callTimeout: 2 * time.Second, maxQueue: 6 * time.Second}
	if n, _ := o.run(paces(80, 1, false), 0, 8*time.Second); n > 45 {
		t.Errorf("%d of 80 have an answer although all calls are synchronized: the simulated service is not overloaded", n)
	}
}

// Within 8 s the service can take a call from every proxy, whatever their number: maxSpread suits fleets of any size.
func TestStartSpreadHoldsForAnyFleetSize(t *testing.T) {
	for _, n := range []int{81, 300, 1000} {
		o := &overloadedDiscovery{perCall: 4 * time.Second / time.Duration(n), callTimeout: 2 * time.Second, maxQueue: 6 * time.Second}
		var paces []callPacing
		for i := range n {
			paces = append(paces, newSharedPacing(n, uint64(i)))
		}
		if got, failed := o.run(paces, 0, 8*time.Second); got != n || failed > 0 {
			t.Errorf("%d of %d have an answer, %d calls failed", got, n, failed)
		}
	}
}

// A reload moves all proxies to another address at the same time, where each fetches the complete list. With spread calls two
// thirds have it within 7 s; without, four tenths at most.
func TestAddressChangeSpreadsCalls(t *testing.T) {
	for _, n := range []int{80, 300} {
		play := func(spread bool) (answered, failed int) {
			o := &overloadedDiscovery{perCall: 8 * time.Second / time.Duration(n), callTimeout: 2 * time.Second, maxQueue: 6 * time.Second}
			var paces []callPacing
			next := make([]time.Duration, n)
			for i := range n {
				paces = append(paces, newSharedPacing(n, uint64(i)))
				if spread {
					next[i] = paces[i].moveDelay()
				}
				if next[i] >= 6*time.Second {
					t.Errorf("waits %v, too long: it is assumed to know the list by then", next[i])
				}
			}
			return o.runFrom(paces, next, 7*time.Second)
		}
		got, failed := play(true)
		if once, in := play(false); got < n*2/3 || failed > n/3 || once > n*4/10 || in < n/2 {
			t.Errorf("%d of %d have an answer within 7 s, %d calls failed; %d and %d at once", got, n, failed, once, in)
		}
	}
}

// A discovery service that has built up a long queue while it was too slow gets few enough calls to drain it.
func TestDiscoveryBacklogDrains(t *testing.T) {
	o := &overloadedDiscovery{perCall: 100 * time.Millisecond, callTimeout: 2 * time.Second, maxQueue: 8 * time.Second, freeAt: 8 * time.Second}
	var paces []callPacing
	for i := range 80 {
		paces = append(paces, newSharedPacing(80, uint64(i)))
	}
	if n, failed := o.run(paces, 0, 60*time.Second); n != 80 {
		t.Errorf("%d of 80 have an answer after a minute, %d calls failed", n, failed)
	}
}

// A proxy with a discovery agent of its own retries with the usual short backoff.
func TestLocalAgentIsRetriedSoon(t *testing.T) {
	p := callPacing{}
	if p.firstDelay() != 0 || p.moveDelay() != 0 {
		t.Error("the first call waits")
	}
	for _, want := range []int{25, 50, 100, 200, 400, 400} {
		if got := p.retryDelay(); got != time.Duration(want)*time.Millisecond {
			t.Errorf("waits %v, want %d ms", got, want)
		}
	}
	if p.resetBackoff(); p.retryDelay() != minBackoff {
		t.Error("a successful call does not reset the backoff")
	}
}

// With a central discovery service, a proxy with a cached list serves from it and asks only for the changes since then, not
// for the complete list.
func TestStartsFromCachedList(t *testing.T) {
	asked := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(agent.Close)
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("a")) }))
	t.Cleanup(app.Close)
	cfg := testConfig(t, strings.TrimPrefix(agent.URL, "http://"))
	cfg.Settings.MustWatch, cfg.Settings.Gateways = true, 1
	cfg.CachedList = &serverList{Rev: 41, All: true, Targets: []target{servingTarget("s-00000001", strings.TrimPrefix(app.URL, "http://"))}}
	n := start(t, cfg)
	if resp, body := sendTestRequest(t, newTestRequest(n.url, "lookup", time.Second)); resp.StatusCode != http.StatusOK || body != "a" {
		t.Errorf("got %d %q", resp.StatusCode, body)
	}
	if q := <-asked; !strings.HasPrefix(q, "since=41&") {
		t.Errorf("asked %q", q)
	}
}

// After a change of the discovery address, a proxy that has a list delays its call and then fetches the complete list.
func TestDelaysCallAfterAddressChange(t *testing.T) {
	asked := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.Host + "?" + r.URL.RawQuery
		_, _ = w.Write([]byte(`{"rev":7,"all":true,"targets":[]}`))
	}))
	t.Cleanup(agent.Close)
	clock := &recordingClock{timers: make(chan time.Duration, 100)}
	d := newDiscovery(clock, strings.TrimPrefix(agent.URL, "http://"), nil, func(*serverList, policy.ServerListKind) {})
	d.pacing = newSharedPacing(300, 1)
	want := newSharedPacing(300, 1)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.run(ctx); close(done) }()
	if q := <-asked; !strings.HasSuffix(q, "?") {
		t.Errorf("asked %q first, with no list", q)
	}
	for slept := time.Duration(0); slept != minWatchInterval; { // until it has the list and watches it
		slept = <-clock.timers
	}
	d.moveTo(strings.TrimPrefix(agent.URL, "http://"))
	turn, never := want.moveDelay(), time.After(20*time.Second)
	for slept := time.Duration(0); slept != turn; {
		select {
		case slept = <-clock.timers:
		case <-never:
			t.Fatalf("did not wait its delay of %v", turn)
		}
	}
	end()
	<-done
}

// recordingClock reports the duration of each timer and never lets one expire.
type recordingClock struct {
	world.Real
	timers chan time.Duration
}

func (c *recordingClock) NewTimer(d time.Duration) world.Timer {
	c.timers <- d
	return c.Real.NewTimer(time.Hour)
}
