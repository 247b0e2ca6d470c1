package lease_test

import (
	"fmt"
	"time"

	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Three replicas elect the holder of a duty. When the holder disappears, the successor that it named takes over
// without a vote.
func Example() {
	names := []string{"north", "south", "west"}
	leases, seats := map[string]*lease.Lease{}, map[string]peerlink.Seat{}
	for i, n := range names {
		seats[n] = peerlink.Seat{Name: n, Life: int64(i + 1)}
		leases[n] = lease.New("list", seats[n], n)
	}
	gone := ""
	view := func(self string, now time.Duration) lease.View {
		v := lease.View{Now: now, UnixMS: 5000 + uint64(now.Milliseconds()), CanVote: true, VoterCount: 3}
		for _, n := range names {
			if n != self && n != gone {
				v.Peers = append(v.Peers, lease.Peer{Seat: seats[n], Zone: n, CanVote: true})
			}
		}
		return v
	}
	var deliver func(from string, now time.Duration, messages []lease.Message)
	deliver = func(from string, now time.Duration, messages []lease.Message) { // in order, to running replicas
		for _, m := range messages {
			for _, n := range names {
				if n != from && n != gone && (m.To == "" || m.To == n) {
					deliver(n, now, leases[n].Receive(view(n, now), seats[from], m.Duty))
				}
			}
		}
	}
	run := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			for _, n := range names {
				if n != gone {
					deliver(n, now, leases[n].Step(view(n, now)))
				}
			}
		}
	}
	show := func() {
		for _, n := range names {
			if n != gone {
				d := leases[n].Known()
				fmt.Println(n, "knows", d.Holder.Name, "followed by", d.Next.Name, "step", d.Term.Step)
			}
		}
	}
	run(0, time.Second)
	show()
	gone = leases["north"].Known().Holder.Name
	fmt.Println(gone, "is gone")
	run(time.Second, 3*time.Second)
	show()
	// Output:
	// north knows south followed by west step 0
	// south knows south followed by west step 0
	// west knows south followed by west step 0
	// south is gone
	// north knows west followed by north step 1
	// west knows west followed by north step 1
}
