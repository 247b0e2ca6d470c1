package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// countingNetwork is the machine's network; it counts reads and writes.
type countingNetwork struct {
	world.Real
	writes, reads atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	network *countingNetwork
}

func (c countingConn) Write(b []byte) (int, error) {
	c.network.writes.Add(1)
	return c.TCPConn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	c.network.reads.Add(1)
	return c.TCPConn.Read(b)
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), l.network}, nil
}

func (w *countingNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := w.Real.Listen(ctx, network, address)
	return countingListener{ln, w}, err
}

func (w *countingNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := w.Real.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), w}, nil
}

// BenchmarkShortBody measures a request with a short body through a proxy, including its client and server.
func BenchmarkShortBody(b *testing.B) {
	for _, n := range []int{4, 1000, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchBody(b, n) })
	}
}

func benchBody(b *testing.B, n int) {
	w := &countingNetwork{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer ln.Close()
	body := bytes.Repeat([]byte("x"), n)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", n, body)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf, got := make([]byte, 64<<10), 0
				for {
					k, err := c.Read(buf[got:])
					if got += k; err != nil {
						return
					}
					if i := bytes.Index(buf[:got], []byte("\r\n\r\n")); i >= 0 && got-i-4 == n {
						if got = 0; writeAll(c, answer) != nil {
							return
						}
					}
				}
			}()
		}
	}()
	e, end := startBenchmarkProxy(b, w, ln.Addr().String())
	defer end()
	c, err := net.Dial("tcp", e.Addr().String())
	assert.NilError(b, err)
	defer c.Close()
	ask := fmt.Appendf(nil, "POST /act/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nX-Api-Key: k1\r\nContent-Length: %d\r\n\r\n%s", n, body)
	head := make([]byte, len(answer))
	once := func() {
		if err = writeAll(c, ask); err == nil {
			_, err = io.ReadFull(c, head)
		}
		if err != nil || !bytes.HasPrefix(head, []byte("HTTP/1.1 200")) {
			b.Fatal(err, string(head[:20]))
		}
	}
	for range 50 {
		once()
	}
	writes, reads := w.writes.Load(), w.reads.Load()
	b.ReportAllocs()
	for b.Loop() {
		once()
	}
	b.ReportMetric(float64(w.writes.Load()-writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(w.reads.Load()-reads)/float64(b.N), "reads/op")
}

// BenchmarkLongBodiesHeld measures the memory that a proxy uses for each of many long bodies whose transfer has stalled.
func BenchmarkLongBodiesHeld(b *testing.B) {
	const open, size = 300, 4 << 20
	for name, heads := range map[string][2]string{
		"upload,length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		"upload,chunks": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), ""},
		"answer,length": {"\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", size)},
		"answer,chunks": {"\r\n", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)},
	} {
		b.Run(name, func(b *testing.B) {
			var held runtime.MemStats
			body := make([]byte, size)
			for b.Loop() {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				go func() {
					for {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							q, err := http.ReadRequest(bufio.NewReaderSize(c, 256))
							if err != nil || heads[1] == "" {
								time.Sleep(5 * time.Second) // stops reading
								return
							}
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s", q.Header.Get(fieldID), heads[1])
							_, _ = c.Write(body)
						}()
					}
				}()
				e, end := startBenchmarkProxy(b, &countingNetwork{}, ln.Addr().String())
				var before runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var clients []net.Conn
				for i := range open {
					c, err := net.Dial("tcp", e.Addr().String())
					assert.NilError(b, err)
					clients = append(clients, c)
					go func() {
						_, _ = fmt.Fprintf(c, "POST /act/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: n%d\r\nX-Api-Key: k1\r\n%s", i, heads[0])
						if heads[1] == "" {
							_, _ = c.Write(body)
						}
					}()
				}
				time.Sleep(2500 * time.Millisecond) // shorter than the 3 s for which a body may stall
				runtime.GC()
				runtime.ReadMemStats(&held)
				used := held.HeapAlloc + held.StackInuse - before.HeapAlloc - before.StackInuse
				b.ReportMetric(float64(used)/open/1024, "KB/body")
				b.ReportMetric(float64(e.node.upstream.openConns), "out")
				for _, c := range clients {
					c.Close()
				}
				ln.Close()
				end()
			}
		})
	}
}

// startBenchmarkProxy starts a managed proxy with one server.
func startBenchmarkProxy(b *testing.B, w world.World, server string) (e *ManagedNode, end func()) {
	e, err := NewManagedNode(ManagedConfig{Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Zone: "a", Region: "r", Seed: 1, Sockets: 4100,
		World: w, Regions: map[string]string{"a": "r"}, Grace: time.Second, RetryRatio: 1, RetrySlack: 100})
	assert.NilError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	p, err := routeconfig.Parse([]byte(strings.ReplaceAll(managedConfiguration, `"timeout_ms":2000`, `"timeout_ms":30000`)))
	assert.NilError(b, err)
	e.SetConfiguration(p)
	e.SetServers(1, []serverlist.Entry{{ID: "i-0", Service: "x", Address: server, Zone: "a", Slots: 400}})
	e.SetPeers(0, 1, 0, []netip.AddrPort{{}}, nil)
	return e, func() {
		stop()
		assert.Check(b, <-ended)
	}
}

func writeAll(c net.Conn, b []byte) error {
	_, err := c.Write(b)
	return err
}
