package node

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// A server accepts a limited number of connections from all proxies together. A proxy keeps no more idle than its share.
func TestIdleConnectionsPerServerAreBounded(t *testing.T) {
	id := serverID("i-1")
	u := &upstream{clock: newClock(world.Real{}), servers: map[policy.ServerID]*appServer{}, openConns: 3}
	u.update(&serverList{All: true, Targets: []target{{UID: "i-1", Endpoint: "pipe", State: "SERVING", maxIdleConns: 2}}}, true)
	for range 3 {
		c, other := net.Pipe()
		defer other.Close()
		u.returnConnection(id, &upConn{Conn: c, upstream: u})
	}
	assert.Equal(t, len(u.servers[id].idle), 2)
	assert.Equal(t, u.openConns, 2)
}
