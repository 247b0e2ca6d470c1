// Package operatorclient is the client of the operators' interface (ctl): it asks all replicas, joins their answers into one
// view, and gives orders.
package operatorclient
