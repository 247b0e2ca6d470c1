// Package routeconfig is the operator's configuration: its types, reading, checks and look-ups, without input or output.
package routeconfig
