// Package operator reads the operator file: what operators may set beyond what the platform tells an edge node. Every section
// is off or at the platform's own values by default.
package operator
