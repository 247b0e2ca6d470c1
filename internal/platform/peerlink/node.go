package peerlink

import "time"

// Figures are a proxy's traffic figures, sent to processes that ask for them.
type Figures struct {
	Open    int           // requests that are not answered
	Clients int           // connections
	Span    time.Duration // over which the rest was counted
	Served  uint32        // answered by a server, not with 5xx
	Refused uint32        // 429 and 503
	Failed  uint32        // other 5xx
}

// Asked counts a proxy's requests of the last minute by route, sent to processes that ask for it.
type Asked struct {
	Gen    uint64 // of the configuration that they came in by
	Span   time.Duration
	Routes []RouteAsked // those without requests left out
	Rest   uint32       // requests of routes that are left out as well
}

// RouteAsked counts the requests of a route.
type RouteAsked struct {
	Route    uint32 // its place among the configuration's, from 0
	Requests uint32
}
