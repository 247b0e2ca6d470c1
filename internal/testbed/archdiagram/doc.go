// Package archdiagram draws the programs' packages and interfaces: it makes a picture and a page from the code's own imports
// and the deploy file.
package archdiagram
