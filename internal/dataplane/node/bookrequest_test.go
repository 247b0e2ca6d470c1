package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const townKey, tinyKey = "ppk_towntowntowntowntowntowntowntown", "ppk_tinytinytinytinytinytinytinytiny"

func bookRoutes() []routebook.Route {
	one := routebook.Units{Base: 1, Most: 6}
	return []routebook.Route{
		{Operation: "search", Method: "GET", Template: "/v1/holdings", Class: "lookup", Repeat: routebook.Safe, Units: one, Place: "f:1"},
		{Operation: "head", Method: "HEAD", Template: "/v1/holdings", Class: "lookup", Repeat: routebook.Safe, Units: one, Place: "f:2"},
		{Operation: "place", Method: "POST", Template: "/v1/loans", Class: "loan", Repeat: routebook.Keyed, Units: one, Place: "f:3"},
		{Operation: "end", Method: "DELETE", Template: "/v1/loans/{id}", Class: "loan", Units: one, Place: "f:4"},
	}
}

// newTestTable compiles a book for the test settings; change, if set, adjusts its routes and options.
func newTestTable(t testing.TB, cfg *Config, revision string, change func(list []routebook.Route, o *routing.Options) []routebook.Route) *routing.Table {
	t.Helper()
	list, o := bookRoutes(), routing.Options{ExposeRouting: true}
	if change != nil {
		list = change(list, &o)
	}
	b, err := routebook.Compile(revision, list)
	if err != nil {
		t.Fatal(err)
	}
	b.Keys = []routebook.KeyPlace{{In: "header", Name: "X-Api-Key"}, {In: "query", Name: "api_key"}, {In: "cookie", Name: "session"}}
	salt := keyring.Salt("0123456789abcdef")
	libraries := []keyring.Library{{Number: "0000000000000001", Plan: "town", Spread: 1}, {Number: "0000000000000002", Plan: "tiny", Spread: 1}}
	ring, _, err := keyring.New(salt, []keyring.Entry{{Hash: keyring.HashOf(salt, townKey), Library: libraries[0]}, {Hash: keyring.HashOf(salt, tinyKey), Library: libraries[1]}})
	if err != nil {
		t.Fatal(err)
	}
	tab, err := routing.NewTable(&cfg.Settings, b, ring, libraries, o)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// writeAnswer writes an answer, without its body if the request is HEAD.
func writeAnswer(c net.Conn, r *standin.Request, status, fields, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, fields, len(body))
	if r.Method != "HEAD" {
		text += body
	}
	_, err := c.Write([]byte(text))
	return err == nil
}

// setRoutes makes the table the current one.
func (r *runningNode) setRoutes(tab *routing.Table) {
	t := r.Tuning()
	t.Routes = tab
	r.Tune(t)
}

// newClientRequest returns a request as ordinary clients send it: with an API key and without protocol fields.
func newClientRequest(method, url, body string, fields ...string) *http.Request {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Api-Key", townKey)
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	return r
}

