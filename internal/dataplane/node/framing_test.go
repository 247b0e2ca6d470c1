package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// Malformed requests are answered with 400, are not forwarded and do not affect later requests.
func TestMalformedRequests(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	n := startNodeFor(t, a.Addr())
	for _, c := range []struct{ class, header, value string }{
		{"lookup", "X-Class", "shelve"}, {"lookup", "X-Class", ""},
		{"lookup", "X-Tier", "gold"}, {"lookup", "X-Request-Id", ""},
		{"lookup", "Cookie", "key=12"}, {"lookup", "Cookie", "key=zzzzzzzzzzzzzzzz"}, {"lookup", "Cookie", ""},
		{"lookup", "X-Deadline-Ms", "soon"}, {"lookup", "X-Deadline-Ms", "-5"}, {"lookup", "X-Deadline-Ms", "99999999999999999999"},
		{"lookup", "X-Call-Terms", "units=NaN"}, {"lookup", "X-Call-Terms", "units=-1"}, {"lookup", "X-Call-Terms", "units=1e300"},
		{"lookup", "X-Call-Terms", "spread=0"}, {"lookup", "X-Call-Terms", "first=9"}, {"lookup", "X-Call-Terms", "=,="},
		{"lookup", "X-Call-Terms", "units=1.5"}, {"lookup", "X-Call-Terms", "units=1,units=2"}, {"lookup", "X-Call-Terms", "units=+1"},
		{"lookup", "X-Call-Terms", "units=7"}, {"lookup", "X-Call-Terms", "first=-1"}, {"lookup", "X-Call-Terms", "spread=Inf"},
		{"lookup", "X-Deadline-Ms", "10002"}, {"lookup", "X-Deadline-Ms", "1e3"}, {"lookup", "X-Deadline-Ms", "480.5"},
		{"lookup", "Cookie", "key=0000000200000000"}, {"lookup", "Cookie", "key=00000000b4d65521; key=00000000b4d65522"},
		{"lookup", "X-Request-Id", strings.Repeat("9", 65)}, {"lookup", "X-Class", "loan"}, {"loan", "X-Class", "lookup"},
		{"loan", "Idempotency-Key", ""}, {"loan", "Idempotency-Key", strings.Repeat("k", 129)},
	} {
		r := newTestRequest(n.url, c.class, testTimeout)
		r.Header.Set(c.header, c.value)
		if resp, _ := sendTestRequest(t, r); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %q: %d", c.header, c.value, resp.StatusCode)
		}
	}
	for _, text := range []string{"\r\n\r\n", "GET\r\n\r\n", "POST /loan HTTP/1.1\r\nContent-Length: x\r\n\r\n"} {
		c := dial(t, n)
		_, _ = c.Write([]byte(text))
		c.Close()
	}
	if a.Seen.Load() != 0 {
		t.Errorf("%d malformed requests were forwarded", a.Seen.Load())
	}
	if resp, _ := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); resp.StatusCode != 200 {
		t.Errorf("a valid request after them: %d", resp.StatusCode)
	}
}

