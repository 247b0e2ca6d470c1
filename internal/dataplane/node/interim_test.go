package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Interim answers while the request is still being uploaded are not its answer, with its id or without: a client got
// "100 Continue" as the final answer to an upload that its server had not received.
func TestInterimAnswerDuringUpload(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.startScriptedServers(func(c net.Conn, q *http.Request) bool {
			for i := range 6 {
				fields := ""
				if i%2 == 0 {
					fields = "Attempt-Id: " + q.Header.Get(fieldID) + "\r\n"
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n%s\r\n", fields)
			}
			return true
		}, nil)
		c := r.dial()
		defer c.Close()
		upload := uploadRequest("/act/", content(largeBodyBytes), false)
		for _, part := range [][]byte{upload[:len(upload)/2], upload[len(upload)/2:]} {
			_, err := c.Write(part)
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		a := r.readAnswer(c)
		assert.Assert(t, a.StatusCode == 200 && a.body == "yes", "%d %q", a.StatusCode, a.body)
	})
}
