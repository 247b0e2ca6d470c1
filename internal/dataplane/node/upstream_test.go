package node

import (
	"fmt"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
	"pepperfall.example/pepperfall/policy"
)

// newTestUpstream makes an upstream that knows one app server, number 1.
func newTestUpstream(addr string) *upstream {
	u := &upstream{clock: newClock(world.Real{}), network: world.Real{}, dialTimeout: testTimeout, idleTimeout: time.Minute, maxConns: 10,
		drainGrace: 250 * time.Millisecond, loadFields: []string{"cpu", "rps"}, servers: map[policy.ServerID]*appServer{}}
	u.answerStall.Store(int64(defaultAnswerStall))
	u.update(&serverList{Targets: []target{servingTarget("s-00000001", addr)}}, true)
	return u
}

func (u *upstream) newAttempt(deadline time.Duration) (*attempt, func() (result, string)) {
	now := u.clock.now()
	a := &attempt{id: 7, server: 1, requestedAt: now, sendBy: now + deadline, repeatBy: now + deadline, deadline: now + deadline}
	return a, func() (result, string) {
		in := clientConn{input: messageReader{src: strings.NewReader("GET /lookup?q=1 HTTP/1.1\r\nHost: app.svc\r\n" +
			"X-Request-Id: 9b1f03aa5c7e2d41\r\n\r\n")}}
		if err := in.readRequest(); err != nil {
			panic(err)
		}
		r := u.do(a, &in.request)
		return r, r.body
	}
}