// An ambiguous request could hide another one (request smuggling). It is answered with a single 400, nothing of it is
// forwarded, and nothing more is read from its connection: the valid request behind each must not be served.
func TestAmbiguousFraming(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	n := startNodeFor(t, a.Addr())
	fields := "Host: app.svc\r\nX-Request-Id: 1\r\nX-Class: loan\r\nX-Tier: town\r\nCookie: key=00000000b4d65521\r\n" +
		"X-Deadline-Ms: 900\r\nIdempotency-Key: k\r\n"
	get := "GET /lookup HTTP/1.1\r\nX-Request-Id: 2\r\nX-Class: lookup\r\nX-Tier: town\r\n" +
		"Cookie: key=00000000b4d65521\r\nX-Deadline-Ms: 900\r\n\r\n"
	post := "POST /loan HTTP/1.1\r\n" + fields
	for name, text := range map[string]string{
		"length and coding":      post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"coding and length":      post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + get,
		"two lengths":            post + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + get,
		"equal lengths":          post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + get,
		"listed lengths":         post + "Content-Length: 0, 0\r\n\r\n" + get,
		"signed length":          post + "Content-Length: +0\r\n\r\n" + get,
		"negative length":        post + "Content-Length: -1\r\n\r\n" + get,
		"no length":              post + "Content-Length:\r\n\r\n" + get,
		"hexadecimal length":     post + "Content-Length: 0x0\r\n\r\n" + get,
		"unknown coding":         post + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n" + get,
		"two codings":            post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + get,
		"blank before colon":     post + "Content-Length : 0\r\n\r\n" + get,
		"folded line":            post + "X-A: b\r\n c: d\r\nContent-Length: 0\r\n\r\n" + get,
		"bare LF":                post + "X-A: b\nContent-Length: 0\r\n\r\n" + get,
		"bare CR":                post + "X-A: b\rContent-Length: 9\r\n\r\n" + get,
		"NUL":                    post + "X-A: b\x00\r\nContent-Length: 0\r\n\r\n" + get,
		"no colon":               post + "X-A\r\nContent-Length: 0\r\n\r\n" + get,
		"two hosts":              post + "Host: other\r\nContent-Length: 0\r\n\r\n" + get,
		"empty line ahead":       "\r\n" + get,
		"another version":        "GET /lookup HTTP/2.0\r\n\r\n" + get,
		"two blanks":             "GET  /lookup HTTP/1.1\r\n\r\n" + get,
		"absolute target":        "GET http://a/lookup HTTP/1.1\r\n\r\n" + get,
		"chunk without size":     post + "Transfer-Encoding: chunked\r\n\r\n\r\n" + get,
		"chunk of a bad size":    post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + get,
		"chunk longer than size": post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + get,
		"chunk ended by LF":      post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n" + get,
	} {
		c := dial(t, n)
		_, _ = c.Write([]byte(text))
		all, _ := io.ReadAll(c)
		if !strings.HasPrefix(string(all), "HTTP/1.1 400 ") || strings.Count(string(all), "HTTP/1.1") != 1 {
			t.Errorf("%s: %q", name, all)
		}
	}
	if a.Seen.Load() != 0 {
		t.Errorf("%d requests were forwarded", a.Seen.Load())
	}
	c := dial(t, n) // the same request with unambiguous framing
	_, _ = c.Write([]byte(post + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	if all, _ := io.ReadAll(c); !strings.HasPrefix(string(all), "HTTP/1.1 200 ") {
		t.Errorf("unambiguous request: %q", all)
	}
}

// Huge bodies and endless heads are rejected as soon as their size is announced or exceeds the limit, not when they have arrived.
// The rejection reaches a client that is still sending.
func TestOversizedMessages(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	for name, c := range map[string]struct{ head, more, want string }{
		"60 MB":        {"POST /loan HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n", strings.Repeat("b", 1<<20), "HTTP/1.1 413 "},
		"huge length":  {"POST /loan HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "b", "HTTP/1.1 400 "},
		"endless head": {"GET /lookup HTTP/1.1\r\n", strings.Repeat("X-Pad: p\r\n", 8<<10), "HTTP/1.1 431 "},
		"huge chunk":   {"POST /loan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n", "b", "HTTP/1.1 413 "},
	} {
		conn := dial(t, n)
		_, _ = conn.Write([]byte(c.head))
		go func() { _, _ = conn.Write([]byte(c.more)) }() // may fail, as the proxy closes the connection
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, c.want) {
			t.Errorf("%s: %q, %v", name, line, err)
		}
	}
}

// Pipelined requests each get one answer, in their order. A client that sends only invalid requests is disconnected.
func TestBursts(t *testing.T) {
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		return standin.Answer("200 OK", "", r.Header.Get("X-Request-Id")+";")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	c := dial(t, n)
	var text, want strings.Builder
	for i := range 300 {
		r := newTestRequest(n.url, "lookup", testTimeout)
		r.Header.Set("X-Request-Id", fmt.Sprint(i))
		if i == 299 {
			r.Header.Set("Connection", "close")
		}
		_ = r.Write(&text)
		fmt.Fprintf(&want, "%d;", i)
	}
	go func() { _, _ = io.WriteString(c, text.String()) }()
	br, got := bufio.NewReader(c), ""
	for range 300 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		got += string(body)
	}
	if _, err := br.ReadByte(); got != want.String() || err != io.EOF {
		t.Errorf("%q, then %v", got, err)
	}
	c = dial(t, n)
	bad := strings.Repeat("GET /none HTTP/1.1\r\nX-Request-Id: 1\r\nX-Class: none\r\n\r\n", 50)
	_, _ = io.WriteString(c, bad)
	if all, _ := io.ReadAll(c); strings.Count(string(all), "HTTP/1.1 400 ") != maxInvalidRequests {
		t.Errorf("%d answers to invalid requests, want %d", strings.Count(string(all), "HTTP/1.1 400 "), maxInvalidRequests)
	}
}

// Large messages up to the protocol's limits are forwarded unchanged.
func TestLargeMessages(t *testing.T) {
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		return standin.Answer("200 OK", "", r.Content)(c, r)
	})
	n := startNodeFor(t, a.Addr())
	want := strings.Repeat("0123456789abcdef", maxBodyBytes/16)
	r := newTestRequest(n.url, "loan", testTimeout)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(want)), maxBodyBytes
	r.Header.Set("X-Padding", strings.Repeat("p", 8<<10))
	if resp, body := sendTestRequest(t, r); resp.StatusCode != 200 || body != want {
		t.Errorf("%d, %d bytes", resp.StatusCode, len(body))
	}
}
