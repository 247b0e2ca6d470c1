package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

var halfAwake = MinAwake{Zone: 0.5, All: 0.5}

// startProxies starts the agents of four proxies in one zone, each connected to all replicas.
func (f *clusterFixture) startProxies() (stop func()) {
	var agents []*simAgent
	for _, name := range []string{"1", "2", "3", "4"} {
		for i := range f.replicas {
			agents = append(agents, f.startAgent(name, i))
		}
	}
	f.waitFor(5*time.Second, "proxies", func() bool {
		status := f.replicas[len(f.replicas)-1].Status(context.Background())
		return len(status.Proxies) == 4 && !slices.ContainsFunc(status.Proxies, func(proxy api.ProxyView) bool { return !proxy.Ready })
	})
	return func() {
		for _, agent := range agents {
			agent.stop()
		}
		time.Sleep(time.Second)
	}
}

// restingCount returns how many proxies are ordered to rest, by a replica's status.
func (f *clusterFixture) restingCount(i int) (n int) {
	for _, o := range f.replicas[i].Status(context.Background()).Nodes {
		if o.Rests {
			n++
		}
	}
	return n
}

// An order to rest that would leave too few proxies awake is refused, also if two orders at two replicas run at once.
func TestTooFewAwake(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
		defer f.startProxies()()
		ctx := context.Background()
		var tooFewAwake TooFewAwakeError
		assert.NilError(t, f.replicas[0].Rest(ctx, "proxy-1", halfAwake))
		assert.NilError(t, f.replicas[1].Rest(ctx, "proxy-1", halfAwake)) // it is resting already
		results := make(chan error, 2)
		for i, n := range []string{"proxy-2", "proxy-3"} {
			go func() { results <- f.replicas[i].Rest(ctx, n, halfAwake) }()
		}
		a, b := <-results, <-results
		assert.Assert(t, errors.As(a, &tooFewAwake) || errors.As(b, &tooFewAwake), "%v, %v", a, b)
		assert.Assert(t, f.restingCount(2) <= 2)
		if f.restingCount(2) < 2 {
			assert.NilError(t, f.replicas[0].Rest(ctx, "proxy-2", halfAwake))
		}
		err := f.replicas[0].Rest(ctx, "proxy-4", halfAwake)
		assert.Assert(t, errors.As(err, &tooFewAwake), "%v", err)
		assert.Error(t, err, "1 of 4 proxies of all would stay awake, and 0.5 of them have to")
		assert.NilError(t, f.replicas[0].Rest(ctx, "proxy-4", MinAwake{Force: true}))
		assert.Assert(t, errors.Is(f.replicas[0].Rest(ctx, "proxy-9", halfAwake), ErrUnknownProxy))
		assert.Assert(t, errors.Is(f.replicas[0].Wake(ctx, "proxy-9"), ErrUnknownProxy))
		assert.NilError(t, f.replicas[0].Rest(ctx, "proxy-9", MinAwake{Force: true})) // an order may be forced for a proxy that is not known yet
		assert.NilError(t, f.replicas[1].Wake(ctx, "proxy-9"))
		url := "http://" + ip(0) + ":8200" + api.NodeRest
		for path, want := range map[string]int{"proxy-1?zone=2": 400, "a%20b": 400, "proxy-8": 404, "proxy-1": 200, "proxy-1?lock=x": 423} {
			status, text := f.call("POST", url+path, nil)
			assert.Equal(t, status, want, "%s: %s", path, text)
		}
	})
}

