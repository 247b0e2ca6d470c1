package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
	"pepperfall.example/pepperfall/internal/testbed/audit"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// Difficult cases of replacing the route book, caused while ordinary clients send requests through three proxies: requests held
// while their operation and key are removed, an idempotency key whose operation changes its class, an id that is sent twice, and
// keys of two libraries in one request. The audit checks the ordinary clients' requests.
func TestRouteSwapCasesUnderLoad(t *testing.T) {
	in := startInstallation(t, 3, func(s *standin.Settings) {
		s.Plans = append(s.Plans, standin.Plan{Name: "single", Parallel: 1})
	})
	in.libraries[3].Plan = "single"
	in.buildKeyRing(t)
	var mu sync.Mutex
	count := map[string]int{}
	in.script = func(r *standin.Request) standin.Fault {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		count[id]++
		mu.Unlock()
		if strings.HasPrefix(id, "err") {
			return standin.ErrorAnswer
		}
		return standin.NoFault
	}
	base := in.testBook(t, 0)
	for i := range in.nodes {
		in.activateBook(i, base)
	}
	front := in.newFront(t, 40)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { front.Run(ctx) })

	post := func(i int, key, id, idempotencyKey, target string) (status int, book string) {
		r, err := http.NewRequest(http.MethodPost, in.nodes[i].url+target, strings.NewReader("x"))
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		r.Header.Set("X-Api-Key", key)
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("Idempotency-Key", idempotencyKey)
		r.Close = true
		if strings.HasPrefix(id, "err") { // the class that the request was read as decides whether it may be repeated
			class := "loan-request"
			if !strings.HasSuffix(id, "a") {
				class = "holdings-lookup"
			}
			in.ledger.Note(audit.Asked{Request: id, Node: in.addrs[i].Name, Customer: in.libraries[0].Number, Plan: in.libraries[0].Plan, Class: class, Key: idempotencyKey,
				Deadline: 5 * time.Second, Operation: "place"})
			defer func() { in.ledger.Note(audit.Answered{Request: id, Status: status}) }()
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return 0, ""
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get(routing.BookField)
	}

	for round := range 5 {
		n := round % 3
		in.activateBook(n, base)

		// Two requests are held behind a slow one of the same library, whose plan allows one at a time.
		type answer struct {
			status int
			book   string
		}
		answers := make(chan answer, 3)
		for k := range 3 {
			id := fmt.Sprintf("slow%d-%d", round, k)
			go func() {
				s, b := post(n, in.keys[3], id, id, "/loans")
				answers <- answer{s, b}
			}()
			eventually(t, "the first request is in flight, the others are held", func() bool {
				mu.Lock()
				out := count[id] == 1
				mu.Unlock()
				return out || k > 0 && in.nodes[n].hasOpenRequest(id)
			})
		}
		// A request with the id of an open request is a conflict.
		if s, _ := post(n, in.keys[3], fmt.Sprintf("slow%d-0", round), "x", "/loans"); s != http.StatusConflict {
			t.Errorf("duplicate id: %d", s)
		}
		// The operation and all keys are removed.
		removed := in.compileBook(t, fmt.Sprintf("gone%d", round), base.Book.Routes()[:1])
		keyless, err := routing.NewTable(&in.nodes[0].cfg.Settings, removed.Book, nil, nil, removed.Options)
		if err != nil {
			t.Fatal(err)
		}
		in.activateBook(n, keyless)
		if s, _ := post(n, in.keys[3], fmt.Sprintf("new%d", round), "x", "/loans"); s != http.StatusNotFound {
			t.Errorf("new request for a removed operation: %d", s)
		}
		for range 3 {
			if a := <-answers; a.status != 200 && a.status != 429 || a.book != base.Book.Generation {
				t.Errorf("request held during the swap: %d under %s", a.status, a.book)
			}
		}

		// An attempt with an idempotency key, then one with the same key under a book that makes the operation a safe lookup.
		in.activateBook(n, base)
		idempotencyKey := fmt.Sprint("idem", round)
		post(n, in.keys[0], fmt.Sprintf("err%d-a", round), idempotencyKey, "/loans")
		list := append([]routebook.Route(nil), base.Book.Routes()...)
		list[1].Class, list[1].Repeat = "holdings-lookup", routebook.Safe
		in.activateBook(n, in.compileBook(t, fmt.Sprintf("lookup%d", round), list))
		post(n, in.keys[0], fmt.Sprintf("err%d-b", round), idempotencyKey, "/loans")
		post(n, in.keys[0], fmt.Sprintf("err%d-c", round), "fresh"+idempotencyKey, "/loans")
		mu.Lock()
		a, b, c := count[fmt.Sprintf("err%d-a", round)], count[fmt.Sprintf("err%d-b", round)], count[fmt.Sprintf("err%d-c", round)]
		mu.Unlock()
		if b != 1 || a+c < 3 {
			t.Errorf("a keyed loan was sent %d times, its further try as a lookup %d, a fresh lookup %d; want 1 for the second and a repeat of another", a, b, c)
		}

		// API keys of two libraries in one request.
		twoKeys := in.compileBook(t, fmt.Sprintf("two%d", round), base.Book.Routes(), routebook.KeyPlace{In: "query", Name: "k"})
		in.activateBook(n, twoKeys)
		if s, _ := post(n, in.keys[0], fmt.Sprintf("two%d", round), "x", "/loans?k="+in.keys[1]); s != http.StatusBadRequest {
			t.Errorf("keys of two libraries: %d", s)
		}
	}
	stop()
	load.Wait()
	for _, b := range in.ledger.Finish() {
		t.Error(b)
	}
	if tally := front.Tally(); tally.Lost > 0 || tally.Served < 50 {
		t.Errorf("ordinary clients: %d lost, %d served", tally.Lost, tally.Served)
	}
}

const slowLoanTime = 150 * time.Millisecond

// coreTime returns the CPU time of a request. Requests whose id begins with slow are slow.
func coreTime(r *standin.Request) time.Duration {
	if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") {
		return slowLoanTime
	}
	return 3 * time.Millisecond
}
