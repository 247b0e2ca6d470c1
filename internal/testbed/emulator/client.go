package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"pepperfall.example/pepperfall/api"
)

// Clients send requests from all zones.
type Clients struct {
	o      *Cluster
	crowds []*crowd
	stop   chan struct{}
	jobs   sync.WaitGroup

	mu    sync.Mutex
	word  *Word // by which they choose what to ask for
	rate  float64
	leave float64            // share of the clients that leave
	early time.Duration      // within so long after they have asked
	press map[string]float64 // by tenant: so many times its usual; missing: 1
	ids   int
	ended bool
}

// crowd is the clients of a zone.
type crowd struct {
	all          *Clients
	zone, region string
	process      Process
	http         *http.Client

	idle *purse // the open connections that its clients share

	mu     sync.Mutex
	list   []string
	until  time.Time
	asking bool
	failed map[string]time.Time
}

func newClients(o *Cluster) *Clients {
	c := &Clients{o: o, stop: make(chan struct{}), rate: o.layout.Rate}
	for i, z := range o.layout.Zones {
		p := o.ground.Machine(o.ground.IP(ClientMachine, i, 0), z.Name, z.Region).Start()
		c.crowds = append(c.crowds, &crowd{all: c, zone: z.Name, region: z.Region, process: p, idle: newPurse(), failed: map[string]time.Time{},
			http: &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableKeepAlives: true}}})
	}
	return c
}

// Start lets requests come.
func (c *Clients) Start() {
	for _, w := range c.crowds {
		c.jobs.Go(w.come)
	}
}

// Stop ends the traffic and waits for the last answers.
func (c *Clients) Stop() {
	c.mu.Lock()
	if !c.ended {
		c.ended = true
		close(c.stop)
	}
	c.mu.Unlock()
	c.jobs.Wait()
}

// SetRate changes how many requests come in a second.
func (c *Clients) SetRate(perS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = perS
}

// Press has a tenant ask so many times as often as usual, the others as often as they do.
func (c *Clients) Press(tenant string, times float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.press == nil {
		c.press = map[string]float64{}
	}
	c.press[tenant] = times
}

// Leave has a share of the clients close their connections within a time after they have asked.
func (c *Clients) Leave(share float64, within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave, c.early = share, within
}

// leaves draws after what time a client leaves; 0: it stays.
func (c *Clients) leaves() time.Duration {
	c.mu.Lock()
	share, within := c.leave, c.early
	c.mu.Unlock()
	if share == 0 || c.o.chance() >= share {
		return 0
	}
	return max(1, time.Duration(c.o.chance()*float64(within)))
}

// pressed is how many times as much as usual all tenants ask for together.
func (c *Clients) pressed() float64 {
	if len(c.press) == 0 || c.word == nil {
		return 1
	}
	sum, now := 0.0, 0.0
	for _, t := range c.word.Tenants {
		sum, now = sum+or(t.Weight), now+or(t.Weight)*or(c.press[t.Name])
	}
	return now / sum
}

func (c *Clients) close() {
	for _, w := range c.crowds {
		w.process.Kill()
	}
}

// follow has the clients choose by a newer configuration.
func (c *Clients) follow(w *Word) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.word == nil || w.Gen > c.word.Gen {
		c.word = w
	}
}

// come begins requests at the clients' rate.
func (w *crowd) come() {
	w.where() // else those who come together at first find one asking dir, and no proxy
	for {
		w.all.mu.Lock()
		rate := w.all.rate * w.all.pressed() / float64(len(w.all.crowds))
		w.all.mu.Unlock()
		wait := time.Duration(-math.Log(1-w.all.o.chance()) / max(rate, 0.001) * float64(time.Second))
		select {
		case <-time.After(min(wait, time.Second)):
		case <-w.all.stop:
			return
		}
		if wait <= time.Second {
			w.all.jobs.Go(func() { w.ask(w.all.draw()) })
		}
	}
}

// wish is what a client wants.
type wish struct {
	route  Route
	method string
	path   string
	key    string
	body   string
}

// draw chooses a route and a tenant by their weights.
func (c *Clients) draw() wish {
	c.mu.Lock()
	word, press := c.word, maps.Clone(c.press)
	c.mu.Unlock()
	r := weighed(word.Routes, c.o.chance(), func(r Route) float64 { return r.Weight })
	x := wish{route: r, method: "GET", path: fmt.Sprintf("%s%d?q=%d", r.Prefix, c.o.pick(1000), c.o.pick(10))}
	if r.Kind == "mutating" || c.o.chance() < 0.1 {
		x.method, x.body = "POST", fmt.Sprintf("body %d of %s", c.o.pick(1_000_000), r.Name)
	}
	if more := c.o.long(); more != "" {
		x.method, x.body = "POST", x.body+more
	}
	if len(word.Tenants) > 0 {
		t := weighed(word.Tenants, c.o.chance(), func(t Tenant) float64 { return or(t.Weight) * or(press[t.Name]) })
		x.key = t.Keys[c.o.pick(len(t.Keys))]
	}
	return x
}

func weighed[T any](all []T, at float64, weight func(T) float64) T {
	sum := 0.0
	for _, x := range all {
		sum += or(weight(x))
	}
	at *= sum
	for _, x := range all {
		if at -= or(weight(x)); at < 0 {
			return x
		}
	}
	return all[len(all)-1]
}

func or(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}

// Tries of a client.
const (
	mostTries  = 4
	leastLeft  = 50 * time.Millisecond
	againAfter = 60 * time.Millisecond
)

