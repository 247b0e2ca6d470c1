// Package serverlist combines the platform's list of servers, the zones that the operator has drained and the settings of
// the services. The result is the list of servers a proxy may send to: which ones run, leave, or are cold and until when.
package serverlist