// If the control replicas are split into two halves, neither half acknowledges orders. Afterwards all replicas agree on one
// outcome.
func TestRestOrdersInASplitCore(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
		defer f.startProxies()()
		ctx := context.Background()
		assert.NilError(t, f.replicas[0].Rest(ctx, "proxy-1", halfAwake))
		f.partition(ips(0, 1), ips(2, 3), sim.Silent)
		assert.Assert(t, f.replicas[0].Rest(ctx, "proxy-2", halfAwake) != nil)
		assert.Assert(t, f.replicas[3].Wake(ctx, "proxy-1") != nil)
		assert.Assert(t, f.replicas[0].AcquireLock(ctx, state.Lock{Token: "a", Who: "ana", For: time.Second}) != nil)
		assert.Assert(t, f.replicas[3].AcquireLock(ctx, state.Lock{Token: "b", Who: "ben", For: time.Second}) != nil)
		time.Sleep(2 * time.Second)
		f.partition(ips(0, 1), ips(2, 3), sim.Open)
		same := func() bool {
			want := f.replicas[0].Status(ctx).Nodes
			for _, r := range f.replicas {
				for i, o := range r.Status(ctx).Nodes {
					if len(want) <= i || o != want[i] || !o.Confirmed {
						return false
					}
				}
			}
			return len(want) > 0
		}
		f.waitFor(5*time.Second, "agree", same)
		f.waitFor(5*time.Second, "take orders again", func() bool { return f.replicas[2].Wake(ctx, "proxy-1") == nil })
		assert.NilError(t, f.replicas[2].Wake(ctx, "proxy-2"))
		f.waitFor(2*time.Second, "agree", same)
		assert.Equal(t, f.restingCount(1), 0)
	})
}

// An order to rest is still in force after all replicas have lost power.
func TestRestOrderSurvivesPowerLoss(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
		defer f.startProxies()()
		assert.NilError(t, f.replicas[0].Rest(context.Background(), "proxy-2", halfAwake))
		f.killAll(true)
		time.Sleep(time.Second)
		f.startAll()
		f.waitFor(5*time.Second, "order and proxies known again", func() bool {
			status := f.replicas[2].Status(context.Background())
			return len(status.Proxies) == 4 && status.Proxies[1].ToRest && !slices.ContainsFunc(status.Proxies, func(proxy api.ProxyView) bool { return !proxy.Ready })
		})
		assert.Assert(t, f.replicas[0].proxies.resting["proxy-2"])
		_, text := f.call("GET", "http://"+ip(2)+":8209"+api.DirLookup, nil)
		assert.Equal(t, text, "{\"addr_list\":[\"10.1.0.1:80\",\"10.1.0.3:80\",\"10.1.0.4:80\"],\"ttl_s\":1}\n")
	})
}

// The lock is held under one token at a time and expires by itself. A restarted replica keeps it until it has expired.
func TestLock(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		ctx := context.Background()
		lock := func(i int, token string, d time.Duration) error {
			if d == 0 {
				return f.replicas[i].ReleaseLock(ctx, token)
			}
			return f.replicas[i].AcquireLock(ctx, state.Lock{Token: token, Who: token, Since: time.Now().UnixNano(), For: d})
		}
		var taken LockTakenError
		assert.NilError(t, lock(0, "ana", 15*time.Second))
		err := lock(2, "ben", 15*time.Second)
		assert.Assert(t, errors.As(err, &taken) && taken.Who == "ana" && taken.Token == "", "%v", err)
		url := "http://" + ip(1) + ":8200" + api.DrainBegin + "z1?lock="
		status, text := f.call("POST", url+"ben", nil)
		assert.Equal(t, status, 423, text)
		status, _ = f.call("POST", url+"ana", nil)
		assert.Equal(t, status, 200)
		time.Sleep(10 * time.Second)
		assert.NilError(t, lock(1, "ana", 15*time.Second)) // through another replica
		f.killAll(true)
		f.startAll()
		time.Sleep(2 * time.Second)
		assert.Assert(t, lock(0, "ben", 15*time.Second) != nil) // ana may still hold it
		f.waitFor(20*time.Second, "grant", func() bool { return lock(0, "ben", 15*time.Second) == nil })
		assert.NilError(t, lock(0, "ben", 0))
		assert.NilError(t, lock(1, "ana", time.Second))
		time.Sleep(1100 * time.Millisecond)
		results := make(chan error, 2)
		for i, n := range []string{"cleo", "dan"} {
			go func() { results <- lock(i, n, time.Second) }()
		}
		a, b := <-results, <-results
		assert.Assert(t, a != nil || b != nil)
	})
}
