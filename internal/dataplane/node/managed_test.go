package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/sim"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const managedConfiguration = `{"gen":"r1","routes":[
{"name":"g","host":"h.example","prefix":"/get/","kind":"idempotent","timeout_ms":2000,"target_ms":800,"backend":"x","tries":3},
{"name":"a","host":"h.example","prefix":"/act/","kind":"mutating","timeout_ms":2000,"target_ms":800,"backend":"x","tries":3},
{"name":"p","host":"h.example","prefix":"/open/","kind":"mutating","timeout_ms":2000,"target_ms":800,"backend":"x","public":true}],
"backends":[{"name":"x"}],"tenants":[{"name":"t","api_keys":["k1"]}]}`

// serverBehavior handles a request at a test server. It returns false if the connection is to be closed.
type serverBehavior = func(c net.Conn, r *standin.Request) bool

// managedFixture runs a managed proxy with three servers of one service, in virtual time.
type managedFixture struct {
	*ManagedNode
	t       *testing.T
	net     *sim.Net
	stop    context.CancelFunc
	ended   chan error
	servers []serverlist.Entry

	mu        sync.Mutex
	behaviors []serverBehavior // one per attempt; the last one repeats
	received  []*standin.Request
	failures  []verdict.Verdict // of requests that the proxy failed
}

// runManaged runs a test with a managedFixture. With revoked set, the proxy enforces the revocation of keys.
func runManaged(t *testing.T, revoked bool, test func(r *managedFixture)) {
	runManagedIn(t, revoked, func(n *sim.Net) world.World { return n }, test)
}

// runManagedIn is runManaged with another world for the proxy.
func runManagedIn(t *testing.T, revoked bool, in func(n *sim.Net) world.World, test func(r *managedFixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := &managedFixture{t: t, net: sim.New(1), ended: make(chan error, 1)}
		r.net.Set(sim.Faults{Least: time.Millisecond, Most: 3 * time.Millisecond})
		for i := range 3 {
			raw, err := standin.ServeRaw(r.net, "127.0.0.1:0", r.serve)
			assert.NilError(t, err)
			defer raw.Close()
			r.servers = append(r.servers, serverlist.Entry{ID: fmt.Sprint("i-", i), Service: "x", Address: raw.Addr(), Zone: "a", Slots: 9})
		}
		var err error
		r.ManagedNode, err = NewManagedNode(ManagedConfig{Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Zone: "a", Region: "r", Seed: 1, Sockets: 100,
			World: in(r.net), Regions: map[string]string{"a": "r"}, Grace: 6 * time.Second, EnforceRevocation: revoked,
			RevocationLimit: 5 * time.Second, RetryRatio: 10, RetrySlack: 100,
			OnRequestFailed: func(_ string, why verdict.Verdict) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.failures = append(r.failures, why)
			}})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		r.stop = stop
		go func() { r.ended <- r.Run(ctx) }()
		defer func() {
			stop()
			assert.Check(t, <-r.ended)
		}()
		test(r)
	})
}

func (r *managedFixture) applyConfiguration() {
	p, err := routeconfig.Parse([]byte(managedConfiguration))
	assert.NilError(r.t, err)
	r.SetConfiguration(p)
}

// configure sets the configuration, the servers and the peers.
func (r *managedFixture) configure() {
	r.applyConfiguration()
	r.SetServers(1, r.servers)
	r.SetPeers(0, 1, 0, []netip.AddrPort{{}}, nil)
}

func (r *managedFixture) serve(c net.Conn, q *standin.Request) bool {
	r.mu.Lock()
	behave := r.behaviors[min(len(r.received), len(r.behaviors)-1)]
	r.received = append(r.received, q)
	r.mu.Unlock()
	return behave(c, q)
}

func (r *managedFixture) receivedRequests() []*standin.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

// respond answers a request with its id and further fields.
func respond(status, fields, body string) serverBehavior {
	return func(c net.Conn, q *standin.Request) bool {
		return standin.Answer(status, "Attempt-Id: "+q.Header.Get("Attempt-Id")+"\r\n"+fields, body)(c, q)
	}
}

// respondRaw writes a text in which ID stands for the request's id, and closes the connection.
func respondRaw(text string) serverBehavior {
	return func(c net.Conn, q *standin.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", q.Header.Get("Attempt-Id")))
		return false
	}
}

// reset breaks the connection with a TCP reset.
func reset(c net.Conn, _ *standin.Request) bool {
	_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
	return false
}

const sealField = "Server-Seal: s\r\n"

var (
	servedAnswer      = respond("200 OK", sealField, "yes")
	notRunAnswer      = respond("503 Busy", "Not-Executed: 1\r\n", "no")
	misdirectedAnswer = respond("421 Misdirected", "", "no")
	foreignAnswer     = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: o\r\nContent-Length: 5\r\n\r\nwrong"
)

// timedAnswer is an answer with the time that it took.
type timedAnswer struct {
	*http.Response
	body string
	took time.Duration
}

var nextAttemptID int

// requestText returns the bytes of a client's request with a new id.
func requestText(path, fields string) string {
	nextAttemptID++
	method := "POST"
	if strings.HasPrefix(path, "/get/") {
		method = "GET"
	}
	if !strings.Contains(fields, "X-Api-Key") {
		fields += "X-Api-Key: k1\r\n"
	}
	if !strings.Contains(fields, "Deadline-Ms") {
		fields += "Deadline-Ms: 1500\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id%d\r\n%sContent-Length: 4\r\n\r\nbody", method, path, nextAttemptID, fields)
}

func (r *managedFixture) dial() net.Conn {
	c, err := r.net.Dial(r.t.Context(), "tcp", r.Addr().String())
	assert.NilError(r.t, err)
	return c
}

// readAnswer reads the next complete answer.
func (r *managedFixture) readAnswer(c net.Conn) *timedAnswer {
	began := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(r.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	return &timedAnswer{resp, string(body), time.Since(began)}
}

// request sends a request on a new connection and returns the answer.
func (r *managedFixture) request(path, fields string) *timedAnswer {
	c := r.dial()
	defer c.Close()
	_, err := io.WriteString(c, requestText(path, fields))
	assert.NilError(r.t, err)
	return r.readAnswer(c)
}

// A client gets a success only if it is a server's complete answer to this very request, and a 503 only if the request has not
// run. A request that may run only once is not sent again if it may have run.
func TestManagedAnswers(t *testing.T) {
	sealed := "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: s\r\n"
	for name, c := range map[string]struct {
		path      string
		behaviors []serverBehavior
		status    int
		attempts  int
	}{
		"served":               {"/act/", []serverBehavior{servedAnswer}, 200, 1},
		"foreign answer first": {"/act/", []serverBehavior{respondRaw(foreignAnswer + sealed + "Content-Length: 3\r\n\r\nyes")}, 200, 1},
		"foreign answer only":  {"/act/", []serverBehavior{respondRaw(foreignAnswer)}, 502, 1},
		"endless foreign ones": {"/act/", []serverBehavior{respondRaw(strings.Repeat(foreignAnswer, 9) + sealed + "Content-Length: 3\r\n\r\nyes")}, 502, 1},
		"no seal":              {"/act/", []serverBehavior{respond("200 OK", "", "no")}, 502, 1},
		"two seals":            {"/act/", []serverBehavior{respond("200 OK", sealField+sealField, "no")}, 502, 1},
		"no seal, repeatable":  {"/get/", []serverBehavior{respond("200 OK", "", "no"), servedAnswer}, 200, 2},
		"encoded":              {"/act/", []serverBehavior{respond("200 OK", sealField+"Content-Encoding: gzip\r\n", "no")}, 502, 1},
		"cut short":            {"/act/", []serverBehavior{respondRaw(sealed + "Content-Length: 9\r\n\r\nno")}, 502, 1},
		"cut in a chunk":       {"/act/", []serverBehavior{respondRaw(sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nno")}, 502, 1},
		"cut short always":     {"/get/", []serverBehavior{respondRaw(sealed + "Content-Length: 9\r\n\r\nno")}, 502, 3},
		"no length":            {"/act/", []serverBehavior{respondRaw(sealed + "\r\nno")}, 502, 1},
		"no answer":            {"/act/", []serverBehavior{respondRaw("no")}, 502, 1},
		"reset":                {"/act/", []serverBehavior{reset, servedAnswer}, 502, 1},
		"reset, repeatable":    {"/get/", []serverBehavior{reset, servedAnswer}, 200, 2},
		"not run":              {"/act/", []serverBehavior{notRunAnswer, servedAnswer}, 200, 2},
		"misdirected":          {"/act/", []serverBehavior{misdirectedAnswer, misdirectedAnswer, servedAnswer}, 200, 3},
		"never run":            {"/act/", []serverBehavior{notRunAnswer, misdirectedAnswer, notRunAnswer, servedAnswer}, 503, 3},
		"not run, then reset":  {"/act/", []serverBehavior{notRunAnswer, reset, servedAnswer}, 502, 2},
		"failed":               {"/act/", []serverBehavior{respond("500 Failed", sealField, "oh"), servedAnswer}, 500, 1},
		"failed, repeatable":   {"/get/", []serverBehavior{respond("500 Failed", sealField, "oh"), servedAnswer}, 200, 2},
		"failed, then not run": {"/get/", []serverBehavior{respond("500 Failed", sealField, "oh"), notRunAnswer}, 500, 3},
		"503, may have run":    {"/act/", []serverBehavior{respond("503 Busy", sealField, "no"), servedAnswer}, 502, 1},
		"its own 404":          {"/act/", []serverBehavior{respond("404 Not Found", sealField, "no")}, 404, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				r.behaviors = c.behaviors
				r.configure()
				a := r.request(c.path+"a?q=1", "")
				assert.Equal(t, a.StatusCode, c.status, a.body)
				assert.Equal(t, len(r.receivedRequests()), c.attempts)
				r.mu.Lock()
				assert.Assert(t, (c.status == 502) == (len(r.failures) == 1) && (len(r.failures) == 0 || !r.failures[0].RunState().NeverRan()), "%v", r.failures)
				r.mu.Unlock()
				assert.Equal(t, a.StatusCode == 200, a.body == "yes")
				assert.Equal(t, a.StatusCode == 503, a.Header.Get("Retry-After") != "")
				if ours := c.status == 502 || c.status == 503; !ours {
					assert.Equal(t, a.Header.Get(fieldSeal), "s")
					assert.Equal(t, a.Header.Get(fieldID), r.receivedRequests()[0].Header.Get(fieldID))
				}
			})
		})
	}
}

// Forwarded requests and answers keep their end-to-end fields and lose hop-by-hop fields. API keys are not forwarded.
func TestManagedForwardsFields(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{respond("200 OK", sealField+"Connection: x-inner\r\nX-Inner: 1\r\nKeep-Alive: timeout=5\r\nServer-Load: 1,0,9\r\nX-Out: 1\r\n", "yes")}
		r.configure()
		a := r.request("/act/a?q=%20&r", "Tenant: evil\r\nConnection: x-mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\nKeep-Alive: 1\r\n"+
			"Proxy-Authorization: x\r\nTarget-Instance: i-9\r\nExpect: 100-continue\r\nX-Other: 1\r\n")
		assert.Equal(t, a.StatusCode, 200)
		q := r.receivedRequests()[0]
		assert.Equal(t, q.Method+q.RequestURI+q.Content, "POST/act/a?q=%20&rbody")
		assert.DeepEqual(t, q.Header["Tenant"], []string{"t"})
		assert.Equal(t, q.Host+q.Header.Get("X-Other"), "h.example1")
		assert.Equal(t, len(q.Header["Target-Instance"]), 1)
		ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
		assert.Assert(t, ms > 1300 && ms <= 1500, "the server got a deadline of %d ms, of 1500", ms)
		assert.Assert(t, q.Header.Get("Target-Instance") != "i-9")
		for _, f := range []string{"X-Api-Key", "X-Mine", "Te", "Keep-Alive", "Connection", "Proxy-Authorization", "Expect"} {
			assert.Equal(t, len(q.Header[f]), 0, f)
		}
		assert.Equal(t, a.Header.Get("X-Out"), "1")
		for _, f := range []string{"X-Inner", "Keep-Alive", "Connection", "Server-Load"} {
			assert.Equal(t, len(a.Header[f]), 0, f)
		}
		r.request("/open/a", "Tenant: evil\r\nX-Api-Key: nobody's\r\n")
		q = r.receivedRequests()[1]
		assert.Equal(t, len(q.Header["Tenant"])+len(q.Header["X-Api-Key"]), 0)
	})
}

// Before a proxy is configured, and while control's statements are stale, it refuses requests with 503 instead of rejecting them.
func TestManagedRefusesUntilConfigured(t *testing.T) {
	runManaged(t, true, func(r *managedFixture) {
		r.behaviors = []serverBehavior{servedAnswer}
		expect := func(key, path string, status int) {
			t.Helper()
			a := r.request(path, "X-Api-Key: "+key+"\r\n")
			assert.Equal(t, a.StatusCode, status, "%s %s: %s", key, path, a.body)
			assert.Equal(t, status == 503, a.Header.Get("Retry-After") != "")
		}
		for _, path := range []string{"/act/", "/none/"} {
			expect("k1", path, 503)
			expect("k2", path, 503)
		}
		r.applyConfiguration()
		r.SetServers(1, r.servers)
		expect("", "/open/", 503) // its share of quotas and budgets is unknown
		assert.Equal(t, len(r.receivedRequests()), 0)
		r.configure()
		for range 2 {
			assert.Assert(t, !r.Ready())
			expect("k1", "/act/", 503)
			expect("k2", "/act/", 503)
			expect("k1", "/open/", 503)
			expect("", "/open/", 200)
			r.ConfirmConfiguration(3 * time.Second)
			assert.Assert(t, r.Ready())
			expect("k1", "/act/", 200)
			expect("k2", "/act/", 401)
			expect("k1", "/none/", 404)
			r.ConfirmConfiguration(4 * time.Second) // an older confirmation changes nothing
			time.Sleep(time.Second)
			expect("k1", "/act/", 200)
			time.Sleep(time.Second) // the 5 s of RevocationLimit are over
		}
		r.ConfirmConfiguration(0)
		expect("k1", "/act/", 200)
	})
}

// A planned stop interrupts no client: requests in flight are answered completely, and each answer closes its connection.
func TestManagedStop(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{servedAnswer, func(c net.Conn, q *standin.Request) bool {
			time.Sleep(1200 * time.Millisecond)
			return servedAnswer(c, q)
		}, servedAnswer}
		r.configure()
		assert.Assert(t, r.Ready())
		slow, idle := r.dial(), r.dial()
		send := func(c net.Conn) {
			_, err := io.WriteString(c, requestText("/act/", ""))
			assert.NilError(t, err)
		}
		send(idle)
		assert.Assert(t, !r.readAnswer(idle).Close)
		send(slow)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		r.stop()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, !r.Ready())
		a := r.request("/act/", "") // a client that does not know about the stop yet
		assert.Assert(t, a.StatusCode == 200 && a.Close)
		a = r.readAnswer(slow)
		assert.Assert(t, a.StatusCode == 200 && a.body == "yes" && a.Close)
		_, err := idle.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		r.ended <- <-r.ended
		assert.Assert(t, time.Since(began) < 6*time.Second)
	})
}

// A client connection may be idle for the configured time, before its first request and between requests, and is closed then.
// A request that has begun has its own timeout.
func TestConnectionsMayStayIdle(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{servedAnswer}
		r.configure()
		p, err := routeconfig.Parse([]byte(strings.Replace(managedConfiguration, `"gen":"r1",`, `"gen":"r2","limits":{"idle_timeout_ms":20000,"header_timeout_ms":700},`, 1)))
		assert.NilError(t, err)
		r.SetConfiguration(p)
		c := r.dial()
		defer c.Close()
		for range 3 {
			time.Sleep(16 * time.Second)
			_, err := io.WriteString(c, requestText("/act/", ""))
			assert.NilError(t, err)
			assert.Equal(t, r.readAnswer(c).StatusCode, 200)
		}
		for _, bytes := range []string{"", "GET /get/"} {
			c, began := r.dial(), time.Now()
			_, err := io.WriteString(c, bytes)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, c)
			took := time.Since(began)
			assert.Assert(t, bytes == "" && took > 19*time.Second && took < 21*time.Second || bytes != "" && took < 2*time.Second, "%q: %v", bytes, took)
			c.Close()
		}
	})
}
