package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/platform/logring"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// get reads a JSON response of a replica's operator interface and returns the status.
func (f *clusterFixture) get(i int, path string, into any) int {
	f.t.Helper()
	client := http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}, Timeout: 2 * time.Second}
	response, err := client.Get("http://" + ip(i) + ":8200" + path)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	assert.NilError(f.t, json.Unmarshal(body, into), string(body))
	return response.StatusCode
}

// The operator interface shows status, history and log, also while a disk is full and a replica is lost.
func TestOperatorEndpoints(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		f.waitFor(time.Second, "decided everywhere", func() bool {
			return f.replicas[2].configurationInForce() != nil && f.replicas[2].Status(context.Background()).Confirmed.Gen == "r3"
		})
		ring := logring.New(f.net, 4, io.Discard)
		f.replicas[1].SetLogRing(ring)
		ring.Logger().Info("one", "n", 1)
		ring.Dump("two")
		f.disks[2].SetFull(true)
		client := http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}}
		response, err := client.Post("http://"+ip(1)+":8200"+api.DrainBegin+"z1", "", nil)
		assert.NilError(t, err)
		response.Body.Close()
		f.kill(0, true)
		time.Sleep(3 * time.Second)
		var status api.Status
		assert.Equal(t, f.get(2, api.OpsStatus, &status), 200)
		assert.Equal(t, status.Confirmed.Gen, "r3")
		assert.Assert(t, status.Eligible && status.Majority == 2 && status.Disk != "" && status.FreshMS >= 0, "%+v", status)
		assert.DeepEqual(t, []bool{status.Replicas[0].Answered, status.Replicas[1].Answered, status.Replicas[2].Answered}, []bool{false, true, true})
		assert.Assert(t, len(status.Zones) == 1 && status.Zones[0].Drained, "%+v", status.Zones)
		f.get(1, api.OpsStatus, &status)
		assert.Assert(t, status.Zones[0].Confirmed)
		assert.Assert(t, status.Duties[0].Holder != "replica-0")
		var history api.History
		f.get(1, api.OpsHistory, &history)
		assert.Assert(t, len(history.Orders) == 1 && history.Orders[0].Kind == api.OrderEvacuate && history.Orders[0].End == "acknowledged", "%+v", history)
		var log api.Log
		f.get(1, api.OpsLog, &log)
		assert.Assert(t, len(log.Lines) == 2 && log.Next == 2 && log.Lines[0].Text == "one n=1", "%+v", log)
		f.get(1, api.OpsLog+"?from=2", &log)
		assert.Equal(t, len(log.Lines), 0)
		var fault map[string]string
		assert.Equal(t, f.get(1, api.OpsLog+"?from=x", &fault), 400)
		synctest.Wait()
	})
}

// Each replica's status shows the list lease's holder, successor and term, also after the holder has gone. It also shows how
// many proxies have each version in force, with the names of those that may serve an old one.
func TestStatusShowsLeaseAndVersions(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		defer f.startAgent("1", 1).stop()
		behind := f.startAgent("2", 1)
		defer behind.stop()
		f.waitFor(3*time.Second, "in force", behind.holds(func(agent *simAgent) bool { return agent.heldGen == 3 }))
		statusOf := func(of ...int) (status api.Status) {
			for _, i := range of {
				before := status
				assert.Equal(t, f.get(i, api.OpsStatus, &status), 200)
				assert.Assert(t, before.Replica == "" || before.Duties[0].Holder == status.Duties[0].Holder && before.Duties[0].Next == status.Duties[0].Next, "%+v", status.Duties)
			}
			return status
		}
		time.Sleep(2 * time.Second)
		before := statusOf(0, 1, 2).Duties[0]
		assert.Assert(t, before.Holder != "" && before.Next != "" && before.Next != before.Holder && before.Epoch > 0, "%+v", before)
		assert.DeepEqual(t, statusOf(1).Versions, []api.VersionAt{{Gen: "r3", Proxies: 2, Lag: []string{}}})
		f.partition([]string{"10.1.0.2"}, ips(0, 1, 2), sim.Silent)
		f.replaceUntilAcknowledged(0, configurationBody(4, "a"))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, statusOf(1).Versions, []api.VersionAt{{Gen: "r4", Proxies: 1, Lag: []string{}}, {Gen: "", Proxies: 1, Lag: []string{"proxy-2"}}})
		holder := int(before.Holder[len(before.Holder)-1] - '0')
		f.kill(holder, false)
		time.Sleep(3 * time.Second)
		after := statusOf((holder+1)%3, (holder+2)%3).Duties[0]
		assert.Assert(t, after.Holder == before.Next && after.Next != before.Holder && after.Next != "", "%+v", after)
		assert.Assert(t, after.Epoch > before.Epoch || after.Epoch == before.Epoch && after.Step > before.Step, "%+v", after)
	})
}
