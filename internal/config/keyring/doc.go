// Package keyring tells which member library an API key names. It holds salted
// hashes and never a key, and does no I/O.
package keyring
