// Package homing decides for which hosts clients are sent to the host's home region, instead of having their requests
// forwarded there one by one. A bound request has to be served in the home region, a free one may be served in any. The
// package counts the bound and the free requests of each host. It does no I/O.
package homing
