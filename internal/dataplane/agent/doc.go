// Package agent implements the process beside a proxy. It receives updates from every control
// replica, passes the newest ones to its proxy, and reports the proxy's state to the replicas.
package agent
