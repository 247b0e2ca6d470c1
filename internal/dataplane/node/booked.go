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

// maxTrackedKeys bounds the keys of which it is remembered how careful their tries
// were.
const maxTrackedKeys = 32 << 10

// bookReader is what the clients' side keeps for reading requests under a book. All
// of it is made with the first such request.
type bookReader struct {
	mu               sync.Mutex
	strictestEffects *routing.Careful
	random           io.Reader
}

// rejection is the answer to a request that can't be used.
type rejection struct {
	status       int
	headerFields string
	text         string
}

// readRequest checks a request: under the book in force, or as the platform has it.
func (s *server) readRequest(r *clientRequest) (*openRequest, *rejection) {
	r.ticket, r.id = nil, ""
	table := s.tune.Load().Routes
	if table == nil {
		c, err := s.parse(r)
		if err != nil {
			return nil, &rejection{status: 400, text: err.Error()}
		}
		return c, nil
	}
	k, turned := table.Read(routing.Request{Method: string(r.method), Target: string(r.target), Fields: r, Body: len(r.body)})
	if turned != nil {
		u := &rejection{status: turned.Status, text: turned.Why}
		switch turned.Status {
		case 401:
			u.headerFields = "WWW-Authenticate: ApiKey\r\n" // RFC 9110, 11.6.1
		case 405:
			u.headerFields = "Allow: " + turned.Allow + "\r\n"
		}
		return nil, u
	}
	c := &openRequest{arrived: s.clock.now(), commands: make(chan command, 1), class: k.Class, budget: k.Deadline}
	r.ticket = k
	var err error
	if c.clientID, c.effect, err = s.booked.identify(c, k); err != nil {
		return nil, &rejection{status: 503, text: "no id could be made for the request"}
	}
	r.id = c.clientID
	c.Customer, c.Plan, c.Class, c.Units, c.FirstGateway, c.GatewayCount = k.Number, k.Plan, k.Class.Name, k.Units, k.First, k.Spread
	c.Retry, c.Effect = k.Retry, c.effect
	return c, nil
}

// identify gives a request an id, where its client sent none, and finds how careful
// it has to be.
func (b *bookReader) identify(c *openRequest, k *routing.Ticket) (id string, e policy.Effect, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.strictestEffects == nil {
		b.strictestEffects = routing.NewCareful(maxTrackedKeys)
	}
	if id = k.ID; id == "" {
		var raw [16]byte
		if _, err := io.ReadFull(b.random, raw[:]); err != nil {
			return "", e, err
		}
		id = hex.EncodeToString(raw[:])
	}
	return id, b.strictestEffects.Hold(c.arrived, k), nil
}

// bookFields are the fields that tell an answer's client what its request was read
// as, where the operator lets it.
func (r *clientRequest) bookFields() string {
	if r.ticket == nil || !r.ticket.Table.Tell {
		return ""
	}
	return routing.BookField + ": " + r.ticket.Table.Book.Generation + "\r\n" +
		routing.OperationField + ": " + printableField(r.ticket.Route.Operation) + "\r\n" +
		routing.UnitsField + ": " + strconv.FormatFloat(r.ticket.Units, 'f', -1, 64) + "\r\n"
}

// printableField writes what stood in a description so that it can stand in a field.
func printableField(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c > '~' {
			return '_'
		}
		return c
	}, s)
}

// appendForwardedFields writes the fields with which a request read under a book goes on.
func (r *clientRequest) appendForwardedFields(b []byte) []byte {
	k := r.ticket
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
	field("X-Class", k.Class.Name)
	pass("Content-Type")
	for _, name := range k.Table.Pass {
		if !strings.EqualFold(name, "Content-Type") {
			pass(name)
		}
	}
	if k.Table.PassKey {
		for _, p := range k.Table.Book.Keys {
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
	if k.Table.Tell {
		b = append(b, "\r\n"...)
		b = append(b, strings.TrimSuffix(r.bookFields(), "\r\n")...)
	}
	return b
}
