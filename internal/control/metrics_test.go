package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// metricValue returns the value of one of the replica's metrics; -1 if there is none of this name.
func (r *runningReplica) metricValue(name string) float64 {
	for _, f := range r.collectMetrics() {
		if f.Name == name {
			return f.Value
		}
	}
	return -1
}

// The metrics show that a replica is cut off, and that an agent lacks the configuration in force.
func TestMetricsShowWhoIsBehind(t *testing.T) {
	runAgentCluster(t, 3, func(f *agentCluster) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		held := f.replicas[0].configurationInForce().Sum()
		agent, stop := f.startAgentWithPing(0, "1", peerlink.Ping{Gen: 2, Held: 2, Sum: held, Upstream: true})
		defer stop()
		f.pingFor(2*time.Second, agent)
		cut := f.replicas[0]
		assert.Assert(t, cut.metricValue("control_touch_age_seconds") < 1 && cut.metricValue("control_voters_reached") == 3 && cut.metricValue("control_agents_following") == 1 &&
			cut.metricValue("control_agents_behind") == 0 && cut.metricValue("control_configuration") == 2)
		f.replaceUntilAcknowledged(1, configurationBody(3, "a"))
		f.pingFor(2*time.Second, agent) // it is sent the new one, but goes on reporting the old one
		assert.Assert(t, cut.metricValue("control_agents_behind") == 1 && cut.metricValue("control_agents_behind_longest_seconds") >= 2, "%v", cut.collectMetrics())
		f.partition(ips(0), ips(1, 2), sim.Silent)
		f.pingFor(3*time.Second, agent)
		assert.Assert(t, cut.metricValue("control_touch_age_seconds") > 2 && cut.metricValue("control_voters_reached") == 1, "%v", cut.collectMetrics())
		assert.Assert(t, agent.pong.InTouch && agent.pong.TouchAge > 2*time.Second, "%+v", agent.pong)
		f.partition(ips(0), ips(1, 2), sim.Open)
		f.pingFor(3*time.Second, agent)
		assert.Assert(t, cut.metricValue("control_touch_age_seconds") < 1 && cut.metricValue("control_voters_reached") == 3)
	})
}
