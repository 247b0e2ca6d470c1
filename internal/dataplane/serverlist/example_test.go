package serverlist_test

import (
	"fmt"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
)

// A server once listed as draining stays closed, even if a later list says otherwise. The servers of a zone that is no longer
// drained count as cold.
func Example() {
	g := &serverlist.ServerList{Settings: serverlist.Settings{Excess: 1.5, Slack: 5, Lag: time.Second, Regions: map[string]string{"z1": "north", "z2": "south"}}}
	g.SetServices(map[string]serverlist.Service{"pears": {Warmup: 10 * time.Second, ColdRate: 2}})
	one, two := serverlist.Entry{ID: "i-1", Service: "pears", Zone: "z1", Draining: true}, serverlist.Entry{ID: "i-2", Service: "pears", Zone: "z2"}
	show := func() {
		for _, l := range g.Servers() {
			fmt.Println(l.ID, l.Region, "closed:", l.Closed, "cold until:", l.ColdUntil, "then at most a second:", l.MaxColdRate)
		}
	}
	g.Update(0, 1, []serverlist.Entry{one, two})
	one.Draining = false
	fmt.Println(g.Update(time.Second, 2, []serverlist.Entry{one, two}), g.Update(2*time.Second, 1, nil)) // an older list is not used
	g.SetDrainedZones(3*time.Second, map[string]bool{"z2": true})
	show()
	g.SetDrainedZones(5*time.Second, nil)
	show()
	// Output:
	// true false
	// i-1 north closed: true cold until: 0s then at most a second: 8
	// i-2 south closed: true cold until: 0s then at most a second: 8
	// i-1 north closed: true cold until: 0s then at most a second: 8
	// i-2 south closed: false cold until: 16s then at most a second: 8
}