// An ordinary client only needs its API key. The servers get the fields of the protocol, and no key.
func TestOrdinaryClient(t *testing.T) {
	var mu sync.Mutex
	var seen []*standin.Request
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		mu.Lock()
		seen = append(seen, r)
		mu.Unlock()
		return writeAnswer(c, r, "200 OK", "Content-Type: text/plain\r\n", "answer")
	})
	n := startNodeFor(t, app.Addr())
	n.setRoutes(newTestTable(t, n.cfg, "rev1", func(l []routebook.Route, o *routing.Options) []routebook.Route {
		o.ForwardFields = []string{"Accept-Language"}
		return l
	}))
	last := func() *standin.Request {
		mu.Lock()
		defer mu.Unlock()
		return seen[len(seen)-1]
	}
	resp, body := sendTestRequest(t, newClientRequest("GET", n.url+"/v1/holdings?api_key="+townKey+"&q=x", "", "Cookie", "session="+townKey+"; a=b", "Accept-Language", "ro", "Authorization", "Bearer x"))
	if resp.StatusCode != 200 || body != "answer" || resp.Header.Get(routing.BookField) != "rev1" || resp.Header.Get(routing.UnitsField) != "1" {
		t.Fatalf("%d %q %v", resp.StatusCode, body, resp.Header)
	}
	r := last()
	if text := fmt.Sprintf("%s %v", r.URL, r.Header); strings.Contains(text, "ppk_") || r.URL.String() != "/v1/holdings?q=x" {
		t.Errorf("forwarded request: %s", text)
	}
	if r.Header.Get("X-Request-Id") == "" || r.Header.Get("X-Class") != "lookup" || r.Header.Get("Accept-Language") != "ro" ||
		r.Header.Get("Authorization") != "" || r.Header.Get(routing.OperationField) != "search" {
		t.Errorf("forwarded fields: %v", r.Header)
	}
	first := r.Header.Get("X-Request-Id")
	sendTestRequest(t, newClientRequest("GET", n.url+"/v1/holdings", ""))
	if again := last().Header.Get("X-Request-Id"); again == first || len(again) != 32 {
		t.Errorf("ids %q, %q", first, again)
	}
	sendTestRequest(t, newClientRequest("POST", n.url+"/v1/loans", "book=7", "X-Request-Id", "mine", "Idempotency-Key", "k1"))
	if r := last(); r.Header.Get("X-Request-Id") != "mine" || r.Header.Get("Idempotency-Key") != "k1" || r.Content != "book=7" {
		t.Errorf("%v %q", r.Header, r.Content)
	}
	sendTestRequest(t, newClientRequest("DELETE", n.url+"/v1/loans/7", ""))
	if r := last(); r.Method != "DELETE" || r.URL.Path != "/v1/loans/7" {
		t.Errorf("%s %s", r.Method, r.URL)
	}
	// Answers to HEAD have a length and no body, from server and proxy, and the connections stay open.
	for range 3 {
		resp, body = sendTestRequest(t, newClientRequest("HEAD", n.url+"/v1/holdings", ""))
		if resp.StatusCode != 200 || body != "" {
			t.Errorf("HEAD: %d %q", resp.StatusCode, body)
		}
	}
	n.setRoutes(newTestTable(t, n.cfg, "rev2", func(l []routebook.Route, o *routing.Options) []routebook.Route {
		o.ForwardKeys, o.ExposeRouting = true, false
		return l
	}))
	resp, _ = sendTestRequest(t, newClientRequest("GET", n.url+"/v1/holdings?api_key="+townKey, "", "Cookie", "session="+townKey+"; a=b"))
	if r := last(); r.Header.Get("X-Api-Key") != townKey || r.URL.RawQuery != "api_key="+townKey || r.Header.Get("Cookie") != "session="+townKey {
		t.Errorf("with keys passed on: %s %v", r.URL, r.Header)
	}
	if resp.Header.Get(routing.BookField) != "" {
		t.Error("the answer names the book although that is disabled")
	}
}

// Invalid requests are answered at once, without an attempt and without use of a quota.
func TestRejectedRequests(t *testing.T) {
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool { return writeAnswer(c, r, "200 OK", "", "x") })
	n := startNodeFor(t, app.Addr())
	n.setRoutes(newTestTable(t, n.cfg, "rev1", nil))
	for _, c := range []struct {
		r      *http.Request
		status int
		field  string
		value  string
	}{
		{newClientRequest("GET", n.url+"/v1/holdings", "", "X-Api-Key", "wrong"), 401, "WWW-Authenticate", "ApiKey"},
		{newClientRequest("GET", n.url+"/v1/holdings?api_key="+tinyKey, ""), 400, "", ""}, // and another customer's key in the header
		{newClientRequest("GET", n.url+"/nothing", ""), 404, "", ""},
		{newClientRequest("PUT", n.url+"/v1/loans/4", ""), 405, "Allow", "DELETE"},
		{newClientRequest("GET", n.url+"/v1/holdings", "", "X-Class", "loan"), 400, "", ""},
		{newClientRequest("GET", n.url+"/v1/holdings", "body"), 400, "", ""},
	} {
		c.r.Close = true // one connection per request: repeated bad requests on one are slowed down
		resp, body := sendTestRequest(t, c.r)
		if resp.StatusCode != c.status || c.field != "" && resp.Header.Get(c.field) != c.value {
			t.Errorf("%s %s: %d %v %q, want %d", c.r.Method, c.r.URL, resp.StatusCode, resp.Header, body, c.status)
		}
	}
	if app.Seen.Load() != 0 {
		t.Errorf("%d attempts", app.Seen.Load())
	}
	n.setRoutes(nil)
	if resp, _ := sendTestRequest(t, newTestRequest(n.url, "lookup", time.Second)); resp.StatusCode != 200 {
		t.Errorf("without a book again: %d", resp.StatusCode)
	}
}

