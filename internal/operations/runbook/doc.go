// Package runbook says what is to be done about an incident: it reads runbooks of steps, and determines the next step from
// what was done and what is seen. It does no I/O.
package runbook
