package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Table writes a report as operators read it.
func (r *Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	ms := func(d time.Duration) string { return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond)) }
	t := r.Tally
	fmt.Fprintf(w, "\nclass\tasked\tserved\trefused\tfailed\tmedian\t99th\t99.9th\n")
	for _, name := range sorted(t.Classes) {
		c := t.Classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, c.Asked, c.Served, c.Refused, c.Failed,
			ms(c.Quantile(0.5)), ms(c.Quantile(0.99)), ms(c.Quantile(0.999)))
	}
	fmt.Fprintf(w, "\nlibrary\tplan\tasked\tserved\trefused\tunits served\n")
	for _, name := range sorted(t.Customers) {
		c := t.Customers[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\n", name, c.Plan, c.Asked, c.Served, c.Refused, c.Units)
	}
	if len(t.Operations) > 0 {
		fmt.Fprintf(w, "\noperation\tasked\tserved\trefused\tfailed\tunits charged\tread under\n")
		for _, name := range sorted(t.Operations) {
			o := t.Operations[name]
			under := ""
			for _, book := range sorted(o.Books) {
				under += fmt.Sprintf("%s: %d  ", book, o.Books[book])
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\t%s\n", name, o.Asked, o.Served, o.Refused, o.Failed, o.Charged, under)
		}
	}
	fmt.Fprintf(w, "\nhung up\t%d\ncrossed the end of a connection, sent again\t%d\nfound no edge node\t%d\ntaken and not answered (all causes)\t%d\nnot sent, too many open\t%d\n",
		t.HungUp, t.Crossed, t.Unreached, t.Lost, t.Unsent)
	fmt.Fprintf(w, "instances killed\t%d\n", r.Killed)
	if len(r.Ready) > 0 {
		s := slices.Sorted(slices.Values(r.Ready))
		fmt.Fprintf(w, "kill to ready again\tmedian %.2f s, most %.2f s\n", s[len(s)/2].Seconds(), s[len(s)-1].Seconds())
	}
	for _, o := range r.Orders {
		fmt.Fprintf(w, "%s\t%.2f s, code %d\n", o.Op, o.Took.Seconds(), o.Code)
	}
	fmt.Fprintf(w, "highest use of a ceiling's store\t%.2f\neffects twice or attempts out twice\t%d\n", r.HighestUse, r.Duplicates)
	if err := w.Flush(); err != nil {
		return err
	}
	if len(r.Breaks) == 0 {
		_, err := fmt.Fprintln(out, "\naudit: all rules kept")
		return err
	}
	fmt.Fprintf(out, "\naudit: %d broken\n", len(r.Breaks))
	const most = 20
	for _, b := range r.Breaks[:min(most, len(r.Breaks))] {
		fmt.Fprintln(out, " ", b)
	}
	if more := len(r.Breaks) - most; more > 0 {
		fmt.Fprintf(out, "  and %d more\n", more)
	}
	return nil
}

func sorted[V any](m map[string]V) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
