// Package conffile reads the TOML files that operators write: strictly, with
// every fault named by file, line and key, and with what each key's change
// needs.
package conffile
