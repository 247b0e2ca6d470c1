// Package control runs one replica of the control plane. Together with the other replicas it stores the operators'
// configuration and orders on disk and decides on changes by majority. It keeps a census of proxies and replicas, reads
// and shares the list of servers, and sends each proxy's agent what is in force.
package control
