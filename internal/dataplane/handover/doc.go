// Package handover decides how proxies leave and join: the stages of a leave, the transfer of a leaving proxy's remaining
// quota units to other proxies, and the growing share of a joining proxy. It does no I/O.
package handover
