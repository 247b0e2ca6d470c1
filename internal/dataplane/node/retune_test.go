package node

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// Retune applies new limits at once, without affecting requests in progress and without changing addresses.
func TestRetuneManagedNode(t *testing.T) {
	runManaged(t, true, func(r *managedFixture) {
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			time.Sleep(time.Second)
			return servedAnswer(c, q)
		}, servedAnswer}
		r.configure()
		r.ConfirmConfiguration(0)
		time.Sleep(3 * time.Second)
		slow := r.dial()
		_, err := io.WriteString(slow, requestText("/act/", ""))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.request("/act/", "").StatusCode, 200)
		cfg := r.cfg
		cfg.RevocationLimit, cfg.Grace, cfg.RetrySlack, cfg.WarmupSlack, cfg.Zone = 2*time.Second, 2*time.Second, 10, 7, "b"
		r.Retune(cfg)
		assert.Equal(t, r.request("/act/", "").StatusCode, 503) // control's last confirmation is too old now
		a := r.readAnswer(slow)
		assert.Assert(t, a.StatusCode == 200 && a.body == "yes")
		r.ConfirmConfiguration(0)
		assert.Equal(t, r.request("/act/", "").StatusCode, 200)
		assert.Assert(t, r.cfg.Zone == "a" && r.serverList.Settings.Slack == 7 && r.services.MaxRetryBudget("x") == 10*retryBudgetShare)
		began := time.Now()
		r.stop()
		r.ended <- <-r.ended
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	})
}
