// Package orderlog keeps a log of operators' orders across restarts of a replica. The log is informational: losing
// entries does no harm.
package orderlog
