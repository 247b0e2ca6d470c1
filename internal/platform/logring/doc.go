// Package logring keeps the latest detailed log lines in a ring in memory, and writes them out only when an error is logged.
// Lines are formatted when they are written out.
package logring
