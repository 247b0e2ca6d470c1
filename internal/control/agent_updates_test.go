package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// agentCluster is a cluster of replicas with agents.
type agentCluster struct {
	*clusterFixture
	agentsMu sync.Mutex // guards all agents
}

// runAgentCluster runs a test with n replicas and agents.
func runAgentCluster(t *testing.T, n int, story func(f *agentCluster)) {
	runCluster(t, n, func(f *clusterFixture) { story(&agentCluster{clusterFixture: f}) })
}

// pingingAgent is an agent that applies what it is sent and sends the ping that the test sets, when the test says so.
type pingingAgent struct {
	conn    *peerlink.Conn
	ping    peerlink.Ping
	changes []peerlink.Change
	servers *peerlink.Servers
	census  *peerlink.Census
	pong    peerlink.Pong // the last
}

// startAgentWithPing connects an agent to a replica; the returned function ends its session.
func (f *agentCluster) startAgentWithPing(i int, name string, ping peerlink.Ping) (*pingingAgent, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	agent := &pingingAgent{ping: ping}
	host := f.net.Host("10.9.0." + name)
	dialer := &peerlink.Dialer{Net: host, Log: logr.Discard(), Hello: peerlink.Hello{Role: peerlink.Agent, Name: name, Life: 1, Front: name + ":80", Peer: name + ":7602"}}
	go dialer.Keep(ctx, ip(i)+":7600", func(ctx context.Context, conn *peerlink.Conn, _ *peerlink.Hello) error {
		f.agentsMu.Lock()
		agent.conn, agent.servers, agent.census, agent.changes = conn, nil, nil, nil
		agent.sendPing()
		f.agentsMu.Unlock()
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		for {
			frame, err := conn.Receive()
			if err != nil {
				return err
			}
			f.agentsMu.Lock()
			if agent.applyChange(frame.Change); frame.Pong != nil {
				agent.pong = *frame.Pong
			}
			f.agentsMu.Unlock()
		}
	})
	synctest.Wait()
	return agent, cancel
}

func (a *pingingAgent) applyChange(change *peerlink.Change) {
	if change == nil {
		return
	}
	a.changes = append(a.changes, *change)
	if change.Servers != nil {
		a.servers = change.Servers.Onto(a.servers)
	}
	if change.Census != nil {
		a.census = change.Census.Onto(a.census)
	}
}

func (a *pingingAgent) sendPing() { _ = a.conn.Send(&peerlink.Frame{Ping: &a.ping}) }

// pingFor lets time pass, in which all the given agents ping every 100 ms.
func (f *agentCluster) pingFor(d time.Duration, agents ...*pingingAgent) {
	f.agentsMu.Lock()
	defer f.agentsMu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, agent := range agents {
			if agent.conn != nil {
				agent.sendPing()
			}
		}
		f.agentsMu.Unlock()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		synctest.Wait()
		f.agentsMu.Lock()
	}
}

// applyListRead applies a list at a replica as if it had just read it.
func (f *agentCluster) applyListRead(i int, list ...peerlink.Server) {
	replica := f.replicas[i].Replica
	replica.mu.Lock()
	replica.applyList(&peerlink.Servers{Stamp: replica.world.Now().UnixNano(), By: replica.self.Name, List: list})
	replica.mu.Unlock()
}

func (a *pingingAgent) lastChange() peerlink.Change { return a.changes[len(a.changes)-1] }

// lastNonCensusChange returns the last change with servers or a configuration.
func (a *pingingAgent) lastNonCensusChange() (last peerlink.Change) {
	for _, change := range a.changes {
		if change.Servers != nil || change.Configuration != nil {
			last = change
		}
	}
	return last
}

