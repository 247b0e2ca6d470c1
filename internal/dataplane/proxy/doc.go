// Package proxy runs a proxy process: it serves clients' requests with a managed node and exchanges configuration, lists and
// health reports with its agent over a loopback connection.
package proxy
