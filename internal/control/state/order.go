package state

import "strings"

// Order is an operator's order about a zone, a node (NodeSubject) or a server (ServerSubject).
// The higher Count holds: it is the version of the state that decided the order.
type Order struct {
	Zone  string // the subject
	Count uint64
	By    string // the replica that proposed the order
	Drain bool   // of a zone: send nothing to its servers; of a node: take it out of service
	Word  string `json:",omitempty"` // of a server: the health that the operator assigns; empty: as observed by the proxies
	Until int64  `json:",omitempty"` // of a server: end of the validity of Word, in milliseconds of Unix time
}

// Supersedes tells whether z is to hold in place of y of the same subject. No order has
// the count 0.
func (z Order) Supersedes(y Order) bool {
	if z.Count != y.Count {
		return z.Count > y.Count
	}
	return z.By > y.By
}

// nodePrefix begins the subject of an order about a node; no zone is called so.
const nodePrefix = "node/"

// NodeSubject is the subject of orders about a node: they are kept and compared as those about zones are.
func NodeSubject(name string) string { return nodePrefix + name }

// Node is the node that an order is about; false: it is about something else.
func (z Order) Node() (name string, is bool) { return strings.CutPrefix(z.Zone, nodePrefix) }

// serverPrefix begins the subject of an order about a server; no zone is called so.
const serverPrefix = "server/"

// ServerSubject is the subject of orders about a life of a server.
func ServerSubject(id string) string { return serverPrefix + id }

// Server is the server that an order is about; false: it is about something else.
func (z Order) Server() (id string, is bool) { return strings.CutPrefix(z.Zone, serverPrefix) }
