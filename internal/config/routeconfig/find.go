package routeconfig

import "strings"

// host holds the routes of a host by their prefixes.
type host struct {
	routes  map[string]*Route
	longest int // bytes of the longest prefix

	homes       []string // of all that are bound
	bound, free int      // routes with a key
}

// index prepares the look-ups. Of things that clash the first is kept.
func (p *Configuration) index() {
	p.hosts = make(map[string]*host)
	p.tenants = make(map[string]*Tenant)
	p.backends = make(map[string]*Backend, len(p.Backends))
	for i := range p.Routes {
		r := &p.Routes[i]
		name := Bare(r.Host)
		h := p.hosts[name]
		if h == nil {
			h = &host{routes: make(map[string]*Route)}
			p.hosts[name] = h
		}
		if h.routes[r.Prefix] == nil {
			h.routes[r.Prefix] = r
			h.longest = max(h.longest, len(r.Prefix))
			h.count(r)
		}
	}
	for i := range p.Backends {
		if b := &p.Backends[i]; p.backends[b.Name] == nil {
			p.backends[b.Name] = b
		}
	}
	for i := range p.Tenants {
		t := &p.Tenants[i]
		for _, key := range t.Keys {
			if p.tenants[key] == nil {
				p.tenants[key] = t
			}
		}
	}
}

// Find returns the route of a host and a path: of those of the host, in any
// case and without a port, the one with the longest prefix that begins the
// path. A query does not count. nil: there is none.
func (p *Configuration) Find(hostname, path string) *Route {
	h := p.hosts[Bare(hostname)]
	if h == nil {
		return nil
	}
	if q := strings.IndexByte(path, '?'); q >= 0 {
		path = path[:q]
	}
	// Prefixes end with a slash: only what ends so is looked up, from the end.
	for end := min(len(path), h.longest); end > 0; end-- {
		end = strings.LastIndexByte(path[:end], '/') + 1
		if end == 0 {
			break
		}
		if r := h.routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Tenant returns whose key it is; nil: nobody's.
func (p *Configuration) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return p.tenants[key]
}

// Keyed tells whether the configuration has tenants, so that requests need keys.
func (p *Configuration) Keyed() bool { return len(p.Tenants) > 0 }

// Backend returns the service of a name; nil: there is none.
func (p *Configuration) Backend(name string) *Backend { return p.backends[name] }

// Bare returns a host in lower case, without a port.
func Bare(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.Trim(host[i+1:], "0123456789") == "" {
		host = host[:i]
	}
	return strings.ToLower(host)
}
