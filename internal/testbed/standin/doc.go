// Package standin holds stand-ins for the surroundings of a fleet of edge nodes: loan servers, the discovery agent, the shared
// counter and the front with its clients. All of them speak the published protocol on loopback sockets, fail by a script, and
// report what they saw to an audit.
package standin
