// Package bookfile writes a compiled route book as one file and reads it: equal
// books give equal bytes, and a spoilt file of any kind ends in an error.
package bookfile
