package statestore_test

import (
	"context"
	"crypto/sha256"
	"fmt"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/control/statestore"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

func Example() {
	disk := sim.NewDisk(1)
	run := func(use func(s *statestore.Store, c statestore.Contents)) {
		s, c, found, err := statestore.Open(disk.Mount(), "/data")
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("whole:", found == statestore.Intact, "empty:", found == statestore.Empty)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		use(s, c)
		stop()
		<-done
	}
	body := []byte(`{"gen":"r7"}`)
	id := state.ConfigID{Gen: 7, Digest: sha256.Sum256(body)}
	run(func(s *statestore.Store, c statestore.Contents) {
		c.Record = quorum.Record{ID: "core-1", Decided: state.State{Version: 4, Config: id}}
		c.Configs[id.Digest] = &peerlink.Configuration{Gen: 7, Digest: id.Digest, Body: body}
		fmt.Println(s.Wait(context.Background(), s.Put(c)))
		disk.PowerLoss()
	})
	run(func(_ *statestore.Store, c statestore.Contents) {
		fmt.Println(c.Record.ID, c.Record.Decided.Version, string(c.Configs[id.Digest].Body))
	})
	disk.Wipe()
	run(func(_ *statestore.Store, c statestore.Contents) { fmt.Println(len(c.Configs)) })
	// Output:
	// whole: false empty: true
	// <nil>
	// whole: true empty: false
	// core-1 4 {"gen":"r7"}
	// whole: false empty: true
	// 0
}
