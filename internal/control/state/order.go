package state

import "strings"

// Order is an operator's order about a zone, a node (see NodeSubject) or a server (see ServerSubject). Of two orders
// about the same subject the one with the higher Count applies; Count is the version of the state that decided the
// order.
type Order struct {
	Zone  string // the subject
	Count uint64
	By    string // the replica that proposed the order
	Drain bool   // of a zone: send nothing to its servers; of a node: take it out of service
	Word  string `json:",omitempty"` // of a server: the health that the operator assigns; empty: as observed by the proxies
	Until int64  `json:",omitempty"` // of a server: end of the validity of Word, in milliseconds of Unix time
}

// Supersedes reports whether z applies instead of y, which has the same subject. Count is at least 1 in every order.
func (z Order) Supersedes(y Order) bool {
	if z.Count != y.Count {
		return z.Count > y.Count
	}
	return z.By > y.By
}

// nodePrefix begins the subject of an order about a node. No zone name begins with it.
const nodePrefix = "node/"

// NodeSubject returns the subject of orders about a node. They are stored and compared like those about zones.
func NodeSubject(name string) string { return nodePrefix + name }

// Node returns the node that the order is about, or false if it is about something else.
func (z Order) Node() (name string, ok bool) { return strings.CutPrefix(z.Zone, nodePrefix) }

// serverPrefix begins the subject of an order about a server. No zone name begins with it.
const serverPrefix = "server/"

// ServerSubject returns the subject of orders about one incarnation of a server.
func ServerSubject(id string) string { return serverPrefix + id }

// Server returns the server that the order is about, or false if it is about something else.
func (z Order) Server() (id string, ok bool) { return strings.CutPrefix(z.Zone, serverPrefix) }
