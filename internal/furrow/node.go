package furrow

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// nodeMark begins the subject of an order about a node; no zone is called so.
const nodeMark = "node/"

// OfNode is the subject of orders about a node: they are kept and compared as those about zones are.
func OfNode(name string) string { return nodeMark + name }

// Node is the node that an order is about; false: it is about a zone.
func (z Zone) Node() (name string, is bool) { return strings.CutPrefix(z.Zone, nodeMark) }

// serverMark begins the subject of an order about a server; no zone is called so.
const serverMark = "server/"

// OfServer is the subject of orders about a life of a server.
func OfServer(id string) string { return serverMark + id }

// Server is the server that an order is about; false: it is about something else.
func (z Zone) Server() (id string, is bool) { return strings.CutPrefix(z.Zone, serverMark) }

// SumOf tells orders held from others, in few bytes; 0: there are none.
func SumOf(all []Zone) uint64 {
	if len(all) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, z := range all {
		b := binary.AppendUvarint(nil, uint64(len(z.Zone)))
		b = append(b, z.Zone...)
		b = binary.AppendUvarint(b, z.Count)
		b = append(b, z.By...)
		b = append(b, 0)
		if z.Drain {
			b = append(b, 1)
		}
		if z.Word != "" {
			b = binary.AppendVarint(append(b, z.Word...), z.Until)
		}
		_, _ = d.Write(b)
	}
	return max(d.Sum64(), 1)
}

// Figures are what a gate tells of its traffic, to those who want to know.
type Figures struct {
	Open    int           // requests that are not answered
	Clients int           // connections
	Span    time.Duration // over which the rest was counted
	Served  uint32        // answered by a server, not with 5xx
	Refused uint32        // 429 and 503
	Failed  uint32        // other 5xx
}

// Asked is a gate's requests of the last minute by route, to those who want to know.
type Asked struct {
	Gen    uint64 // of the configuration that they came in by
	Span   time.Duration
	Routes []RouteAsked // those without requests left out
	Rest   uint32       // requests of routes that are left out as well
}

// RouteAsked is how many requests a route had.
type RouteAsked struct {
	Route    uint32 // its place among the configuration's, from 0
	Requests uint32
}

// Lock keeps two who change things from crossing. A barn grants it to one token at a time, and forgets it by itself.
type Lock struct {
	Token string
	Who   string
	Since int64         // nanoseconds of Unix time, by the holder's clock
	For   time.Duration // as asked for, from its grant on; 0: it is let go. In answers: what is left of it
}
