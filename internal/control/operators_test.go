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

func (f *clusterFixture) get(i int, path string, into any) int {
	f.t.Helper()
	c := http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}, Timeout: 2 * time.Second}
	res, err := c.Get("http://" + ip(i) + ":8200" + path)
	assert.NilError(f.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(f.t, err)
	assert.NilError(f.t, json.Unmarshal(body, into), string(body))
	return res.StatusCode
}

func TestOperatorEndpoints(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		f.waitFor(time.Second, "hold", func() bool {
			return f.replicas[2].configurationInForce() != nil && f.replicas[2].Status(context.Background()).Confirmed.Gen == "r3"
		})
		ring := logring.New(f.net, 4, io.Discard)
		f.replicas[1].SetLogRing(ring)
		ring.Logger().Info("one", "n", 1)
		ring.Dump("two")
		f.disks[2].SetFull(true)
		c := http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}}
		res, err := c.Post("http://"+ip(1)+":8200"+api.DrainBegin+"z1", "", nil)
		assert.NilError(t, err)
		res.Body.Close()
		f.kill(0, true)
		time.Sleep(3 * time.Second)
		var s api.Status
		assert.Equal(t, f.get(2, api.OpsStatus, &s), 200)
		assert.Equal(t, s.Confirmed.Gen, "r3")
		assert.Assert(t, s.Eligible && s.Majority == 2 && s.Disk != "" && s.FreshMS >= 0, "%+v", s)
		assert.DeepEqual(t, []bool{s.Replicas[0].Answered, s.Replicas[1].Answered, s.Replicas[2].Answered}, []bool{false, true, true})
		assert.Assert(t, len(s.Zones) == 1 && s.Zones[0].Drained, "%+v", s.Zones)
		f.get(1, api.OpsStatus, &s)
		assert.Assert(t, s.Zones[0].Confirmed)
		assert.Assert(t, s.Duties[0].Holder != "replica-0")
		var h api.History
		f.get(1, api.OpsHistory, &h)
		assert.Assert(t, len(h.Orders) == 1 && h.Orders[0].Kind == api.OrderEvacuate && h.Orders[0].End == "acknowledged", "%+v", h)
		var l api.Log
		f.get(1, api.OpsLog, &l)
		assert.Assert(t, len(l.Lines) == 2 && l.Next == 2 && l.Lines[0].Text == "one n=1", "%+v", l)
		f.get(1, api.OpsLog+"?from=2", &l)
		assert.Equal(t, len(l.Lines), 0)
		var fault map[string]string
		assert.Equal(t, f.get(1, api.OpsLog+"?from=x", &fault), 400)
		synctest.Wait()
	})
}

// Each replica tells who has the list's duty, who is next and in which term, also after the holder has gone; and which
// version is in force at which proxies, by name where one may serve something old.
func TestStatusShowsLeaseAndVersions(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		defer f.startAgent("1", 1).stop()
		behind := f.startAgent("2", 1)
		defer behind.stop()
		f.waitFor(3*time.Second, "in force", behind.holds(func(h *simAgent) bool { return h.held == 3 }))
		told := func(of ...int) (s api.Status) {
			for _, i := range of {
				was := s
				assert.Equal(t, f.get(i, api.OpsStatus, &s), 200)
				assert.Assert(t, was.Replica == "" || was.Duties[0].Holder == s.Duties[0].Holder && was.Duties[0].Next == s.Duties[0].Next, "%+v", s.Duties)
			}
			return s
		}
		time.Sleep(2 * time.Second)
		was := told(0, 1, 2).Duties[0]
		assert.Assert(t, was.Holder != "" && was.Next != "" && was.Next != was.Holder && was.Epoch > 0, "%+v", was)
		assert.DeepEqual(t, told(1).Versions, []api.VersionAt{{Gen: "r3", Proxies: 2, Lag: []string{}}})
		f.partition([]string{"10.1.0.2"}, ips(0, 1, 2), sim.Silent)
		f.replaceUntilAcknowledged(0, configurationBody(4, "a"))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, told(1).Versions, []api.VersionAt{{Gen: "r4", Proxies: 1, Lag: []string{}}, {Gen: "", Proxies: 1, Lag: []string{"proxy-2"}}})
		holder := int(was.Holder[len(was.Holder)-1] - '0')
		f.kill(holder, false)
		time.Sleep(3 * time.Second)
		is := told((holder+1)%3, (holder+2)%3).Duties[0]
		assert.Assert(t, is.Holder == was.Next && is.Next != was.Holder && is.Next != "", "%+v", is)
		assert.Assert(t, is.Epoch > was.Epoch || is.Epoch == was.Epoch && is.Step > was.Step, "%+v", is)
	})
}