// ask sends a request, and sends it again as clients do.
func (w *crowd) ask(x wish) {
	until := time.Now().Add(time.Duration(x.route.Timeout) * time.Millisecond)
	var first *Request
	for range mostTries {
		addr := w.where()
		if addr == "" {
			w.all.o.Book.homeless(x)
			return
		}
		q := w.all.request(w, x, addr, time.Until(until), first)
		first = cmp.Or(first, q)
		end := w.try(q, w.idle, w.all.o.chance() >= 0.7)
		wait, again := w.again(q, end, until)
		if !again || w.all.o.Book.hasLeft(q) {
			return
		}
		time.Sleep(wait)
	}
}

// again tells whether a client sends a request once more after a try, and after what pause.
func (w *crowd) again(q *Request, end ending, until time.Time) (wait time.Duration, yes bool) {
	if end.node {
		w.mu.Lock()
		w.failed[q.Proxy.Front()] = time.Now()
		w.mu.Unlock()
	}
	wait = againAfter
	switch {
	case q.Status/100 == 2, denied(q.Status):
		return 0, false
	case promised(q.Status):
		wait = min(max(wait, end.retryAfter), time.Until(until)/3)
	case q.Kind == "mutating" && !end.unread:
		return 0, false
	}
	return wait, time.Until(until) >= wait+leastLeft
}

// promised tells whether a status says that the request has not run and never will.
func promised(status int) bool { return slices.Contains([]int{429, 503, 408, 421}, status) }

// denied tells whether a status says that it is of no use to send the request again.
func denied(status int) bool { return slices.Contains([]int{400, 401, 404, 413, 431}, status) }

// request notes a try that begins.
func (c *Clients) request(w *crowd, x wish, addr string, left time.Duration, first *Request) *Request {
	c.mu.Lock()
	c.ids++
	id := fmt.Sprintf("9c41d07b%08x", c.ids)
	c.mu.Unlock()
	q := &Request{ID: id, Host: x.route.Host, Path: x.path, Method: x.method, Key: x.key, Body: x.body, Kind: x.route.Kind,
		Zone: w.zone, Region: w.region, Proxy: c.o.at(addr), Deadline: left,
		First: first, Route: x.route.Name, Aim: time.Duration(x.route.Target) * time.Millisecond}
	c.o.Book.sent(q)
	return q
}

// at is the node that clients reach at an address.
func (o *Cluster) at(addr string) *Node {
	for _, n := range o.Edges() {
		if address(n.machine.IP(), portHTTP) == addr {
			return n
		}
	}
	return nil
}

// Probe sends one request straight to a proxy, with a key, to a path of a host; it tells the answer's status.
func (c *Clients) Probe(n *Node, host, path, key string) (status int) {
	x := wish{route: Route{Host: host, Timeout: 900, Kind: "idempotent"}, method: "GET", path: path, key: key}
	q := c.request(c.crowds[0], x, address(n.machine.IP(), portHTTP), time.Duration(x.route.Timeout)*time.Millisecond, nil)
	c.o.Book.probe(q)
	c.crowds[0].try(q, c.crowds[0].idle, true)
	return q.Status
}

// where picks a proxy, asking dir when the last answer is old; it waits for that only where there is none.
func (w *crowd) where() string {
	w.mu.Lock()
	list, old := w.list, time.Now().After(w.until) && !w.asking
	w.asking = w.asking || old
	w.mu.Unlock()
	switch {
	case old && len(list) > 0:
		w.all.jobs.Go(w.refresh)
	case old:
		w.refresh()
		w.mu.Lock()
		list = w.list
		w.mu.Unlock()
	}
	if len(list) == 0 {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	good := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return time.Since(w.failed[a]) < 2*time.Second })
	if len(good) == 0 {
		good = list
	}
	return good[w.all.o.pick(len(good))]
}

// refresh asks dir, and leaves the proxies that the answer lacks.
func (w *crowd) refresh() {
	l := w.lookup()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking = false
	if l == nil {
		return
	}
	w.list, w.until = l.AddrList, time.Now().Add(time.Duration(min(l.TTLS, w.all.o.bounds.TTLMax.Seconds())*float64(time.Second)))
	w.idle.prune(w.list)
}

// Told are the addresses of the proxies that dir names to clients of a zone; nil: none answers.
func (c *Clients) Told(zone string) []string {
	for _, w := range c.crowds {
		if w.zone == zone {
			if l := w.lookup(); l != nil {
				return l.AddrList
			}
		}
	}
	return nil
}

// lookup asks up to three nodes that serve dir, near ones first.
func (w *crowd) lookup() *api.Lookup {
	cores := w.all.o.Cores()
	far := func(n *Node) int {
		switch {
		case n.Zone == w.zone:
			return 0
		case n.Region == w.region:
			return 1
		}
		return 2
	}
	for i := range cores { // those alike by chance
		j := w.all.o.pick(i + 1)
		cores[i], cores[j] = cores[j], cores[i]
	}
	slices.SortStableFunc(cores, func(a, b *Node) int { return far(a) - far(b) })
	for _, n := range cores[:min(3, len(cores))] {
		if l := w.lookupAt(n); l != nil {
			return l
		}
	}
	return nil
}

func (w *crowd) lookupAt(n *Node) *api.Lookup {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	at := url.URL{Scheme: "http", Host: address(n.machine.IP(), portDir), Path: api.DirLookup,
		RawQuery: url.Values{api.LookupName: {w.all.o.layout.Routes[0].Host}, api.LookupRegion: {w.region}, api.LookupZone: {w.zone}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil)
	if err != nil {
		return nil
	}
	res, err := w.http.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	l := &api.Lookup{}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(l) != nil || len(l.AddrList) == 0 || l.TTLS <= 0 {
		return nil
	}
	return l
}
