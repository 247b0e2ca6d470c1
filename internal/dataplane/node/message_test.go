package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// A request that the proxy accepts must mean the same to other readers: the standard library reads the same body and the same
// bytes after it. The result does not depend on how the bytes are split among reads.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET /lookup?q=1 HTTP/1.1\r\nHost: a\r\nX-Call-Terms: units=1, spread=2\r\n\r\nrest",
		"POST /loan HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcrest",
		"POST /loan HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nrest",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := clientConn{input: messageReader{src: bytes.NewReader(data)}}
		err := c.readRequest()
		slow := clientConn{input: messageReader{src: iotest.OneByteReader(bytes.NewReader(data))}}
		if slowErr := slow.readRequest(); (err == nil) != (slowErr == nil) || !bytes.Equal(c.request.body, slow.request.body) {
			t.Fatalf("read at once: %v %q; byte by byte: %v %q", err, c.request.body, slowErr, slow.request.body)
		}
		if err != nil {
			return
		}
		if len(c.request.body) > maxBodyBytes {
			t.Fatalf("a body of %d bytes", len(c.request.body))
		}
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := http.ReadRequest(br)
		if err != nil {
			if !strings.Contains(err.Error(), "parse") && !strings.Contains(err.Error(), "method") && !strings.Contains(err.Error(), "Host") {
				t.Fatalf("accepted here, but not by the standard library: %v", err)
			}
			return // the target is not a URL; the proxy forwards it unchanged
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(body, c.request.body) {
			t.Fatalf("body %q, standard library %q, %v", c.request.body, body, err)
		}
		there, _ := io.ReadAll(br)
		here, _ := io.ReadAll(io.MultiReader(bytes.NewReader(c.input.buf[c.input.off:]), c.input.src))
		if !bytes.Equal(here, there) {
			t.Fatalf("remainder %q, standard library %q", here, there)
		}
	})
}

// FuzzAnswer does the same as FuzzRequest for answers.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n0\r\n\r\n",
		"HTTP/1.1 204 No\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// Reads directly from src, because upConn.Read sets deadlines on a socket.
		c := upConn{input: messageReader{src: bytes.NewReader(data)}}
		status, body, framed, err := c.readAnswer(false, false)
		if err != nil || !framed {
			return
		}
		br := bufio.NewReader(bytes.NewReader(data))
		for range maxInterimAnswers + 1 {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("accepted here, but not by the standard library: %v", err)
			}
			there, err := io.ReadAll(resp.Body)
			if resp.StatusCode < 200 {
				continue
			}
			if resp.StatusCode != status || err != nil || !bytes.Equal(there, body) {
				t.Fatalf("%d %q, standard library %d %q, %v", status, body, resp.StatusCode, there, err)
			}
			return
		}
	})
}

// The buffer grows with a large message and is released after it.
func TestMessageReaderReleasesBuffer(t *testing.T) {
	s := messageReader{src: strings.NewReader(strings.Repeat("a", maxBodyBytes) + "b")}
	if b, err := s.readBytes(maxBodyBytes); err != nil || len(b) != maxBodyBytes {
		t.Fatal(len(b), err)
	}
	s.startMessage()
	if b, err := s.readBytes(1); err != nil || string(b) != "b" || cap(s.buf) > 2*minBufferBytes {
		t.Errorf("%q, %v, %d bytes kept", b, err, cap(s.buf))
	}
}
