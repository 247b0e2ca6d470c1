package operatorclient

import (
	"fmt"
	"io"
	"text/tabwriter"

	"pepperfall.example/pepperfall/internal/control/statestore"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// CheckState writes what a replica's folder holds and what a replica would do with it;
// sound is false where something is spoilt.
func CheckState(out io.Writer, disk world.Disk, dir string) (sound bool, err error) {
	in, err := statestore.Inspect(disk, dir)
	if err != nil {
		return false, err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FILE\tSTATE\tHOLDS")
	for _, f := range in.Files {
		state := "whole"
		switch {
		case f.Err != nil:
			state, f.Summary = "SPOILT", f.Err.Error()
		case f.IsLeftover:
			state = "leftover"
		case f.IsForeign:
			state = "alien"
		case !f.Exists:
			state = "none"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", f.Name, state, clean(f.Summary))
	}
	_ = t.Flush()
	for _, o := range in.Contents.Record.Decided.Orders {
		if node, is := o.Node(); is {
			fmt.Fprintf(out, "proxy %s: rests %v, order %d by %s\n", clean(node), o.Drain, o.Count, clean(o.By))
			continue
		}
		fmt.Fprintf(out, "zone %s: drained %v, order %d by %s\n", clean(o.Zone), o.Drain, o.Count, clean(o.By))
	}
	fmt.Fprintln(out, "on start: "+map[statestore.FolderState]string{
		statestore.Empty:   "a replica begins as a new one; unless its settings say bootstrap it fetches all from the others",
		statestore.Intact:  "a replica goes on from here under the same identity",
		statestore.Damaged: "a replica begins as a new one and fetches all from the others: what it may have promised is not relied on",
	}[in.FolderState])
	return in.FolderState != statestore.Damaged, nil
}

// Mend is one thing that a repair does.
type Mend struct {
	Text string
	Do   func() error
}

// RepairState lists what a repair would do: leftovers are removed. Records are not copied from another replica's
// folder: two replicas of one identity could each promise something else.
func RepairState(disk world.Disk, dir string) ([]Mend, error) {
	in, err := statestore.Inspect(disk, dir)
	if err != nil {
		return nil, err
	}
	var all []Mend
	for _, f := range in.Files {
		if f.IsLeftover {
			all = append(all, Mend{"remove the leftover " + f.Name, func() error { return statestore.RemoveLeftover(disk, dir, f.Name) }})
		}
	}
	return all, nil
}
