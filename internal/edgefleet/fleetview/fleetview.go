// Package fleetview is what an edge node tells of its view of the fleet, for
// supervisors and tools that lay several views side by side.
package fleetview

import (
	"fmt"
	"slices"
	"strings"

	"pepperfall.example/pepperfall/internal/edgefleet/members"
)

// Instance is what one edge node holds of another.
type Instance struct {
	Number      members.Name   `json:"number"`
	Incarnation string         `json:"incarnation"`
	State       string         `json:"state"`
	SilentMS    int64          `json:"silent_ms"` // since its last sign of life, by anyone's statement
	Level       float64        `json:"level,omitempty"`
	Accusers    []members.Name `json:"accusers,omitempty"`
	Down        []members.Name `json:"down,omitempty"` // at the other ends of ways that are down
}

// View is one edge node's view.
type View struct {
	Number  members.Name   `json:"number"` // whose view it is
	Epoch   uint32         `json:"epoch"`
	Hash    uint32         `json:"hash"` // equal for equal views
	Present []members.Name `json:"present"`
	Alive   []members.Name `json:"alive"` // to be counted on now
	Doubts  []string       `json:"doubts,omitempty"`
	Others  []Instance     `json:"others"`
}

// Of is the view that an instance holds now.
func Of(f *members.Fleet) View {
	v := f.View()
	out := View{Number: f.Name(), Epoch: v.Epoch, Hash: v.Hash, Present: v.Present, Alive: f.Alive(), Doubts: f.Doubt()}
	for _, n := range f.Names() {
		if n == out.Number {
			continue
		}
		s := f.Status(n)
		out.Others = append(out.Others, Instance{Number: n, Incarnation: s.Incarnation.String(), State: s.State.String(),
			SilentMS: s.Sign.Milliseconds(), Level: s.Level, Accusers: s.Accusers, Down: s.Down})
	}
	return out
}

// Differ tells in a sentence each where views of one fleet do not agree, or do not know that they do.
func Differ(views []View) (list []string) {
	hashes := map[uint32][]members.Name{}
	var order []uint32
	for _, v := range views {
		if hashes[v.Hash] == nil {
			order = append(order, v.Hash)
		}
		hashes[v.Hash] = append(hashes[v.Hash], v.Number)
	}
	if len(order) > 1 {
		for _, h := range order {
			i := slices.IndexFunc(views, func(v View) bool { return v.Hash == h })
			list = append(list, fmt.Sprintf("%v: view %d of %v", hashes[h], views[i].Epoch, views[i].Present))
		}
	}
	for _, v := range views {
		if len(v.Doubts) > 0 {
			list = append(list, fmt.Sprintf("%d doubts its view: %s", v.Number, strings.Join(v.Doubts, ", ")))
		}
		for _, o := range v.Others {
			if o.State != members.StateAlive.String() && o.State != members.StateLeft.String() {
				list = append(list, fmt.Sprintf("%d holds %d to be %s, silent for %d ms", v.Number, o.Number, o.State, o.SilentMS))
			}
		}
	}
	return list
}
