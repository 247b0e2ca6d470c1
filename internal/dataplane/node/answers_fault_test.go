package node

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// Each injected fault breaks the property that is meant to detect it.
func TestAnswersDetectInjectedFaults(t *testing.T) {
	pair := [][]clientStep{{stepRead, stepAwait, stepWrite, stepAwait}, {stepWrite, stepAwait, stepRead, stepAwait}}
	many := [][]clientStep{slices.Repeat([]clientStep{stepWrite, stepAwait}, 9)}
	leaves := [][]clientStep{{stepRead, stepPause, stepClose}}
	for fault, x := range map[string]struct {
		script
		property string
	}{
		faultForeignBody:       {script{clients: pair, serverActs: []serverAct{actServe}}, "own: "},
		faultForeignID:         {script{clients: pair, serverActs: []serverAct{actServe}}, "own: "},
		faultNoID:              {script{clients: pair, serverActs: []serverAct{actServe}}, "own: "},
		faultAnswerTwice:       {script{clients: pair, serverActs: []serverAct{actServe}}, "own: "},
		faultFailureAsSuccess:  {script{clients: pair, serverActs: []serverAct{actFail}}, "own: "},
		faultSendTwice:         {script{clients: pair, serverActs: []serverAct{actServe}}, "once: "},
		faultFailureAsRefusal:  {script{clients: pair, serverActs: []serverAct{actReset}}, "promise: "},
		faultAnswerLost:        {script{clients: pair, serverActs: []serverAct{actServe}}, "answer: "},
		faultCloseEarly:        {script{clients: pair, serverActs: []serverAct{actServe}}, "answer: "},
		faultHideTrailingBytes: {script{clients: many, serverActs: []serverAct{actTwice}}, "damaged: "},
		faultHideLeadingBytes:  {script{clients: many, serverActs: []serverAct{actStrayBefore}}, "damaged: "},
		faultHideDisconnect:    {script{clients: leaves, serverActs: []serverAct{actWork}}, "left: "},
	} {
		t.Run(fault, func(t *testing.T) {
			assert.Equal(t, (&answersScenario{script: x.script}).run(t, ""), "")
			broken := (&answersScenario{script: x.script}).run(t, fault)
			assert.Assert(t, strings.HasPrefix(broken, x.property), "%q", broken)
		})
	}
}

// Faults that a test injects between the proxy and its network.
const (
	faultForeignBody       = "another's body to the client"
	faultForeignID         = "another's id to the client"
	faultNoID              = "no id to the client"
	faultAnswerTwice       = "an answer twice to the client"
	faultFailureAsSuccess  = "a failure as a success to the client"
	faultFailureAsRefusal  = "a failure as a refusal to the client"
	faultAnswerLost        = "an answer lost before the client"
	faultCloseEarly        = "the client's connection closed in place of an answer"
	faultHideDisconnect    = "a client's disconnect hidden"
	faultSendTwice         = "a request sent to two servers"
	faultHideTrailingBytes = "bytes after an answer hidden"
	faultHideLeadingBytes  = "bytes before an answer hidden"
)

// faultyNetwork is a network that injects a fault into the proxy's connections.
type faultyNetwork struct {
	*sim.Net
	fault string
}

func (w *faultyNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := w.Net.Listen(ctx, network, address)
	if w.fault == "" || err != nil {
		return ln, err
	}
	return &faultyListener{ln, w}, nil
}

func (w *faultyNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := w.Net.Dial(ctx, network, address)
	if w.fault == "" || err != nil {
		return c, err
	}
	return &faultyServerConn{faultyConn{c, w}, address}, nil
}

type faultyListener struct {
	net.Listener
	world *faultyNetwork
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyClientConn{faultyConn{c, l.world}}, nil
}

// faultyConn forwards the methods that connections of the simulated network have beyond net.Conn.
type faultyConn struct {
	net.Conn
	world *faultyNetwork
}

func (c *faultyConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }
func (c *faultyConn) SetLinger(n int) error {
	return c.Conn.(interface{ SetLinger(int) error }).SetLinger(n)
}
func (c *faultyConn) Peek() world.Peeked { return world.Peek(c.Conn) }

// faultyClientConn is the proxy's end of a client's connection.
type faultyClientConn struct{ faultyConn }

func (c *faultyClientConn) Write(b []byte) (int, error) {
	text := string(b)
	if !strings.HasPrefix(text, "HTTP/1.1 ") {
		return c.Conn.Write(b)
	}
	switch c.world.fault {
	case faultForeignBody:
		text = strings.Replace(text, "yes id", "yes ix", 1)
	case faultForeignID:
		text = strings.Replace(text, "Attempt-Id: id", "Attempt-Id: ix", 1)
	case faultNoID:
		text = strings.Replace(text, "Attempt-Id: ", "X-Other: ", 1)
	case faultAnswerTwice:
		text += text
	case faultFailureAsSuccess:
		text = strings.Replace(text, "HTTP/1.1 500", "HTTP/1.1 200", 1)
	case faultFailureAsRefusal:
		text = strings.Replace(text, "HTTP/1.1 502", "HTTP/1.1 503", 1)
	case faultAnswerLost:
		return len(b), nil
	case faultCloseEarly:
		c.Conn.Close()
		return len(b), nil
	}
	_, err := c.Conn.Write([]byte(text))
	return len(b), err
}

func (c *faultyClientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.world.fault == faultHideDisconnect {
		time.Sleep(2 * time.Second)
	}
	return n, err
}

func (c *faultyClientConn) Peek() world.Peeked {
	if c.world.fault == faultHideDisconnect {
		return world.PeekQuiet
	}
	return world.Peek(c.Conn)
}

// faultyServerConn is the proxy's connection to a server.
type faultyServerConn struct {
	faultyConn
	address string
}

func (c *faultyServerConn) Write(b []byte) (int, error) {
	if c.world.fault == faultSendTwice {
		if again, err := c.world.Net.Dial(context.Background(), "tcp", c.address); err == nil {
			_, _ = again.Write(b)
		}
	}
	return c.Conn.Write(b)
}

// Read hides bytes that do not belong to the answer. It relies on test servers writing each response in one piece.
func (c *faultyServerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	text := string(b[:n])
	switch c.world.fault {
	case faultHideTrailingBytes:
		if i := strings.LastIndex(text, "HTTP/1.1 "); i > 0 {
			text = text[:i]
		}
	case faultHideLeadingBytes:
		text = strings.TrimPrefix(text, foreignAnswer)
	}
	return copy(b, text), err
}