// The outcome of an attempt decides whether its request may be sent again or refused. An outcome that wrongly states
// that the request never ran would let an effect happen twice.
func TestOutcomes(t *testing.T) {
	raw := func(text string) func(net.Conn, *standin.Request) bool {
		return func(c net.Conn, _ *standin.Request) bool {
			_, _ = c.Write([]byte(text))
			return false
		}
	}
	stays := func(text string) func(net.Conn, *standin.Request) bool {
		return func(c net.Conn, _ *standin.Request) bool {
			_, _ = c.Write([]byte(text))
			return true
		}
	}
	for name, c := range map[string]struct {
		do   func(net.Conn, *standin.Request) bool
		want policy.Code
		kept bool // the connection stays open for reuse
	}{
		"served":            {standin.Answer("200 OK", "", "hits"), policy.OK, true},
		"served, then over": {standin.Answer("200 OK", "Connection: close\r\n", "hits"), policy.OK, false},
		"served in chunks": {func(c net.Conn, _ *standin.Request) bool {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n0\r\n\r\n"))
			return true
		}, policy.OK, true},
		"error":            {standin.Answer("500 No", "", ""), policy.Error, true},
		"declined":         {standin.Answer("503 No", "X-Not-Run: 1\r\n", ""), policy.Full, true},
		"declined, 504":    {standin.Answer("504 No", "X-Not-Run: 1\r\n", ""), policy.Full, true},
		"503 may have run": {standin.Answer("503 No", "", ""), policy.Error, true},
		"504 may have run": {standin.Answer("504 No", "X-Not-Run: 0\r\n", ""), policy.Error, true},
		"another 2xx":      {standin.Answer("202 Later", "", ""), policy.Error, true},
		"break":            {raw(""), policy.Reset, false},
		"break in headers": {raw("HTTP/1.1 200 OK\r\nContent-Le"), policy.Reset, false},
		"break in body":    {raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhits"), policy.Reset, false},
		"break in chunks":  {raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n"), policy.Reset, false},
		"no framing":       {raw("HTTP/1.1 200 OK\r\n\r\nhits"), policy.Reset, false},
		"not HTTP":         {raw("hello\r\n\r\n"), policy.Reset, false},
		// Broken answers on connections that stay open must be detected without waiting for the deadline.
		"noise":            {stays("\x88\xdb\xce@>4"), policy.Reset, false},
		"no number":        {stays("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"words swapped":    {stays("HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"long number":      {stays("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"another protocol": {stays("ICY 200 OK\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"no colon":         {stays("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"endless head":     {stays("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 4<<10)), policy.Reset, false},
		"two lengths":      {stays("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset, false},
		"negative length":  {stays("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhits"), policy.Reset, false},
		"3 GB":             {stays("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhits"), policy.Reset, false},
		"length in chunks": {stays("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nhits\r\n0\r\n\r\n"), policy.Reset, false},
		"bad chunk":        {stays("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"), policy.Reset, false},
		"shorter":          {stays("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhits"), policy.Reset, false},
		"half a head":      {stays("HTTP/1.1 200 OK\r\nContent-Le"), policy.Reset, false},
		"only 1xx":         {stays(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)), policy.Reset, false},
		"switched":         {stays("HTTP/1.1 101 Switching\r\n\r\n"), policy.Reset, false},
		// Valid answers with unexpected additional bytes.
		"1xx ahead":         {stays("HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits"), policy.OK, true},
		"a copy behind":     {stays(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits", 2)), policy.OK, false},
		"noise behind":      {stays("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits\x88\xdb"), policy.OK, false},
		"unreadable report": {stays("HTTP/1.1 200 OK\r\nX-Load: \xff=,NaN\r\nContent-Length: 4\r\n\r\nhits"), policy.OK, true},
		"unfit request":     {standin.Answer("400 No", "", ""), policy.NoRetry, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAppServer(t, c.do)
			u := newTestUpstream(a.Addr())
			_, do := u.newAttempt(time.Minute)
			r, body := do()
			if r.Code() != c.want || r.Code() == policy.OK && body != "hits" {
				t.Errorf("code %d, body %q, want code %d", r.Code(), body, c.want)
			}
			if kept := len(u.servers[1].idle) == 1; kept != c.kept || u.openConns != len(u.servers[1].idle) {
				t.Errorf("connection kept %v, want %v; %d counted as open", kept, c.kept, u.openConns)
			}
			if n := a.Seen.Load(); n != 1 {
				t.Errorf("written %d times", n)
			}
		})
	}
}

// A refused connection proves that the request has not run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	u := newTestUpstream(refusingAddress(t))
	_, do := u.newAttempt(testTimeout)
	if r, _ := do(); r.Code() != policy.ConnectFailed || u.openConns != 0 {
		t.Errorf("code %d, %d open", r.Code(), u.openConns)
	}
}

// A request that was written and not answered may still run. Its connection must be closed before the policy learns
// of the outcome, or two attempts could run at once.
func TestTimeoutClosesFirst(t *testing.T) {
	a := newAppServer(t, standin.Deaf)
	u := newTestUpstream(a.Addr())
	_, do := u.newAttempt(50 * time.Millisecond)
	r, _ := do()
	if r.Code() != policy.TimedOut || u.openConns != 0 {
		t.Errorf("code %d, %d open", r.Code(), u.openConns)
	}
	eventually(t, "the connection's end", func() bool { return a.Ended.Load() == 1 })
}

// The same holds for an attempt that the policy cancels.
func TestCancelClosesFirst(t *testing.T) {
	a := newAppServer(t, standin.Deaf)
	u := newTestUpstream(a.Addr())
	at, do := u.newAttempt(time.Hour)
	go func() {
		for a.Seen.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		at.cancel()
	}()
	r, _ := do()
	if r.Code() != policy.Cancelled || u.openConns != 0 {
		t.Errorf("code %d, %d open", r.Code(), u.openConns)
	}
	eventually(t, "the connection's end", func() bool { return a.Ended.Load() == 1 })
}

// An attempt that is cancelled before it is written has not run.
func TestCancelBeforeWriting(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", ""))
	u := newTestUpstream(a.Addr())
	at, do := u.newAttempt(time.Hour)
	at.cancel()
	if r, _ := do(); !r.Code().NeverRan() || a.Seen.Load() != 0 {
		t.Errorf("code %d after %d requests", r.Code(), a.Seen.Load())
	}
}

// An app server closes idle connections. A request written to one would end with a reset, after which a keyed request
// has fewer attempts left.
func TestNoticesServerCloseWhileIdle(t *testing.T) {
	var answers atomic.Int32
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		standin.Answer("200 OK", "", "hits")(c, r)
		return answers.Add(1) > 1
	})
	u := newTestUpstream(a.Addr())
	_, do := u.newAttempt(testTimeout)
	do()
	eventually(t, "the server's close on the idle connection", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.servers[1].idle) == 1 && !isQuiet(u.servers[1].idle[0])
	})
	_, do = u.newAttempt(testTimeout)
	if r, _ := do(); r.Code() != policy.OK || a.Accepted.Load() != 2 {
		t.Errorf("code %d, %d connections", r.Code(), a.Accepted.Load())
	}
}

// Connections are reused, the newest first, and closed before the server closes them.
func TestPoolReusesAndExpires(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	u := newTestUpstream(a.Addr())
	for range 3 {
		_, do := u.newAttempt(testTimeout)
		do()
	}
	if a.Accepted.Load() != 1 {
		t.Errorf("%d connections for requests one after another", a.Accepted.Load())
	}
	u.idleTimeout = 0
	u.closeStaleConnections()
	if u.openConns != 0 || len(u.servers[1].idle) != 0 {
		t.Errorf("%d open after their idle timeout", u.openConns)
	}
}

// A second copy of an answer may arrive on a connection that is idle again. It must never be taken as the answer to
// the next request.
func TestLateCopy(t *testing.T) {
	copied := make(chan struct{})
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		standin.Answer("200 OK", "", "hits")(c, r)
		<-copied
		return standin.Answer("200 OK", "", "copy")(c, r)
	})
	u := newTestUpstream(a.Addr())
	u.reuseDelay = time.Hour
	for i := range 2 {
		_, do := u.newAttempt(testTimeout)
		if r, body := do(); r.Code() != policy.OK || body != "hits" || int(a.Accepted.Load()) != i+1 {
			t.Errorf("code %d, %q, %d connections: an idle one was reused too soon", r.Code(), body, a.Accepted.Load())
		}
	}
	close(copied)
	u.reuseDelay = 0
	eventually(t, "the copies", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !isQuiet(u.servers[1].idle[0]) && !isQuiet(u.servers[1].idle[1])
	})
	_, do := u.newAttempt(testTimeout)
	if _, body := do(); body != "hits" || a.Accepted.Load() != 3 {
		t.Errorf("%q, %d connections", body, a.Accepted.Load())
	}
}

