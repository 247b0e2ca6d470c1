package node

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

var floodPairs = flag.Int("flood.pairs", 0, "measure so many pairs of runs, without and with a flood of wrong keys")

// sendWrongKeys sends perSecond requests a second with wrong keys, each on a new connection, until ctx is done. It returns the
// number of 401 answers.
func sendWrongKeys(ctx context.Context, addr string, perSecond int) (rejected int64) {
	var count atomic.Int64
	var senders sync.WaitGroup
	const senderCount = 64
	for i := range senderCount {
		senders.Go(func() {
			tick := time.NewTicker(time.Duration(senderCount) * time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(time.Second))
				fmt.Fprintf(c, "GET /holdings HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Api-Key: ppk_wrong%d-%d\r\n\r\n", i, k)
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusUnauthorized {
						count.Add(1)
					}
				}
				c.Close()
			}
		})
	}
	senders.Wait()
	return count.Load()
}

// A flood of requests with wrong keys uses no quota, and does not keep the proxy from serving a library within its quota.
func TestWrongKeysUseNoQuota(t *testing.T) {
	in := startInstallation(t, 1, nil)
	in.activateBook(0, in.testBook(t, 0))
	front := in.newFront(t, 20)
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	var refused int64
	var both sync.WaitGroup
	both.Go(func() { refused = sendWrongKeys(ctx, in.addrs[0].Addr, 2000) })
	front.Run(ctx)
	both.Wait()
	for _, b := range in.ledger.Finish() {
		t.Error(b)
	}
	tally := front.Tally()
	free := tally.Customers[in.libraries[0].Number]
	if refused < 100 || free.Served < 10 || free.Refused > 0 || tally.Lost > 0 {
		t.Errorf("%d wrong keys refused; a library without a quota: %+v; %d lost", refused, *free, tally.Lost)
	}
}

// TestMeasureFlood measures how 10,000 requests a second with wrong keys affect the latency of a library's requests. It is a
// measurement behind a flag, not a check.
func TestMeasureFlood(t *testing.T) {
	if *floodPairs == 0 {
		t.Skip("needs -flood.pairs")
	}
	in := startInstallation(t, 1, nil)
	in.activateBook(0, in.testBook(t, 0))
	run := func(wrong int) (median, tail time.Duration, refused int64) {
		front, err := in.site.NewFront(standin.FrontConfig{Nodes: in.addrs, Settings: in.settings, Seed: 5,
			Customers: []standin.Customer{{Key: in.libraries[0].Number, Plan: "free", Rate: 200, Spread: 1, APIKey: in.keys[0]}},
			Asks:      []standin.Operation{{Name: "search", Method: "GET", Path: "/holdings", Query: "limit=#", Class: "holdings-lookup", Safe: true, Share: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		var both sync.WaitGroup
		if wrong > 0 {
			both.Go(func() { refused = sendWrongKeys(ctx, in.addrs[0].Addr, wrong) })
		}
		front.Run(ctx)
		both.Wait()
		c := front.Tally().Classes["holdings-lookup"]
		return c.Quantile(0.5), c.Quantile(0.99), refused
	}
	var ratios []float64
	for range *floodPairs {
		m0, t0, _ := run(0)
		m1, t1, refused := run(10_000)
		ratios = append(ratios, float64(t1)/float64(t0))
		t.Logf("without: median %v, 99th %v; with %d wrong keys in 5 s: %v, %v; ratio of the 99th %.2f", m0, t0, refused, m1, t1, float64(t1)/float64(t0))
	}
	slices.Sort(ratios)
	t.Logf("ratio of the 99th percentiles: median %.2f, from %.2f to %.2f", ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
}
