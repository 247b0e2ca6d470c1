package operatorclient

import (
	"fmt"
	"io"
	"text/tabwriter"

	"pepperfall.example/pepperfall/api"
)

// WriteExplained writes why a server's verdict stands, and who said what.
func WriteExplained(out io.Writer, x *api.Explained) {
	fmt.Fprintf(out, "%s of %s: %s", clean(x.Server), or(clean(x.Service)), or(clean(x.Level)))
	if x.AgeMS > 0 {
		fmt.Fprintf(out, ", for %s", ago(x.AgeMS))
	}
	fmt.Fprintf(out, " (by %s; keeper %s)\n", clean(x.Replica), or(clean(x.Keeper)))
	if x.Why != "" {
		fmt.Fprintf(out, "why: %s\n", clean(x.Why))
	}
	if x.Number > 0 {
		fmt.Fprintf(out, "then: %d outcomes, %.2f of them against it; proxies: %d against, %d for\n", x.Number, x.Share, x.Against, x.For)
	}
	if x.Relapses > 0 || x.Trial {
		fmt.Fprintf(out, "relapses: %d; on trial: %v\n", x.Relapses, x.Trial)
	}
	if x.Word.Word != "" {
		fmt.Fprintf(out, "the operators' word: %s until %s (by %s)\n", clean(x.Word.Word), x.Word.Until.Format("2006-01-02 15:04:05Z"), clean(x.Word.By))
	}
	if len(x.Said) == 0 {
		if x.Replica != x.Keeper {
			fmt.Fprintln(out, "what proxies saw is known to the keeper, which did not answer")
		}
		return
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nGATE\tZONE\tREQUESTS\tCONFIRMED\tUNCLEAR\tLATE\tWRONG ID\tTURNED AWAY\tWORTH")
	for _, s := range x.Said {
		kind := "may run again"
		if s.Record {
			kind = "run once"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\n", clean(s.Proxy), clean(s.Zone), kind, s.Confirmed, s.Unclear, s.Late, s.WrongID, s.TurnedAway, s.Worth)
	}
	_ = t.Flush()
}