// App servers may drop idle connections sooner than they announce, which is noticed only when a request fails on one.
// The upstream learns the age from which this happens, and forgets it when it no longer does.
func TestLearnsHowLongConnectionsLast(t *testing.T) {
	var x idleAgeStats
	for range 40 {
		x.recordUse(20*time.Millisecond, time.Second, time.Millisecond, policy.OK, true)
		x.recordUse(150*time.Millisecond, time.Second, time.Millisecond, policy.OK, true)
		x.recordUse(150*time.Millisecond, time.Second, time.Second, policy.Reset, false) // broke after the request was being worked on
		x.recordUse(150*time.Millisecond, time.Second, time.Millisecond, policy.Reset, true)
	}
	if got := x.maxUsableAge(time.Minute); got != time.Minute {
		t.Fatalf("%v although none broke because of its age", got)
	}
	for range 40 {
		x.recordUse(150*time.Millisecond, time.Second, time.Millisecond, policy.Reset, false)
	}
	if got := x.maxUsableAge(time.Minute); got != 128*time.Millisecond {
		t.Fatalf("%v, want 128ms: connections idle for 150ms break", got)
	}
	for range 300 {
		x.decay()
	}
	if got := x.maxUsableAge(time.Minute); got != time.Minute {
		t.Errorf("%v long after the last break", got)
	}
}

// A connection beyond the learned age is not reused, even if it seems open.
func TestOldConnectionsAreNotReusedOnceTheyBreak(t *testing.T) {
	served := atomic.Int32{}
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		if served.Add(1)%2 == 0 { // the second request on a connection breaks it
			return false
		}
		return standin.Answer("200 OK", "", "hits")(c, r)
	})
	u := newTestUpstream(a.Addr())
	for range 1000 {
		_, do := u.newAttempt(testTimeout)
		do()
		u.mu.Lock()
		for _, c := range u.servers[1].idle {
			c.idleSince -= 200 * time.Millisecond // as if it had been idle that much longer
		}
		full := u.idleAges.maxUsableAge(u.idleTimeout) < u.idleTimeout
		u.mu.Unlock()
		if full {
			break
		}
	}
	if u.idleAges.maxUsableAge(u.idleTimeout) > 200*time.Millisecond {
		t.Fatalf("learned %v where connections idle for 200ms break", u.idleAges.maxUsableAge(u.idleTimeout))
	}
	before := a.Accepted.Load()
	_, do := u.newAttempt(testTimeout)
	do()
	if a.Accepted.Load() != before+1 {
		t.Error("an old connection was used again")
	}
}

