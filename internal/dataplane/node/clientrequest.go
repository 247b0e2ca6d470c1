package node

import (
	"errors"
	"io"
	"os"

	"pepperfall.example/pepperfall/internal/dataplane/routing"
)

// clientRequest is a request as received from the client.
type clientRequest struct {
	head
	method, target []byte
	body           []byte
	managed        *managedRequest          // state under the managed protocol
	ticket         *routing.ResolvedRequest // its match in the book; nil under the standalone protocol
	id             string                   // if ticket is set: the id from the client or a generated one
}

// One returns a header field's value and how often the field occurs, as routing.Request requires.
func (r *clientRequest) One(name string) ([]byte, int) { return r.valueAndCount(name) }

// readRequest reads the head of a request and its body, or the first part of a body that is streamed.
func (cc *clientConn) readRequest() error {
	r := &cc.request
	if err := cc.input.readHead(&r.head, ""); err != nil {
		return err
	}
	if err := r.parseStartLine(); err != nil {
		return err
	}
	if _, n := r.valueAndCount("Expect"); n > 0 && (r.length > cc.input.buffered() || r.length == -1 && cc.input.window > 0 && cc.input.buffered() == 0) {
		if _, err := io.WriteString(cc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	var err error
	r.body, err = cc.input.readBody(&r.head)
	return err
}

// statusForReadError returns the status of the answer to a request that couldn't be read, or 0 if it gets no answer.
func statusForReadError(err error) int {
	switch {
	case errors.Is(err, errLongBody):
		return 413
	case errors.Is(err, errLongHead):
		return 431
	case errors.Is(err, errSyntax), errors.Is(err, errFraming):
		return 400
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	}
	return 0
}

// attemptID returns the id that the request has at servers; empty under the standalone protocol.
func (r *clientRequest) attemptID() string {
	if r.managed == nil {
		return ""
	}
	return r.managed.id
}
