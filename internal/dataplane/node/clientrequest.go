package node

import (
	"errors"
	"io"
	"os"

	"pepperfall.example/pepperfall/internal/dataplane/routing"
)

// clientRequest is a request as it came.
type clientRequest struct {
	head
	method, target []byte
	body           []byte
	managed        *passing        // what it is under a system's configuration
	ticket         *routing.Ticket // what it was read as under a book; nil: it is the platform's
	id             string          // with a ticket: the client's, or one made here
}

// One finds a field for the book's reading.
func (r *clientRequest) One(name string) ([]byte, int) { return r.one(name) }

// readRequest reads a whole request.
func (cc *clientConn) readRequest() error {
	r := &cc.req
	if err := cc.in.readHead(&r.head, ""); err != nil {
		return err
	}
	if err := r.startLine(); err != nil {
		return err
	}
	if _, n := r.one("Expect"); n > 0 && (r.length > cc.in.buffered() || r.length == -1 && cc.in.window > 0 && cc.in.buffered() == 0) {
		if _, err := io.WriteString(cc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	var err error
	r.body, err = cc.in.readBody(&r.head)
	return err
}

// statusForReadError is the answer to a request that can't be read; 0: none is owed.
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