// A request that must not run twice is not retried once it may have run, even if its class allows it. Safe and keyed requests
// are retried.
func TestNeverRunsTwice(t *testing.T) {
	var mu sync.Mutex
	count := map[string]int{}
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if count[r.Header.Get("X-Request-Id")]++; count[r.Header.Get("X-Request-Id")] == 1 {
			return writeAnswer(c, r, "500 Internal Server Error", "", "")
		}
		return writeAnswer(c, r, "200 OK", "", "x")
	})
	n := startNodeFor(t, app.Addr(), app.Addr())
	n.setRoutes(newTestTable(t, n.cfg, "rev1", nil))
	for _, c := range []struct {
		id, method, path string
		fields           []string
		status, sent     int
	}{
		{"a", "GET", "/v1/holdings", nil, 200, 2},
		{"b", "POST", "/v1/loans", []string{"Idempotency-Key", "k1"}, 200, 2},
		{"c", "POST", "/v1/loans", nil, 502, 1}, // without a key no server can detect a repeat
		{"d", "DELETE", "/v1/loans/4", []string{"Idempotency-Key", "k2"}, 502, 1},
	} {
		resp, _ := sendTestRequest(t, newClientRequest(c.method, n.url+c.path, "", append(c.fields, "X-Request-Id", c.id)...))
		mu.Lock()
		if resp.StatusCode != c.status || count[c.id] != c.sent {
			t.Errorf("%s %s: %d after %d attempts, want %d after %d", c.method, c.path, resp.StatusCode, count[c.id], c.status, c.sent)
		}
		mu.Unlock()
	}
}

// If a client uses an idempotency key under two revisions of the book, the stricter effect applies: here the operation must
// never be repeated by the first revision, and is keyed by the second.
func TestKeyUnderTwoRevisions(t *testing.T) {
	var mu sync.Mutex
	count := 0
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		mu.Lock()
		count++
		mu.Unlock()
		return writeAnswer(c, r, "500 Internal Server Error", "", "")
	})
	n := startNodeFor(t, app.Addr(), app.Addr())
	tryAs := func(class string, repeat routebook.Repeat, key string) int {
		n.setRoutes(newTestTable(t, n.cfg, fmt.Sprint("rev", class, repeat), func(l []routebook.Route, _ *routing.Options) []routebook.Route {
			l[2].Class, l[2].Repeat = class, repeat
			return l
		}))
		mu.Lock()
		count = 0
		mu.Unlock()
		sendTestRequest(t, newClientRequest("POST", n.url+"/v1/loans", "", "Idempotency-Key", key))
		mu.Lock()
		defer mu.Unlock()
		return count
	}
	try := func(repeat routebook.Repeat, key string) int { return tryAs("loan", repeat, key) }
	if sent := try(routebook.Keyed, "other"); sent < 2 {
		t.Fatalf("a keyed request was sent %d times: the test shows nothing", sent)
	}
	if sent := try(routebook.Never, "k"); sent != 1 {
		t.Errorf("a request that must not be repeated was sent %d times", sent)
	}
	if sent := try(routebook.Keyed, "k"); sent != 1 {
		t.Errorf("the client's retry, now keyed, was sent %d times", sent)
	}
	// The class changes. Only the old class determines which servers know the key, so the request must not be repeated.
	if sent := tryAs("lookup", routebook.Safe, "fresh"); sent < 2 {
		t.Fatalf("a safe request was sent %d times: the test shows nothing", sent)
	}
	if sent := tryAs("lookup", routebook.Safe, "other"); sent != 1 {
		t.Errorf("a retry of a keyed request, now of another class and safe, was sent %d times", sent)
	}
}

