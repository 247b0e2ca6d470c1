package node

// The app servers there are, and the connections to them that stand idle.

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
	notRunningSince time.Duration // when this edge node heard that it drains
	idle            []*upConn
	maxIdle         int           // idle ones kept; 0: any number
	fastestConnect  time.Duration // the least time in which a connection came up; 0: none has
}

// update takes over the list or changes to it.
func (u *upstream) update(l *serverList, whole bool) {
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
			u.dropIdle(s) // they lead to the process before
			s.addr, s.bootMS, s.fastestConnect = t.Endpoint, t.BootMS, 0
		}
		s.maxIdle = t.maxIdleConns
		u.setState(s, targetStates[t.State], now)
	}
	// What is gone is forgotten: an attempt that is out has its connection, and
	// nothing new finds a way there.
	for id, s := range u.servers {
		if s.state == policy.Removed || whole && !listed[id] {
			u.dropIdle(s)
			delete(u.servers, id)
		}
	}
}

func (u *upstream) setState(s *appServer, state policy.State, now time.Duration) {
	if s.state == policy.Running && state != policy.Running {
		s.notRunningSince = now
	}
	s.state = state
}

func (u *upstream) dropIdle(s *appServer) {
	for _, c := range s.idle {
		c.Close()
	}
	u.openConns -= len(s.idle)
	s.idle = nil
}

// isClosedToWork tells whether new work to the server is over. It is so before the
// grace runs out: the bytes have a way to go yet.
func (u *upstream) isClosedToWork(id policy.ServerID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	return s == nil || s.state != policy.Running && u.clock.now()-s.notRunningSince >= max(0, u.drainGrace-drainGraceMargin)
}

// takeConnection returns the newest idle connection that is still good, or else the
// address to dial; ok is false when there are too many connections or no such
// server. What may run once gets none on a system's wire as old as one that
// broke lately.
func (u *upstream) takeConnection(id policy.ServerID, once bool) (c *upConn, addr string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.servers[id]
	if s == nil {
		return nil, "", false
	}
	now, most := u.clock.now(), u.idleAges.maxUsableAge(u.idleTimeout)
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if now-c.idleSince < u.reuseDelay {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if now-c.idleSince < most && isQuiet(c) && !(once && u.isManaged && u.idleAges.brokeRecently(now-c.idleSince, now)) {
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

// recordConnectTime takes in how long a connection took to come up, and returns the least such time.
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

// dropOldest closes the connection that is idle for longest.
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

// discard closes a connection that can't be used again; c may be nil when it
// never came up.
func (u *upstream) discard(c *upConn) {
	if c != nil {
		c.Close()
	}
	u.mu.Lock()
	u.openConns--
	u.mu.Unlock()
}

// returnConnection puts a connection back.
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
		c.Close() // the server takes so many from all
		u.openConns--
		return
	}
	s.idle = append(s.idle, c)
}

// closeStaleConnections closes connections that are idle for long or that the server closed.
func (u *upstream) closeStaleConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, most := u.clock.now(), u.idleAges.maxUsableAge(u.idleTimeout)
	u.idleAges.decay()
	for _, s := range u.servers {
		s.idle = slices.DeleteFunc(s.idle, func(c *upConn) bool {
			if now-c.idleSince < most && isQuiet(c) {
				return false
			}
			c.Close()
			u.openConns--
			return true
		})
	}
}

// isQuiet tells whether nothing has come on an idle connection: neither its end
// nor bytes that nobody asked for.
func isQuiet(c *upConn) bool {
	return c.input.buffered() == 0 && world.Peek(c.Conn) == world.PeekQuiet
}

// uid is a server's name on the wire.
func (u *upstream) uid(id policy.ServerID) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.servers[id]; s != nil {
		return s.uid
	}
	return ""
}
