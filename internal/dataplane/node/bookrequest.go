package node

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"sync"

	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/policy"
)

// maxTrackedKeys is the number of idempotency keys whose strictest effect is remembered.
const maxTrackedKeys = 32 << 10

// bookReader holds the state for reading requests under a book (the route configuration). strictestEffects is created
// with the first such request.
type bookReader struct {
	mu               sync.Mutex
	strictestEffects *routing.KeyHistory
	random           io.Reader
}

// rejection is the answer to an invalid request.
type rejection struct {
	status       int
	headerFields string
	text         string
}

// readRequest validates a request by the current book, or by the standalone protocol if there is none.
func (s *server) readRequest(r *clientRequest) (*openRequest, *rejection) {
	r.ticket, r.id = nil, ""
	table := s.tuning.Load().Routes
	if table == nil {
		c, err := s.parseStandaloneRequest(r)
		if err != nil {
			return nil, &rejection{status: 400, text: err.Error()}
		}
		return c, nil
	}
	ticket, rejected := table.Resolve(routing.Request{Method: string(r.method), Target: string(r.target), Fields: r, Body: len(r.body)})
	if rejected != nil {
		answer := &rejection{status: rejected.Status, text: rejected.Reason}
		switch rejected.Status {
		case 401:
			answer.headerFields = "WWW-Authenticate: ApiKey\r\n" // RFC 9110, 11.6.1
		case 405:
			answer.headerFields = "Allow: " + rejected.Allow + "\r\n"
		}
		return nil, answer
	}
	c := &openRequest{arrived: s.clock.now(), commands: make(chan command, 1), class: ticket.Class, budget: ticket.Deadline}
	r.ticket = ticket
	var err error
	if c.clientID, c.effect, err = s.bookReader.identify(c, ticket); err != nil {
		return nil, &rejection{status: 503, text: "no id could be made for the request"}
	}
	r.id = c.clientID
	c.Customer, c.Plan, c.Class, c.Units, c.FirstGateway, c.GatewayCount = ticket.Number, ticket.Plan, ticket.Class.Name, ticket.Units, ticket.First, ticket.Spread
	c.Retry, c.Effect = ticket.IsRetry, c.effect
	return c, nil
}

// identify returns the request's id, generating one if the client sent none, and the strictest effect that has applied to
// its idempotency key.
func (b *bookReader) identify(c *openRequest, ticket *routing.ResolvedRequest) (id string, effect policy.Effect, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.strictestEffects == nil {
		b.strictestEffects = routing.NewKeyHistory(maxTrackedKeys)
	}
	if id = ticket.RequestID; id == "" {
		var raw [16]byte
		if _, err := io.ReadFull(b.random, raw[:]); err != nil {
			return "", effect, err
		}
		id = hex.EncodeToString(raw[:])
	}
	return id, b.strictestEffects.Update(c.arrived, ticket), nil
}

// bookFields returns the header fields that tell the client how its request was read (book generation, operation and
// units), or nothing unless the operator has enabled them.
func (r *clientRequest) bookFields() string {
	if r.ticket == nil || !r.ticket.Table.ExposeRouting {
		return ""
	}
	return routing.BookField + ": " + r.ticket.Table.Book.Generation + "\r\n" +
		routing.OperationField + ": " + printableField(r.ticket.Route.Operation) + "\r\n" +
		routing.UnitsField + ": " + strconv.FormatFloat(r.ticket.Units, 'f', -1, 64) + "\r\n"
}

// printableField replaces every character that is not printable ASCII by an underscore, so that text from an API description
// is valid in a header field.
func printableField(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c > '~' {
			return '_'
		}
		return c
	}, s)
}

// appendForwardedFields appends the header fields that the server gets with a request read under a book.
func (r *clientRequest) appendForwardedFields(b []byte) []byte {
	ticket := r.ticket
	field := func(name, value string) {
		b = append(append(append(append(b, "\r\n"...), name...), ": "...), value...)
	}
	pass := func(name string) {
		if v := r.get(name); len(v) > 0 {
			field(name, string(v))
		}
	}
	pass("Host")
	field("X-Request-Id", r.id)
	pass("Idempotency-Key")
	field("X-Class", ticket.Class.Name)
	pass("Content-Type")
	for _, name := range ticket.Table.ForwardFields {
		if !strings.EqualFold(name, "Content-Type") {
			pass(name)
		}
	}
	if ticket.Table.ForwardKeys {
		for _, p := range ticket.Table.Book.Keys {
			switch p.In {
			case "header":
				pass(p.Name)
			case "cookie":
				if v, n := routing.Cookie(string(r.get("Cookie")), p.Name); n == 1 {
					field("Cookie", p.Name+"="+v)
				}
			}
		}
	}
	if ticket.Table.ExposeRouting {
		b = append(b, "\r\n"...)
		b = append(b, strings.TrimSuffix(r.bookFields(), "\r\n")...)
	}
	return b
}