// A request that waits keeps its operation, key and cost even if its operation and its customer's key are removed meanwhile.
func TestHeldRequestKeepsItsRoute(t *testing.T) {
	release := make(chan struct{})
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		if r.Header.Get("X-Request-Id") == "first" {
			<-release
		}
		return writeAnswer(c, r, "200 OK", "", "x")
	})
	cfg := testConfig(t, newDiscoveryFixture(t, servingTarget("s-00000001", app.Addr())).Addr())
	cfg.Settings.Plans[0].MaxInFlight = 1 // the second waits for the first
	n := start(t, cfg)
	n.setRoutes(newTestTable(t, cfg, "rev1", nil))
	answers := make(chan *http.Response, 2)
	for i, id := range []string{"first", "second"} {
		r := newClientRequest("POST", n.url+"/v1/loans", "x", "X-Request-Id", id, "Idempotency-Key", id)
		go func() {
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Error(err)
				answers <- &http.Response{}
				return
			}
			resp.Body.Close()
			answers <- resp
		}()
		eventually(t, "the first is in flight, the second waits", func() bool { return n.openRequests() == i+1 && app.Seen.Load() == 1 })
	}
	without := newTestTable(t, cfg, "rev2", func(l []routebook.Route, _ *routing.Options) []routebook.Route { return l[:2] })
	withdrawn, err := routing.NewTable(&cfg.Settings, without.Book, nil, nil, without.Options) // without any key
	if err != nil {
		t.Fatal(err)
	}
	n.setRoutes(withdrawn)
	withOldKey := newClientRequest("GET", n.url+"/v1/holdings", "")
	withOldKey.Close = true
	if resp, _ := sendTestRequest(t, withOldKey); resp.StatusCode != 401 {
		t.Errorf("a new request with the withdrawn key: %d", resp.StatusCode)
	}
	removed := newClientRequest("POST", n.url+"/v1/loans", "x")
	removed.Close = true
	if resp, _ := sendTestRequest(t, removed); resp.StatusCode != 404 {
		t.Errorf("a new request for the operation that is removed: %d", resp.StatusCode)
	}
	close(release)
	for range 2 {
		if resp := <-answers; resp.StatusCode != 200 || resp.Header.Get(routing.BookField) != "rev1" {
			t.Errorf("%d under %s, want 200 under rev1", resp.StatusCode, resp.Header.Get(routing.BookField))
		}
	}
}

// openRequests returns the number of connections whose request is being processed.
func (r *runningNode) openRequests() (n int) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	for cc := range r.server.conns {
		if cc.state == connBusy {
			n++
		}
	}
	return n
}

// hasOpenRequest reports whether a request with this client id is open.
func (r *runningNode) hasOpenRequest(id string) (open bool) {
	done := make(chan struct{})
	r.loop.events <- func() {
		open = r.loop.requestsByClientID[id] != nil
		close(done)
	}
	<-done
	return open
}

// A request whose id equals that of an open request is answered by 409. The id may be used again once that one is answered.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	app := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		<-release
		return writeAnswer(c, r, "200 OK", "", "x")
	})
	n := startNodeFor(t, app.Addr())
	n.setRoutes(newTestTable(t, n.cfg, "rev1", nil))
	done := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newClientRequest("GET", n.url+"/v1/holdings", "", "X-Request-Id", "same"))
		if err != nil {
			done <- 0
			return
		}
		resp.Body.Close()
		done <- resp.StatusCode
	}()
	eventually(t, "the first is in flight", func() bool { return app.Seen.Load() == 1 })
	if resp, _ := sendTestRequest(t, newClientRequest("GET", n.url+"/v1/holdings", "", "X-Request-Id", "same")); resp.StatusCode != 409 {
		t.Errorf("the same id at once: %d", resp.StatusCode)
	}
	close(release)
	if status := <-done; status != 200 {
		t.Errorf("the first: %d", status)
	}
	if resp, _ := sendTestRequest(t, newClientRequest("GET", n.url+"/v1/holdings", "", "X-Request-Id", "same")); resp.StatusCode != 200 {
		t.Errorf("the same id afterwards: %d", resp.StatusCode)
	}
}
