// Package serverhealth detects servers that accept requests but don't complete them reliably. It combines the outcomes that
// all proxies observed for each incarnation of a server, over all tenants, into one verdict. It does no I/O.
package serverhealth