// An idle connection must outlive the deadline of its previous attempt. If it were taken as dead, most connections
// would be dialed anew, which costs the app server work.
func TestReusesAfterPreviousDeadline(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	u := newTestUpstream(a.Addr())
	at, do := u.newAttempt(time.Second)
	if r, _ := do(); r.Code() != policy.OK {
		t.Fatalf("code %d", r.Code())
	}
	eventually(t, "the deadline", func() bool { return u.clock.now() > at.deadline })
	u.closeStaleConnections()
	_, do = u.newAttempt(testTimeout)
	if r, _ := do(); r.Code() != policy.OK || a.Accepted.Load() != 1 {
		t.Errorf("code %d, %d connections", r.Code(), a.Accepted.Load())
	}
}

// A draining server gets no new request once its grace period has ended, even one that was decided earlier and
// delayed by its dial.
func TestDrainedServerGetsNothing(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	u := newTestUpstream(a.Addr())
	drains := servingTarget("s-00000001", a.Addr())
	drains.State = "DRAINING"
	u.update(&serverList{Targets: []target{drains}}, false)
	if u.isClosedToWork(1) {
		t.Error("closed before the grace has ended")
	}
	u.servers[1].notRunningSince -= u.drainGrace
	_, do := u.newAttempt(testTimeout)
	if r, _ := do(); r.Code() != policy.ConnectFailed || a.Seen.Load() != 0 {
		t.Errorf("code %d after %d requests", r.Code(), a.Seen.Load())
	}
}

// The idle connections of a removed server are closed. A server that has restarted or moved gets none of the old
// connections.
func TestConnectionsGoWithTheServer(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	for name, l := range map[string]*serverList{
		"gone":      {Targets: nil},
		"restarted": {Targets: []target{{UID: "s-00000001", Endpoint: a.Addr(), State: "SERVING", BootMS: 5}}},
		"moved":     {Targets: []target{servingTarget("s-00000001", "127.0.0.1:1")}},
	} {
		u := newTestUpstream(a.Addr())
		_, do := u.newAttempt(testTimeout)
		do()
		if u.openConns != 1 {
			t.Fatalf("%s: %d open before", name, u.openConns)
		}
		u.update(l, true)
		if u.openConns != 0 {
			t.Errorf("%s: %d open after", name, u.openConns)
		}
	}
}

// A keyed repeat that is written after the servers have forgotten the first attempt would run twice. A slow dial can
// cause such a delay.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	u := newTestUpstream(a.Addr())
	at, do := u.newAttempt(testTimeout)
	at.repeatBy = at.requestedAt
	if r, _ := do(); r.Code() != policy.ConnectFailed || a.Seen.Load() != 0 {
		t.Errorf("code %d after %d requests", r.Code(), a.Seen.Load())
	}
}

// The number of connections is limited: idle ones to other servers are closed first to make room.
func TestConnectionBound(t *testing.T) {
	a, b := newAppServer(t, standin.Answer("200 OK", "", "hits")), newAppServer(t, standin.Deaf)
	u := newTestUpstream(a.Addr())
	u.maxConns = 1
	u.update(&serverList{Targets: []target{servingTarget("s-00000002", b.Addr())}}, false)
	_, do := u.newAttempt(testTimeout)
	do()
	at, do := u.newAttempt(time.Hour)
	at.server = 2
	done := make(chan result)
	go func() { r, _ := do(); done <- r }()
	eventually(t, "the request at the second server", func() bool { return b.Seen.Load() == 1 })
	_, do = u.newAttempt(testTimeout)
	if r, _ := do(); r.Code() != policy.ConnectFailed {
		t.Errorf("code %d beyond the connection limit", r.Code())
	}
	at.cancel()
	<-done
}

// The policy gets a report's values in the order of its settings, under either spelling of the names; an incomplete
// report is ignored.
func TestLoadReport(t *testing.T) {
	u := newTestUpstream("127.0.0.1:1")
	for text, want := range map[string][]float64{
		"TEXT util=NaN, qps=1":              nil,
		"TEXT util=0.61, qps=+Inf":          nil,
		"TEXT util=-0.61, qps=140":          nil,
		"TEXT util=0.61, qps=1e300":         nil,
		"TEXT util=0.61, qps=140":           {0.61, 140},
		"TEXT rps=140,inflight=3,cpu=0.61":  {0.61, 140},
		"TEXT util=0.61":                    nil,
		"TEXT util=much, qps=1":             nil,
		"":                                  nil,
		"TEXT":                              nil,
		fmt.Sprintf("TEXT %0300d=,,,=,", 1): nil,
	} {
		if got := u.parseLoadReport(&head{fields: []field{{[]byte("X-Load"), []byte(text)}}}); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
