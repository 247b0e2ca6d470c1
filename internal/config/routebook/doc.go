// Package routebook turns an operation's method and path into what a request
// costs and whether it may run again. A book is compiled whole, never changes,
// and does no I/O.
package routebook
