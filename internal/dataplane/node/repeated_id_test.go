package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// copyingServer is a server that turns its first requests away and sends each answer a second time, late: in the place where
// the next answer on that connection is due.
type copyingServer struct {
	mu       sync.Mutex
	refusals int                 // requests still to be turned away
	refusal  string              // status and fields of such an answer
	copies   map[net.Conn]string // by connection, the last answer on it
	ran      map[string]int      // by request, how often it ran
}

func (s *copyingServer) serve(c net.Conn, q *standin.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := q.Header.Get(fieldID)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sAttempt-Id: %s\r\nContent-Length: 3\r\n\r\nyes", sealField, id)
	if s.refusals > 0 {
		s.refusals--
		answer = fmt.Sprintf("HTTP/1.1 %sAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.refusal, id)
	} else {
		s.ran[id]++
	}
	late := s.copies[c]
	s.copies[c] = answer
	_, err := io.WriteString(c, late+answer)
	return err == nil
}

// A request that is sent to a server once more goes on another connection: on the same one, a late copy of the server's first
// refusal was taken for its answer. So a payment that the server was running was sent on and ran twice, or was refused.
func TestRepeatedSendingUsesAnotherConnection(t *testing.T) {
	for name, c := range map[string]struct {
		refusal  string
		refusals int
	}{
		"full":             {"503 Busy\r\nNot-Executed: 1\r\n", 2},
		"misdirected":      {"421 Misdirected\r\n", 2},
		"turned away":      {"429 Many\r\nNot-Executed: 1\r\n", 2},
		"turned away once": {"503 Busy\r\nNot-Executed: 1\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				s := &copyingServer{copies: map[net.Conn]string{}, ran: map[string]int{}}
				r.behaviors = []serverBehavior{s.serve}
				r.servers = r.servers[:2]
				r.configure()
				for range 40 {
					assert.Equal(t, r.request("/act/", "").StatusCode, 200)
					time.Sleep(defaultReuseDelay + time.Millisecond)
					s.mu.Lock()
					s.refusals, s.refusal = c.refusals, c.refusal
					s.mu.Unlock()
					a := r.request("/act/", "")
					s.mu.Lock()
					runs := s.ran[fmt.Sprint("id", nextAttemptID)]
					s.mu.Unlock()
					assert.Assert(t, a.StatusCode == http.StatusOK && runs == 1, "%d, and ran %d times", a.StatusCode, runs)
					time.Sleep(time.Second) // the servers are no longer taken for full
				}
				for id, n := range s.ran {
					assert.Equal(t, n, 1, id)
				}
			})
		})
	}
}

// A connection that carried a request's id is left to other requests, and closed after its last one.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		conns := map[net.Conn]int{}
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			conns[c]++
			return servedAnswer(c, q)
		}}
		r.servers = r.servers[:1]
		r.configure()
		text := requestText("/act/", "")
		send := func(text string) {
			c := r.dial()
			defer c.Close()
			_, err := io.WriteString(c, text)
			assert.NilError(t, err)
			assert.Equal(t, r.readAnswer(c).StatusCode, 200)
			time.Sleep(defaultReuseDelay + time.Millisecond)
		}
		send(text)
		send(text) // a client that uses its id again
		assert.Equal(t, len(conns), 2)
		for range maxCarriedIDs - 1 {
			send(requestText("/act/", ""))
		}
		assert.Equal(t, len(conns), 2)
		for range maxCarriedIDs {
			send(requestText("/act/", ""))
		}
		assert.Equal(t, len(conns), 3)
		for _, n := range conns {
			assert.Assert(t, n <= maxCarriedIDs, "%v", conns)
		}
	})
}
