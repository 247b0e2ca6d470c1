// Package audit judges a fleet of edge nodes from outside: from what clients
// and loan servers saw it finds each break of the five rules, and names the
// request, the server and the moment.
package audit
