// Command standin plays a small deployment whose edge machines are stopped and started again in turn, while its servers are
// full now and then.
// It exits with 1 if the rule LOST was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	rounds       = 7 // an edge machine is stopped and started again in each
	serviceCount = 12
	perSecond    = 140.0 // requests for each service
	longShare    = 0.03
)

func main() {
	r, err := newRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(run(r, os.Getenv("TROUBLE") != "0"))
}

func run(r *record, trouble bool) int {
	zones := []string{"zone-a", "zone-b"}
	d, err := newDeployment(3, 2, zones, r)
	if err != nil {
		r.add("can't run: %v", err)
		return 2
	}
	defer d.end()
	var names []string
	for i := range serviceCount {
		names = append(names, fmt.Sprintf("service-%d", i+1))
		for k := range 2 {
			s := &server{id: fmt.Sprintf("i-%08x", 0x7f3a9100+16*i+k), service: names[i], zone: zones[k], record: r, addr: fmt.Sprintf("%s:%d", d.ip(100+i), portServer+k)}
			l, err := listen(s.addr)
			if err != nil {
				r.add("can't run: %v", err)
				return 2
			}
			go func() { _ = http.Serve(l, s) }()
			d.servers = append(d.servers, s)
		}
	}
	if err := d.servePlatform(); err != nil {
		r.add("can't run: %v", err)
		return 2
	}
	if err := d.startAll(); err != nil {
		r.add("can't run: %v", err)
		return 2
	}
	time.Sleep(time.Second)
	a, err := http.Post("http://"+d.cores[0].addr(portCtl)+"/-/Config.Replace", "application/json", bytes.NewReader(configuration(names)))
	if err != nil || a.StatusCode != http.StatusOK || !allReady(d) {
		r.add("can't run: the deployment didn't come up")
		return 2
	}
	r.add("all edge machines are ready, clients start: %d services of two servers, %.0f requests a second each", serviceCount, perSecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, name := range names {
		clients.Go(func() { clientsOf(r, d, name, stop) })
	}
	time.Sleep(4 * time.Second)
	var stops []stopped
	for i := range rounds {
		m := d.edges[i%len(d.edges)]
		if trouble {
			stops = append(stops, stopped{m, r.now()})
			if err := d.restart(m); err != nil {
				r.add("can't run: %v", err)
				return 2
			}
		}
		if time.Sleep(time.Second); !allReady(d) {
			r.add("can't run: %s is not ready", m.name)
			return 2
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	return judge(r, stops)
}

// stopped is a SIGTERM to an edge machine.
type stopped struct {
	edge *machine
	at   float64
}

// isPlannedWork reports whether a request was sent to a machine in the 3 s after its SIGTERM.
func isPlannedWork(q *request, stops []stopped) bool {
	for _, s := range stops {
		if q.edge == s.edge && q.sentAt > s.at && q.sentAt < s.at+3 {
			return true
		}
	}
	return false
}

// clientsOf sends a service's requests at random times until stop is closed.
func clientsOf(r *record, d *deployment, service string, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}, Timeout: deadline}
	var failed sync.Map // when a new connection to a machine last failed; such a machine is left out for a second
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), path: "/list/all", edge: d.edges[rand.IntN(len(d.edges))]}
		if at, ok := failed.Load(q.edge); ok && r.now()-at.(float64) < 1 {
			q.edge = d.edges[(slices.Index(d.edges, q.edge)+1)%len(d.edges)]
		}
		if q.long = rand.Float64() < longShare; q.long {
			q.path = "/view/report"
		}
		open.Go(func() {
			if !send(c, r, q, service+".example") {
				failed.Store(q.edge, r.now())
			}
		})
	}
}

// judge counts the requests that a proxy broke off at a server at work, after its SIGTERM, and answered itself.
func judge(r *record, stops []stopped) int {
	answers, lost, others := map[string]int{}, []*request{}, 0
	requests.Range(func(_, v any) bool {
		q := v.(*request)
		kind := "short "
		if q.long {
			kind = "long "
		}
		answers[kind+q.answer]++
		failed := strings.HasPrefix(q.answer, "the proxy's own 50") && !strings.HasSuffix(q.answer, "503")
		switch {
		case !failed || q.cutAt == 0:
		case isPlannedWork(q, stops):
			lost = append(lost, q)
		default:
			others++
		}
		return true
	})
	for what, n := range answers {
		r.add("%s: %d times", what, n)
	}
	r.add("requests broken off and answered by their proxy itself: %d sent in the 3 s after its SIGTERM, %d at other times", len(lost), others)
	for _, q := range lost[:min(3, len(lost))] {
		r.add("request %s, sent at %.3f s:\n             %s", q.id, q.sentAt, strings.Join(q.story, "\n             "))
	}
	if len(lost) > 0 {
		r.add("LOST broken")
		return 1
	}
	r.add("LOST held")
	return 0
}

// allReady waits until every edge machine says that it is ready, for 15 s at most.
func allReady(d *deployment) bool {
	c := &http.Client{Timeout: time.Second}
	for range 75 {
		ready := 0
		for _, m := range d.edges {
			if a, err := c.Get("http://" + m.addr(portReadyz) + "/-/readyz"); err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.edges) {
			time.Sleep(2 * time.Second)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
