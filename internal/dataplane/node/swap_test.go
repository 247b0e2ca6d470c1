package node

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

var swapDuration = flag.Duration("swap.for", 6*time.Second, "how long books are swapped")

// installation is several proxies in this process, with loan servers, and a ledger of what all sides saw.
type installation struct {
	ledger      *audit.Ledger
	site        *standin.Site
	loanServers []*standin.LoanServer
	nodes       []*runningNode
	settings    standin.Settings
	addrs       []standin.NodeAddr
	libraries   []keyring.Library
	keys        []string
	ring        *keyring.Ring
	script      func(*standin.Request) standin.Fault // nil: no faults; set before the first request
}

// startInstallation starts the given number of proxies; shape may change the settings first.
func startInstallation(t *testing.T, count int, shape func(s *standin.Settings)) *installation {
	t.Helper()
	in := &installation{settings: standin.SiteSettings(count)}
	in.settings.Family["largest"] = 6
	in.settings.Plans = append(in.settings.Plans, standin.Plan{Name: "free"})
	if shape != nil {
		shape(&in.settings)
	}
	in.ledger = audit.NewLedger(world.Real{}, in.settings.AuditRules(time.Second))
	in.site = standin.NewSite(world.Real{}, in.ledger)
	var list []standin.Target
	for i := range 4 {
		l, err := in.site.StartLoan(standin.LoanConfig{UID: fmt.Sprintf("s-%08x", i+1), Rack: fmt.Sprint(1 + i%2), Zone: "a", Cores: 4, Queue: 200,
			Work: coreTime, Script: func(r *standin.Request) standin.Fault {
				if in.script == nil {
					return standin.NoFault
				}
				return in.script(r)
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Kill)
		in.loanServers = append(in.loanServers, l)
		list = append(list, l.Target())
	}
	roster := in.site.NewRoster(list...)
	var peers []string
	for range count {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, c.LocalAddr().String())
		c.Close()
	}
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		agent, err := roster.StartAgent(name, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(agent.Close)
		set := in.settings
		set.Me = i
		text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": agent.Addr(), "seed": fmt.Sprint(i + 1),
			"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "peer_listen": peers[i], "peers": peers, "settings": set})
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := parseConfig(text, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		n := start(t, cfg)
		in.nodes = append(in.nodes, n)
		in.addrs = append(in.addrs, standin.NodeAddr{Name: name, Addr: n.Addr().String()})
	}
	for i, plan := range []string{"free", "free", "municipal", "orasenesc"} {
		in.keys = append(in.keys, fmt.Sprintf("ppk_library%d", i))
		in.libraries = append(in.libraries, keyring.Library{Number: fmt.Sprintf("%016x", i+1), Plan: plan, Spread: count})
	}
	in.buildKeyRing(t)
	return in
}

// buildKeyRing builds the table of API keys.
func (in *installation) buildKeyRing(t *testing.T) {
	t.Helper()
	salt := keyring.Salt("0123456789abcdef")
	var entries []keyring.Entry
	for i, l := range in.libraries {
		entries = append(entries, keyring.Entry{Hash: keyring.HashOf(salt, in.keys[i]), Library: l})
	}
	var err error
	if in.ring, _, err = keyring.New(salt, entries); err != nil {
		t.Fatal(err)
	}
}

// testBook makes a route book whose costs, repeats and operations depend on its number, and announces it to the
// audit.
func (in *installation) testBook(t *testing.T, number int) *routing.Table {
	t.Helper()
	units := func(n int) routebook.Units { return routebook.Units{Base: float64(n), Most: 6} }
	list := []routebook.Route{
		{Operation: "search", Method: "GET", Template: "/holdings", Class: "holdings-lookup", Repeat: routebook.Safe, Place: "f:1",
			Units: routebook.Units{Base: float64(1 + number%2), Param: "limit", Per: 25, Each: 1, Most: 6}},
		{Operation: "place", Method: "POST", Template: "/loans", Class: "loan-request", Repeat: []routebook.Repeat{routebook.Keyed, routebook.Never}[number/2%2], Units: units(1 + number%3), Place: "f:2"},
	}
	if number%5 != 4 { // an operation that some revisions lack
		list = append(list, routebook.Route{Operation: "end", Method: "DELETE", Template: "/loans/{id}", Class: "loan-request", Units: units(1 + (number+1)%2), Place: "f:3"})
	}
	return in.compileBook(t, fmt.Sprintf("r%d", number), list)
}

// compileBook makes a route book with keys in a header and the other given places, and announces it to the audit.
func (in *installation) compileBook(t *testing.T, name string, list []routebook.Route, places ...routebook.KeyPlace) *routing.Table {
	t.Helper()
	b, err := routebook.Compile(name, list)
	if err != nil {
		t.Fatal(err)
	}
	b.Keys = append(places, routebook.KeyPlace{In: "header", Name: "X-Api-Key"})
	tab, err := routing.NewTable(&in.nodes[0].cfg.Settings, b, in.ring, in.libraries, routing.Options{ExposeRouting: true})
	if err != nil {
		t.Fatal(err)
	}
	costs := map[string]routebook.Route{}
	for _, r := range list {
		costs[r.Operation] = r
	}
	in.ledger.Note(audit.Revised{Revision: name, Of: func(op, query string) (audit.Cost, bool) {
		r, ok := costs[op]
		return audit.Cost{Units: r.Units.Of(query), Repeat: []audit.Effect{audit.Unsafe, audit.Keyed, audit.Safe}[r.Repeat]}, ok
	}})
	return tab
}

// activateBook activates a route book at one proxy and announces that to the audit.
func (in *installation) activateBook(i int, tab *routing.Table) {
	in.ledger.Note(audit.Swapping{Node: in.addrs[i].Name, Revision: tab.Book.Generation})
	in.nodes[i].setRoutes(tab)
	in.ledger.Note(audit.Swapped{Node: in.addrs[i].Name, Revision: tab.Book.Generation})
}

// newFront creates ordinary clients for all libraries.
func (in *installation) newFront(t *testing.T, rate float64) *standin.Front {
	t.Helper()
	var customers []standin.Customer
	for i, l := range in.libraries {
		customers = append(customers, standin.Customer{Key: l.Number, Plan: l.Plan, Rate: rate, Spread: l.Spread, APIKey: in.keys[i]})
	}
	f, err := in.site.NewFront(standin.FrontConfig{Nodes: in.addrs, Customers: customers, Settings: in.settings, Seed: 5, Retries: 1, Backoff: 20 * time.Millisecond,
		Asks: []standin.Operation{{Name: "search", Method: "GET", Path: "/holdings", Query: "limit=#", Class: "holdings-lookup", Safe: true, Share: 5},
			{Name: "place", Method: "POST", Path: "/loans", Class: "loan-request", Keyed: true, Share: 4},
			{Name: "end", Method: "DELETE", Path: "/loans/#", Class: "loan-request", Share: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The route book is replaced 200 times, with other costs, repeats and operations, while clients send requests through
// three proxies that get each book at different times and loan servers fail. Each request must be charged by exactly
// the book under which it was read. No request may be lost or take effect twice.
func TestSwapsUnderLoad(t *testing.T) {
	const swaps = 200
	in := startInstallation(t, 3, nil)
	first := in.testBook(t, 0)
	for i := range in.nodes {
		in.activateBook(i, first)
	}
	front := in.newFront(t, 60)
	ctx, stop := context.WithTimeout(context.Background(), *swapDuration+500*time.Millisecond)
	defer stop()
	var swapping sync.WaitGroup
	swapping.Go(func() {
		rnd := rand.New(rand.NewPCG(1, 2))
		for n := 1; n <= swaps; n++ {
			tab := in.testBook(t, n)
			var each sync.WaitGroup
			for _, i := range rnd.Perm(len(in.nodes)) {
				wait := time.Duration(rnd.Float64() * float64(*swapDuration) / swaps)
				each.Go(func() {
					time.Sleep(wait)
					in.activateBook(i, tab)
				})
			}
			if n%20 == 0 { // break connections while attempts are in flight
				in.loanServers[n/20%4].Kill()
				if err := in.loanServers[n/20%4].Restart(); err != nil {
					t.Error(err)
				}
			}
			each.Wait()
		}
	})
	front.Run(ctx)
	swapping.Wait()
	for _, b := range in.ledger.Finish() {
		t.Error(b)
	}
	tally := front.Tally()
	if tally.Lost > 0 || tally.Served < 200 || tally.Unreached > 0 {
		t.Errorf("%d lost, %d served, %d reached no proxy", tally.Lost, tally.Served, tally.Unreached)
	}
	books := map[string]bool{}
	for _, o := range tally.Operations {
		for name := range o.Books {
			books[name] = true
		}
	}
	if len(books) < swaps/2 || tally.Statuses[404] == 0 {
		t.Errorf("answers under %d books, %d for a missing operation: too few for this test to be meaningful", len(books), tally.Statuses[404])
	}
	t.Logf("%d books, statuses %v", len(books), tally.Statuses)
}

var measuredSwapPairs = flag.Int("swap.pairs", 0, "measure so many pairs of runs, without and with swaps")

// TestMeasureSwaps compares the delay of answers while books are replaced ten times a second with the delay without
// replacements. It is a measurement and runs only with its flag.
func TestMeasureSwaps(t *testing.T) {
	if *measuredSwapPairs == 0 {
		t.Skip("needs -swap.pairs")
	}
	in := startInstallation(t, 3, nil)
	number := 0
	bring := func() {
		number++
		tab := in.testBook(t, 5*number) // a missing operation would distort the comparison
		for i := range in.nodes {
			in.activateBook(i, tab)
		}
	}
	bring()
	var ratios []float64
	for range *measuredSwapPairs {
		var median, tail [2]time.Duration
		for with := range 2 {
			front, err := in.site.NewFront(standin.FrontConfig{Nodes: in.addrs, Settings: in.settings, Seed: uint64(number),
				Customers: []standin.Customer{{Key: in.libraries[0].Number, Plan: "free", Rate: 300, Spread: 3, APIKey: in.keys[0]}},
				Asks:      []standin.Operation{{Name: "search", Method: "GET", Path: "/holdings", Query: "limit=#", Class: "holdings-lookup", Safe: true, Share: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
			var swapping sync.WaitGroup
			if with == 1 {
				swapping.Go(func() {
					for world.Sleep(ctx, world.Real{}, 100*time.Millisecond) {
						bring()
					}
				})
			}
			front.Run(ctx)
			stop()
			swapping.Wait()
			c := front.Tally().Classes["holdings-lookup"]
			median[with], tail[with] = c.Quantile(0.5), c.Quantile(0.99)
		}
		ratios = append(ratios, float64(tail[1])/float64(tail[0]))
		t.Logf("without swaps: median %v, 99th %v; with ten a second at each of 3 proxies: %v, %v", median[0], tail[0], median[1], tail[1])
	}
	slices.Sort(ratios)
	t.Logf("ratio of the 99th percentiles: median %.2f, from %.2f to %.2f", ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
}
