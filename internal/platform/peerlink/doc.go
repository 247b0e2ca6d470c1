// Package peerlink carries the system's messages between its own processes: long-lived connections, numbered changes,
// counted acknowledgements, gob frames of a bounded size.
package peerlink
