package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// Counts cover the last minute, start from zero with a new configuration, and list the busiest routes.
func TestRecentRequestCounts(t *testing.T) {
	configure := func(gen int) *activeConfiguration {
		var routes []string
		for i := range maxCountedRoutes + 2 {
			routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","prefix":"/%d/","kind":"mutating","timeout_ms":10,"backend":"s"}`, i, i))
		}
		p, err := routeconfig.Parse([]byte(fmt.Sprintf(`{"gen":"r%d","routes":[%s],"backends":[{"name":"s"}]}`, gen, strings.Join(routes, ","))))
		assert.NilError(t, err)
		e := &managedState{}
		e.activate(p)
		return e.active.Load()
	}
	m, first := &requestCounter{}, configure(1)
	assert.Assert(t, m.countRecent(nil, 0) == nil)
	var a *RequestCounts
	for s := time.Duration(0); s <= 200; s++ { // one request a second
		a = m.countRecent(first, s*time.Second)
		first.routes[&first.configuration.Routes[7]].requests.Add(1)
	}
	assert.DeepEqual(t, a, &RequestCounts{Gen: 1, Span: time.Minute, Routes: []RouteRequests{{7, 60}}})
	second := configure(2)
	assert.DeepEqual(t, m.countRecent(second, 201*time.Second), &RequestCounts{Gen: 2})
	for i := range second.configuration.Routes {
		second.routes[&second.configuration.Routes[i]].requests.Add(uint32(1 + min(i, 2)))
	}
	a = m.countRecent(second, 203*time.Second)
	assert.Equal(t, a.Span, 2*time.Second)
	assert.Equal(t, len(a.Routes), maxCountedRoutes)
	assert.DeepEqual(t, a.Routes[0], RouteRequests{2, 3})
	assert.Equal(t, a.OtherRequests, uint32(3)) // the first two routes, with 1 and 2
}