func TestOnlyFollowingAgentsGetUpdates(t *testing.T) {
	runAgentCluster(t, 3, func(f *agentCluster) {
		a, b := peerlink.Server{ID: "a", Capacity: 1}, peerlink.Server{ID: "b", Capacity: 1}
		f.applyListRead(0, a, b)
		follower, stopFollower := f.startAgentWithPing(0, "1", peerlink.Ping{Upstream: true, Ready: true})
		other, stop := f.startAgentWithPing(0, "2", peerlink.Ping{})
		defer stop()
		defer stopFollower()
		f.pingFor(2*time.Second, follower, other) // the second has joined, and the first was sent that
		assert.Assert(t, len(other.changes) == 1 && other.servers == nil && other.census == nil)
		assert.Assert(t, follower.changes[0].Servers == nil && !follower.changes[1].Servers.Part && !follower.changes[1].Census.Part)
		assert.Assert(t, len(follower.servers.List) == 2 && len(follower.census.Proxies) == 2 && follower.census.Shares == 2)

		n := len(follower.changes)
		f.applyListRead(0, a, b)
		f.pingFor(300*time.Millisecond, follower, other)
		assert.Equal(t, len(follower.changes), n) // nothing is new
		b.Draining = true
		f.applyListRead(0, a, b)
		f.pingFor(300*time.Millisecond, follower, other)
		assert.Assert(t, follower.lastNonCensusChange().Servers.Part && len(follower.lastNonCensusChange().Servers.List) == 1 && follower.servers.List[1].Draining)

		// An agent that begins to follow is sent the whole list, with the changes that it missed; so is one that does so again.
		follower.ping.Upstream, other.ping.Upstream = false, true
		f.pingFor(300*time.Millisecond, follower, other)
		assert.Assert(t, !other.lastNonCensusChange().Servers.Part && other.servers.List[1].Draining)
		n = len(follower.changes)
		f.applyListRead(0, a)
		f.pingFor(300*time.Millisecond, follower, other)
		assert.Assert(t, len(follower.changes) == n && len(other.servers.List) == 1)
		assert.DeepEqual(t, other.lastNonCensusChange().Servers.Gone, []string{"b"})
		follower.ping.Upstream = true
		f.pingFor(300*time.Millisecond, follower, other)
		assert.Assert(t, !follower.lastNonCensusChange().Servers.Part && len(follower.servers.List) == 1)

		// A new connection begins with a whole list.
		_ = follower.conn.Close()
		f.applyListRead(0, a, peerlink.Server{ID: "c"})
		f.pingFor(time.Second, follower, other)
		assert.Assert(t, !follower.changes[1].Servers.Part && len(follower.servers.List) == 2)
		assert.DeepEqual(t, follower.servers.List, other.servers.List)
	})
}

// Replicas send each other partial lists too, and a server that was seen draining stays draining.
func TestReplicasExchangePartialLists(t *testing.T) {
	runAgentCluster(t, 3, func(f *agentCluster) {
		agent, stop := f.startAgentWithPing(1, "1", peerlink.Ping{Upstream: true})
		defer stop()
		a, b := peerlink.Server{ID: "a"}, peerlink.Server{ID: "b", WarmLeft: 3 * time.Second}
		f.applyListRead(0, a, b)
		f.pingFor(time.Second, agent)
		a.Draining, b.WarmLeft = true, 2*time.Second
		f.applyListRead(0, a, b)
		f.pingFor(time.Second, agent)
		assert.Assert(t, agent.servers.List[0].Draining && len(agent.lastNonCensusChange().Servers.List) == 1)
		a.Draining, b.WarmLeft = false, 0
		f.applyListRead(2, a, b) // replica 2, which reads now, knows from replica 0 that a is draining
		f.pingFor(time.Second, agent)
		assert.Assert(t, agent.servers.List[0].Draining && agent.servers.List[1].WarmLeft == 0)
		var all *peerlink.Servers
		for i := range f.replicas {
			replica := f.replicas[i].Replica
			replica.mu.Lock()
			assert.Assert(t, all == nil || replica.currentList().Since(all) == nil)
			all = replica.currentList()
			replica.mu.Unlock()
		}
	})
}

func TestLargeCensusIsSentLessOften(t *testing.T) {
	runAgentCluster(t, 1, func(f *agentCluster) {
		var agents []*pingingAgent
		for i := range maxSmallCensusProxies + 2 {
			agent, stop := f.startAgentWithPing(0, fmt.Sprint(10+i), peerlink.Ping{Ready: true, Every: time.Second})
			defer stop()
			agents = append(agents, agent)
		}
		follower := agents[0]
		follower.ping.Upstream = true
		f.pingFor(2*time.Second, agents...)
		assert.Equal(t, len(follower.census.Proxies), maxSmallCensusProxies+2)
		n := len(follower.changes)
		for i := range 10 { // the proxies go down one after another
			agents[i+1].ping.Ready = false
			agents[i+1].sendPing()
			f.pingFor(20 * time.Millisecond)
		}
		f.pingFor(time.Second, agents...)
		sentOnFall := len(follower.changes) - n
		for i := range 10 {
			agents[i+1].ping.Ready = true
			agents[i+1].sendPing()
			f.pingFor(20 * time.Millisecond)
		}
		f.pingFor(time.Second, agents...)
		assert.Assert(t, sentOnFall <= 3 && len(follower.changes)-n-sentOnFall <= 2, "%d, %d", sentOnFall, len(follower.changes)-n)
		assert.Assert(t, follower.lastChange().Census.Part && len(follower.lastChange().Census.Proxies) < maxSmallCensusProxies)

		_ = agents[3].conn.Close()
		f.pingFor(300*time.Millisecond, agents[:3]...)
		before := len(follower.changes)
		agents[5].ping.Ready = false
		agents[5].sendPing()
		f.pingFor(250 * time.Millisecond)
		assert.Assert(t, len(follower.changes) > before && !follower.census.Proxies[5].Ready)
		f.pingFor(2900 * time.Millisecond)
		assert.Assert(t, follower.census.Proxies[8].Alive) // it has sent nothing lately, but its long heartbeat interval allows for that
		f.pingFor(700*time.Millisecond, follower)
		assert.Assert(t, !follower.census.Proxies[8].Alive && follower.census.Proxies[0].Alive)
	})
}
