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

// Each planted fault breaks the property that is for it.
func TestAnswersDetectInjectedFaults(t *testing.T) {
	pair := [][]clientStep{{stepRead, stepAwait, stepWrite, stepAwait}, {stepWrite, stepAwait, stepRead, stepAwait}}
	many := [][]clientStep{slices.Repeat([]clientStep{stepWrite, stepAwait}, 9)}
	leaves := [][]clientStep{{stepRead, stepPause, stepClose}}
	for fault, x := range map[string]struct {
		script
		property string
	}{
		faultForeignBody:       {script{clients: pair, acts: []serverAct{actServe}}, "own: "},
		faultForeignID:         {script{clients: pair, acts: []serverAct{actServe}}, "own: "},
		faultNoID:              {script{clients: pair, acts: []serverAct{actServe}}, "own: "},
		faultAnswerTwice:       {script{clients: pair, acts: []serverAct{actServe}}, "own: "},
		faultFailureAsSuccess:  {script{clients: pair, acts: []serverAct{actFail}}, "own: "},
		faultSendTwice:         {script{clients: pair, acts: []serverAct{actServe}}, "once: "},
		faultFailureAsRefusal:  {script{clients: pair, acts: []serverAct{actReset}}, "promise: "},
		faultAnswerLost:        {script{clients: pair, acts: []serverAct{actServe}}, "answer: "},
		faultCloseEarly:        {script{clients: pair, acts: []serverAct{actServe}}, "answer: "},
		faultHideTrailingBytes: {script{clients: many, acts: []serverAct{actTwice}}, "spoilt: "},
		faultHideLeadingBytes:  {script{clients: many, acts: []serverAct{actStrayBefore}}, "spoilt: "},
		faultHideDisconnect:    {script{clients: leaves, acts: []serverAct{actWork}}, "left: "},
	} {
		t.Run(fault, func(t *testing.T) {
			assert.Equal(t, (&answersScenario{script: x.script}).run(t, ""), "")
			broken := (&answersScenario{script: x.script}).run(t, fault)
			assert.Assert(t, strings.HasPrefix(broken, x.property), "%q", broken)
		})
	}
}

// Faults that a test plants between the node and its network.
const (
	faultForeignBody       = "another's body to the client"
	faultForeignID         = "another's id to the client"
	faultNoID              = "no id to the client"
	faultAnswerTwice       = "an answer twice to the client"
	faultFailureAsSuccess  = "a failure as a success to the client"
	faultFailureAsRefusal  = "a failure as a refusal to the client"
	faultAnswerLost        = "an answer lost before the client"
	faultCloseEarly        = "the client's connection closed in place of an answer"
	faultHideDisconnect    = "a client's end not seen"
	faultSendTwice         = "a request sent to two servers"
	faultHideTrailingBytes = "bytes behind an answer not seen"
	faultHideLeadingBytes  = "bytes before an answer not seen"
)

// faultyWorld is a network that plants a fault in the node's connections.
type faultyWorld struct {
	*sim.Net
	fault string
}

func (w *faultyWorld) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := w.Net.Listen(ctx, network, address)
	if w.fault == "" || err != nil {
		return ln, err
	}
	return &faultyListener{ln, w}, nil
}

func (w *faultyWorld) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := w.Net.Dial(ctx, network, address)
	if w.fault == "" || err != nil {
		return c, err
	}
	return &faultyServerConn{faultyConn{c, w}, address}, nil
}

type faultyListener struct {
	net.Listener
	w *faultyWorld
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyClientConn{faultyConn{c, l.w}}, nil
}

// faultyConn passes on what the simulated network's connections have beyond net.Conn.
type faultyConn struct {
	net.Conn
	w *faultyWorld
}

func (c *faultyConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }
func (c *faultyConn) SetLinger(n int) error {
	return c.Conn.(interface{ SetLinger(int) error }).SetLinger(n)
}
func (c *faultyConn) Peek() world.Peeked { return world.Peek(c.Conn) }

// faultyClientConn is a client's connection, as the node holds it.
type faultyClientConn struct{ faultyConn }

func (c *faultyClientConn) Write(b []byte) (int, error) {
	text := string(b)
	if !strings.HasPrefix(text, "HTTP/1.1 ") {
		return c.Conn.Write(b)
	}
	switch c.w.fault {
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
	if err == io.EOF && c.w.fault == faultHideDisconnect {
		time.Sleep(2 * time.Second)
	}
	return n, err
}

func (c *faultyClientConn) Peek() world.Peeked {
	if c.w.fault == faultHideDisconnect {
		return world.PeekQuiet
	}
	return world.Peek(c.Conn)
}

// faultyServerConn is a connection to a server.
type faultyServerConn struct {
	faultyConn
	address string
}

func (c *faultyServerConn) Write(b []byte) (int, error) {
	if c.w.fault == faultSendTwice {
		if again, err := c.w.Net.Dial(context.Background(), "tcp", c.address); err == nil {
			_, _ = again.Write(b)
		}
	}
	return c.Conn.Write(b)
}

// Read hides what does not belong to the answer; the stand-ins write in one piece what they write.
func (c *faultyServerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	text := string(b[:n])
	switch c.w.fault {
	case faultHideTrailingBytes:
		if i := strings.LastIndex(text, "HTTP/1.1 "); i > 0 {
			text = text[:i]
		}
	case faultHideLeadingBytes:
		text = strings.TrimPrefix(text, otherBody)
	}
	return copy(b, text), err
}
