// Package demo runs a whole installation on one machine (loan servers, discovery, clients and a supervised fleet), injects
// faults by a script, and has the audit judge the result.
package demo
