package api

// The paths of ctl. Those of drains are followed by the name of a zone.
const (
	ConfigReplace = "/-/Config.Replace"
	ConfigShow    = "/-/Config.Show"
	DrainBegin    = "/-/Drain.Begin/"
	DrainFinish   = "/-/Drain.Finish/"
)

// DirLookup is the path of dir. Its query has LookupName, LookupRegion and LookupZone.
const (
	DirLookup    = "/-/lookup"
	LookupName   = "name"
	LookupRegion = "region"
	LookupZone   = "zone"
)

// CloudServers is the path of the platform's list. Its query may have ServersZone and ServersToken.
const (
	CloudServers = "/servers"
	ServersZone  = "zone"
	ServersToken = "page_token"
)

// MostAddresses is how many addresses a Lookup has at most.
const MostAddresses = 64

// Lookup answers a client that asks where to go.
type Lookup struct {
	AddrList []string `json:"addr_list"` // host:port
	TTLS     float64  `json:"ttl_s"`     // seconds
}

// Page is one page of the platform's list.
type Page struct {
	Table     Table   `json:"servers"`
	NextToken *string `json:"next_token"` // of the page after it; nil on the last one
}

// Table holds servers by columns.
type Table struct {
	Cols []string `json:"cols"`
	Rows [][]any  `json:"rows"` // values in the order of Cols; nil: left out
}
