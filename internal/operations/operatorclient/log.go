package operatorclient

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"pepperfall.example/pepperfall/api"
)

// Line is a line of a replica's ring, by this machine's time of day.
type Line struct {
	At      time.Time `json:"at"`
	Replica string    `json:"replica"`
	No      uint64    `json:"no"`
	Text    string    `json:"text"`
}

// Ring is what came of asking a replica for its ring.
type Ring struct {
	Addr    string `json:"addr"`
	Replica string `json:"replica"`
	Err     string `json:"err"`
	Skew    int64  `json:"skew_ms"`
	Doubt   int64  `json:"doubt_ms"` // by which the skew may be wrong
}

// Lines asks all replicas known for their rings and joins the lines by time, each
// replica's clock set right by what it said that it is now. Lines of one replica stay
// in its own order.
func (c *Client) Lines(ctx context.Context) (lines []Line, rings []Ring) {
	addrs := c.all(ctx)
	rings = make([]Ring, len(addrs))
	logs := make([]api.Log, len(addrs))
	var all sync.WaitGroup
	for i, addr := range addrs {
		all.Go(func() {
			began := c.w.Now()
			err := c.get(ctx, addr, api.OpsLog+"?"+url.Values{api.LogFrom: {"0"}}.Encode(), &logs[i])
			took := c.w.Now().Sub(began)
			r := Ring{Addr: addr, Replica: clean(logs[i].Replica)}
			if err != nil {
				r.Err = clean(err.Error())
			} else {
				r.Skew, r.Doubt = logs[i].At.Sub(began.Add(took/2)).Milliseconds(), took.Milliseconds()/2
			}
			rings[i] = r
		})
	}
	all.Wait()
	for i, l := range logs {
		if rings[i].Err != "" {
			continue
		}
		last := time.Time{}
		for _, x := range l.Lines[:min(len(l.Lines), api.MostLines)] {
			at := x.At.Add(-time.Duration(rings[i].Skew) * time.Millisecond)
			if at.Before(last) {
				at = last // its clock was set back
			}
			last = at
			lines = append(lines, Line{at, rings[i].Replica, x.No, clean(x.Text)})
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Replica, b.Replica)) })
	return lines, rings
}

// all are the addresses given and those of replicas that were heard of.
func (c *Client) all(ctx context.Context) (addrs []string) {
	for _, l := range c.Look(ctx).Looks {
		addrs = append(addrs, l.Addr)
	}
	return addrs
}

// Why picks the lines that speak of a request.
func Why(lines []Line, id string) (found []Line) {
	for _, l := range lines {
		if strings.Contains(l.Text, id) {
			found = append(found, l)
		}
	}
	return found
}

// Histories asks all replicas known for the orders that they were given.
func (c *Client) Histories(ctx context.Context) (all []api.History, silent []Ring) {
	for _, addr := range c.all(ctx) {
		h := api.History{}
		if err := c.get(ctx, addr, api.OpsHistory, &h); err != nil {
			silent = append(silent, Ring{Addr: addr, Err: clean(err.Error())})
			continue
		}
		h.Replica = clean(h.Replica)
		for i := range h.Orders {
			o := &h.Orders[i]
			for _, t := range []*string{&o.Kind, &o.What, &o.From, &o.End, &o.Why} {
				*t = clean(*t)
			}
		}
		all = append(all, h)
	}
	return all, silent
}
