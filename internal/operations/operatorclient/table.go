package operatorclient

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pepperfall.example/pepperfall/api"
)

const mostNamed = 12 // proxies in one line

// Write writes a view as tables.
func (v *View) Write(out io.Writer) {
	for _, t := range v.Troubles {
		fmt.Fprintln(out, "! "+t)
	}
	if len(v.Troubles) == 0 {
		fmt.Fprintln(out, "nothing out of order is seen")
	}
	held := v.Held()
	fmt.Fprintf(out, "\ncontrol: %s; %d of %d voters make a majority; newest version held %s\n", map[bool]string{true: "settled", false: "NOT settled"}[v.Settled], v.Majority, v.Voters, or(held.Gen))
	if c := v.Config; c != nil {
		fmt.Fprintf(out, "configuration: %s, %d routes, %d services, %d tenants\n", c.Gen, c.Routes, len(c.Services), len(c.Tenants))
	}
	if d := v.Duty; d.Holder != "" {
		fmt.Fprintf(out, "duty %s: %s has it, %s is next, term %d.%d\n", d.Name, d.Holder, or(d.Next), d.Epoch, d.Step)
	}
	for _, x := range v.Versions {
		fmt.Fprintf(out, "in force: %s at %d of %d proxies%s\n", or(x.Gen), x.Proxies, len(v.Proxies), lagging(x.Lag))
	}
	if v.Lock.Who != "" {
		fmt.Fprintf(out, "lock: held by %s since %s\n", v.Lock.Who, v.Lock.Since.UTC().Format(time.RFC3339))
	}
	v.WriteNodes(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nZONE\tDRAINED\tBARNS ANSWERING\tGATES READY\tSERVERS READY\tCOLD\tDRAINING")
	for _, z := range v.Zones {
		drained := "no"
		if z.Order.Drained {
			drained = "YES"
		}
		if z.Order.Count > 0 && !z.Order.Confirmed {
			drained += " (no majority holds that)"
		}
		fmt.Fprintf(t, "%s\t%s\t%d of %d\t%d of %d\t%d\t%d\t%d\n", z.Name, drained, z.Answering, z.Replicas, z.Ready, z.Proxies, z.Servers.Ready, z.Servers.Cold, z.Servers.Draining)
	}
	fmt.Fprintln(t, "\nREPLICA\tDUTY\tHOLDER BY ITS VIEW\tNEXT\tTERM\tITS OWN RANK\tLIST STAMP\tBY\tHEARD\tSHARES")
	for _, l := range v.Looks {
		if s := l.Status; s != nil {
			for _, d := range s.Duties {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d.%d\t%d\t%s\t%s\t%s\t%d\n", s.Replica, d.Name, or(d.Holder), or(d.Next), d.Epoch, d.Step, d.Rank, stamp(s.List.Stamp), or(s.List.By), ago(s.List.HeardMS), s.Shares)
			}
		}
	}
	_ = t.Flush()
}

// WriteNodes writes the replicas and proxies.
func (v *View) WriteNodes(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nREPLICA\tZONE\tCTL\tVOTER\tANSWERS\tELIGIBLE\tHELD\tCONFIRMED\tFRESH\tDISK")
	for _, b := range v.Replicas {
		answers := "yes"
		if !b.Answers {
			answers = fmt.Sprintf("NO, but %d others", len(b.SeenBy))
		}
		disk := "well"
		if b.Disk != "" {
			disk = "FAILS"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\t%v\t%s\t%s\t%s\t%s\n", b.Name, b.Zone, b.Ctl, b.Voter, answers, b.Eligible, or(b.Held.Gen), or(b.Confirmed.Gen), ago(b.FreshMS), disk)
	}
	fmt.Fprintln(t, "\nPROXY\tZONE\tFRONT\tREADY\tRESTS\tOPEN\tCLIENTS\tSERVED/S\tREFUSED/S\tFAILED/S\tALIVE\tVERSION\tBEHIND\tHEARD\tBY\tLAGS")
	for _, g := range v.Proxies {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\t%s\t%v\t%s\t%d\t%s\t%s\t%s\n", g.Name, or(g.Zone), or(g.Front), g.Ready, rest(&g), traffic(g.Figures), g.Alive, or(g.Gen), g.Behind, ago(g.HeardMS), g.By, or(g.Lags))
	}
	_ = t.Flush()
}

func rest(g *Proxy) string {
	switch {
	case g.ToRest && g.Rests:
		return "yes"
	case g.ToRest:
		return "told to"
	case g.Rests:
		return "still"
	}
	return "no"
}

// traffic is five columns.
func traffic(f *api.Figures) string {
	if f == nil || f.SpanMS <= 0 {
		return "-\t-\t-\t-\t-"
	}
	s := float64(f.SpanMS) / 1000
	return fmt.Sprintf("%d\t%d\t%.1f\t%.1f\t%.1f", f.Open, f.Clients, float64(f.Served)/s, float64(f.Refused)/s, float64(f.Failed)/s)
}

// lagging names those of a version's proxies that may serve something old.
func lagging(names []string) string {
	if len(names) == 0 {
		return ""
	}
	more := ""
	if n := len(names) - mostNamed; n > 0 {
		names, more = names[:mostNamed], fmt.Sprintf(" and %d more", n)
	}
	return ", behind: " + strings.Join(names, ", ") + more
}

func or(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

func stamp(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("15:04:05.000")
}

// WriteHistory writes what replicas were ordered.
func WriteHistory(out io.Writer, all []api.History, silent []Ring) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AT\tBARN\tORDER\tWHAT\tEND\tTOOK\tFROM\tWHY")
	for _, h := range all {
		for _, o := range h.Orders {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d ms\t%s\t%s\n", o.At.Format("01-02 15:04:05.000"), h.Replica, o.Kind, or(o.What), o.End, o.TookMS, o.From, or(o.Why))
		}
	}
	_ = t.Flush()
	for _, h := range all {
		fmt.Fprintf(out, "%s: orders since its start at %s, held in memory; %d older ones lost\n", h.Replica, h.Since.Format(time.RFC3339), h.Lost)
	}
	for _, r := range silent {
		fmt.Fprintf(out, "%s does not tell: %s\n", r.Addr, r.Err)
	}
}
