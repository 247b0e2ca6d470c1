package node

// The known app servers and the idle connections to them.

import (
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// appServer is one server with its idle connections, newest last.
type appServer struct {
	uid             string
	addr            string
	bootMS          float64
	state           policy.State
	notRunningSince time.Duration // when this proxy learned that the server no longer accepts new work
	idle            []*upConn
	maxIdle         int           // limit on idle connections to this server; 0: none
	fastestConnect  time.Duration // shortest time that a connection took to establish; 0: no connection was made yet
}

// update applies a server list. A partial list holds only changes.
func (u *upstream) update(l *serverList, complete bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.now()
	listed := map[policy.ServerID]bool{}
	for i := range l.Targets {
		t := &l.Targets[i]
		id := serverID(t.UID)
		listed[id] = true
		s := u.servers[id]
		if s == nil {
			s = &appServer{uid: t.UID, addr: t.Endpoint, bootMS: t.BootMS}
			u.servers[id] = s
		}
		if t.State != "DELETED" && (s.addr != t.Endpoint || s.bootMS != t.BootMS) {
			u.dropIdle(s) // they belong to the server's previous process or address
			s.addr, s.bootMS, s.fastestConnect = t.Endpoint, t.BootMS, 0
		}
		s.maxIdle = t.maxIdleConns
		u.setState(s, targetStates[t.State], now)
	}
	// Removed servers are deleted. An attempt in flight to one keeps its connection, and no new attempt can select
	// it.
	for id, s := range u.servers {
		if s.state == policy.Removed || complete && !listed[id] {
			u.dropIdle(s)
			delete(u.servers, id)
		}
	}
}

// setState sets a server's state and records when it stops accepting new work.
func (u *upstream) setState(s *appServer, state policy.State, now time.Duration) {
	if s.state == policy.Running && state != policy.Running {
		s.notRunningSince = now
	}
	s.state = state
}

// dropIdle closes a server's idle connections.
func (u *upstream) dropIdle(s *appServer) {
	for _, c := range s.idle {
		c.Close()
	}
	u.openConns -= len(s.idle)
	s.idle = nil
}

// isClosedToWork reports whether a server gets no new requests any more. It stops drainGraceMargin before the drain
// grace ends, because bytes already written still need time to arrive.
func (u *upstream) isClosedToWork(id policy.ServerID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	return s == nil || s.state != policy.Running && u.clock.now()-s.notRunningSince >= max(0, u.drainGrace-drainGraceMargin)
}

// takeConnection returns the newest idle connection that is still usable, or else the address to dial. ok is false if
// the connection limit is reached or the server is unknown. Under the managed protocol, a request gets no connection that has
// carried its id, and one that may run at most once gets none of an idle age at which one broke recently.
func (u *upstream) takeConnection(id policy.ServerID, requestID string, atMostOnce bool) (c *upConn, addr string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil {
		return nil, "", false
	}
	now, maxAge := u.clock.now(), u.idleAges.maxUsableAge(u.idleTimeout)
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if now-c.idleSince < u.reuseDelay || requestID != "" && c.carried.contains(requestID) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if now-c.idleSince < maxAge && isQuiet(c) && !(atMostOnce && u.isManaged && u.idleAges.brokeRecently(now-c.idleSince, now)) {
			return c, "", true
		}
		c.Close()
		u.openConns--
	}
	if u.openConns >= u.maxConns && !u.dropOldest() {
		return nil, "", false
	}
	u.openConns++
	return nil, s.addr, true
}

// recordConnectTime records how long a connection took to establish and returns the shortest such time.
func (u *upstream) recordConnectTime(id policy.ServerID, took time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil {
		return took
	}
	if s.fastestConnect == 0 || took < s.fastestConnect {
		s.fastestConnect = took
	}
	return s.fastestConnect
}

// dropOldest closes the connection that has been idle the longest. It returns false if there is none.
func (u *upstream) dropOldest() bool {
	var from *appServer
	for _, s := range u.servers {
		if len(s.idle) > 0 && (from == nil || s.idle[0].idleSince < from.idle[0].idleSince) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].Close()
	from.idle = slices.Delete(from.idle, 0, 1)
	u.openConns--
	return true
}

// discard closes a connection that can't be used again. A nil connection was counted but never established.
func (u *upstream) discard(c *upConn) {
	if c != nil {
		c.Close()
	}
	u.mu.Lock()
	u.openConns--
	u.mu.Unlock()
}

// returnConnection makes a connection idle, or closes it if its server has changed or keeps enough idle ones.
func (u *upstream) returnConnection(id policy.ServerID, c *upConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil || s.addr != c.RemoteAddr().String() {
		c.Close()
		u.openConns--
		return
	}
	if c.idleSince = u.clock.now(); s.maxIdle > 0 && len(s.idle) >= s.maxIdle {
		c.Close() // the server limits its idle connections from all proxies together
		u.openConns--
		return
	}
	s.idle = append(s.idle, c)
}

// closeStaleConnections closes idle connections that are too old or that the server has closed.
func (u *upstream) closeStaleConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, maxAge := u.clock.now(), u.idleAges.maxUsableAge(u.idleTimeout)
	u.idleAges.decay()
	for _, s := range u.servers {
		s.idle = slices.DeleteFunc(s.idle, func(c *upConn) bool {
			if now-c.idleSince < maxAge && isQuiet(c) {
				return false
			}
			c.Close()
			u.openConns--
			return true
		})
	}
}

// isQuiet reports whether nothing has arrived on an idle connection: neither its end nor unexpected bytes.
func isQuiet(c *upConn) bool {
	return c.input.buffered() == 0 && world.Peek(c.Conn) == world.PeekQuiet
}

// uid returns a server's identifier on the wire, or an empty string if the server is unknown.
func (u *upstream) uid(id policy.ServerID) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.servers[id]; s != nil {
		return s.uid
	}
	return ""
}
