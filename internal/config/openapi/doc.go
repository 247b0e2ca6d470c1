// Package openapi reads OpenAPI descriptions (3.0 and 3.1, JSON or YAML) into
// the routes of a routebook: each operation with its class, its units and
// whether it may run again, and the line that decided it.
package openapi
