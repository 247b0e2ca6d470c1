package routing

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/policy"
)

// Property tests use a fixed seed, unless -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

var settings = policy.Settings{Gateways: 4, MaxRequestUnits: 6,
	Classes: []policy.Class{{Name: "holdings-lookup", Deadline: time.Second, Effect: policy.Safe},
		{Name: "loan-request", Deadline: 4 * time.Second, Effect: policy.Keyed, DedupWindow: 2500 * time.Millisecond}},
	Plans: []policy.Plan{{Name: "municipal"}, {Name: "scolar"}}}

func routes() []routebook.Route {
	one := routebook.Units{Base: 1, Most: 6}
	return []routebook.Route{
		{Operation: "search", Method: "GET", Template: "/holdings", Class: "holdings-lookup", Repeat: routebook.Safe, Place: "f:1",
			Units: routebook.Units{Base: 0.5, Param: "limit", Per: 10, Each: 1, Most: 6}, Deadline: 600 * time.Millisecond},
		{Operation: "place", Method: "POST", Template: "/loans", Class: "loan-request", Repeat: routebook.Keyed, Units: one, Place: "f:2"},
		{Operation: "end", Method: "DELETE", Template: "/loans/{id}", Class: "loan-request", Units: one, Place: "f:3"},
		{Operation: "look", Method: "GET", Template: "/loans/{id}", Class: "loan-request", Repeat: routebook.Safe, Units: one, Place: "f:4"},
	}
}

const (
	aKey, bKey = "ppk_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "ppk_bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	aNumber    = "0000000000000001"
)

func table(t testing.TB, change func(b *routebook.Book, o *Options)) *Table {
	t.Helper()
	b, err := routebook.Compile("rev1", routes())
	if err != nil {
		t.Fatal(err)
	}
	b.Keys = []routebook.KeyPlace{{In: "header", Name: "X-Api-Key"}, {In: "query", Name: "api_key"}, {In: "cookie", Name: "session"}}
	salt := keyring.Salt("0123456789abcdef")
	libraries := []keyring.Library{{Number: aNumber, Plan: "municipal", First: 1, Spread: 2}, {Number: "0000000000000002", Plan: "scolar", Spread: 1}}
	ring, _, err := keyring.New(salt, []keyring.Entry{{Hash: keyring.HashOf(salt, aKey), Library: libraries[0]}, {Hash: keyring.HashOf(salt, bKey), Library: libraries[1]}})
	if err != nil {
		t.Fatal(err)
	}
	var o Options
	if change != nil {
		change(b, &o)
	}
	tab, err := NewTable(&settings, b, ring, libraries, o)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// header implements HeaderFields on text with one field per line.
type header string

func (h header) One(name string) (value []byte, n int) {
	for line := range strings.SplitSeq(string(h), "\n") {
		if k, v, _ := strings.Cut(line, ": "); strings.EqualFold(k, name) {
			if n++; n == 1 {
				value = []byte(v)
			}
		}
	}
	return value, n
}

func TestRead(t *testing.T) {
	withKey := "X-Api-Key: " + aKey
	for _, c := range []struct {
		name, method, target, fields string
		body                         int
		want                         string // prefix of the resolved request or of the rejection, see outcome
	}{
		{"a search", "GET", "/holdings?limit=20", withKey, 0, "search 0000000000000001 municipal 3 units safe 600ms set 1+2 /holdings?limit=20"},
		{"units are whole", "GET", "/holdings?limit=0", withKey, 0, "search 0000000000000001 municipal 1 units safe 600ms set 1+2 /holdings?limit=0"},
		{"a loan with its key", "POST", "/loans", withKey + "\nIdempotency-Key: k", 7, "place 0000000000000001 municipal 1 units keyed 4s set 1+2 /loans"},
		{"a loan without", "POST", "/loans", withKey, 7, "place 0000000000000001 municipal 1 units never 4s set 1+2 /loans"},
		{"never to be repeated", "DELETE", "/loans/4", withKey + "\nIdempotency-Key: k", 0, "end 0000000000000001 municipal 1 units never 4s set 1+2 /loans/4"},
		{"safe in a class that is not", "GET", "/loans/4", withKey, 0, "look 0000000000000001 municipal 1 units never 4s set 1+2 /loans/4"},
		{"a shorter deadline", "POST", "/loans", withKey + "\nX-Deadline-Ms: 250", 0, "place 0000000000000001 municipal 1 units never 250ms set 1+2 /loans"},
		{"the key in the query", "GET", "/holdings?api_key=" + bKey + "&limit=1", "", 0, "search 0000000000000002 scolar 2 units safe 600ms set 0+1 /holdings?limit=1"},
		{"in the query alone", "POST", "/loans?api_key=" + bKey, "", 0, "place 0000000000000002 scolar 1 units never 4s set 0+1 /loans"},
		{"in a cookie", "POST", "/loans", "Cookie: a=b; session=" + bKey, 0, "place 0000000000000002 scolar 1 units never 4s set 0+1 /loans"},
		{"in two places, of one library", "POST", "/loans?api_key=" + aKey, withKey, 0, "place 0000000000000001 municipal 1 units never 4s set 1+2 /loans"},
		{"in two places, of two libraries", "POST", "/loans?api_key=" + bKey, withKey, 0, "400 keys of two libraries"},
		{"in two places, one unknown", "POST", "/loans?api_key=x", withKey, 0, "401 no key"},
		{"twice in one place", "POST", "/loans?api_key=" + aKey + "&api_key=" + aKey, "", 0, "400 query api_key: more than once"},
		{"the field twice", "POST", "/loans", withKey + "\n" + withKey, 0, "400 header X-Api-Key: more than once"},
		{"the cookie twice", "POST", "/loans", "Cookie: session=" + aKey + "; session=" + aKey, 0, "400 cookie session: more than once"},
		{"no key", "POST", "/loans", "", 0, "401 no key"},
		{"a wrong key", "POST", "/loans", "X-Api-Key: ppk_cccc", 0, "401 no key"},
		{"an empty key", "POST", "/loans", "X-Api-Key: ", 0, "401 no key"},
		{"the front's fields alone", "POST", "/loans", "Cookie: key=0000000000000001\nX-Tier: municipal", 0, "401 no key"},
		{"an unknown path", "GET", "/nothing", withKey, 0, "404 "},
		{"a path that can be read twice", "GET", "/loans/%2e%2e", withKey, 0, "400 the path has"},
		{"another method", "PUT", "/loans/4", withKey, 0, "405 DELETE, GET no operation has this method"},
		{"unknown before the key is looked at", "GET", "/nothing", "", 0, "404 "},
		{"another class", "POST", "/loans", withKey + "\nX-Class: holdings-lookup", 0, "400 X-Class: operation place is of class loan-request"},
		{"the same class", "POST", "/loans", withKey + "\nX-Class: loan-request", 0, "place "},
		{"another plan", "POST", "/loans", withKey + "\nX-Tier: scolar", 0, "400 X-Tier: "},
		{"another library", "POST", "/loans", withKey + "\nCookie: key=0000000000000002", 0, "400 cookie key: "},
		{"other units", "GET", "/holdings?limit=20", withKey + "\nX-Call-Terms: units=1", 0, "400 X-Call-Terms: units=1, and operation search takes 3"},
		{"the same units", "GET", "/holdings?limit=20", withKey + "\nX-Call-Terms: units=3,first=1,spread=2", 0, "search "},
		{"another set", "GET", "/holdings?limit=20", withKey + "\nX-Call-Terms: spread=4", 0, "400 X-Call-Terms: \"spread\""},
		{"unknown terms", "GET", "/holdings?limit=20", withKey + "\nX-Call-Terms: x=4", 0, "400 X-Call-Terms: \"x\""},
		{"too long a wait", "GET", "/holdings", withKey + "\nX-Deadline-Ms: 602", 0, "400 X-Deadline-Ms: not whole milliseconds up to the operation's 600ms"},
		{"a wait of nothing known", "GET", "/holdings", withKey + "\nX-Deadline-Ms: -1", 0, "400 X-Deadline-Ms: "},
		{"a body that a GET has not", "GET", "/holdings", withKey, 1, "400 GET with a body"},
		{"an id that is none", "GET", "/holdings", withKey + "\nX-Request-Id: a b", 0, "400 X-Request-Id: "},
		{"an empty id", "GET", "/holdings", withKey + "\nX-Request-Id: ", 0, "400 X-Request-Id: "},
		{"two ids", "GET", "/holdings", withKey + "\nX-Request-Id: a\nX-Request-Id: a", 0, "400 X-Request-Id: more than once"},
		{"a key of a loan that is none", "POST", "/loans", withKey + "\nIdempotency-Key: " + strings.Repeat("k", maxIdempotencyKeyBytes+1), 0, "400 Idempotency-Key: "},
	} {
		got := outcome(table(t, nil), Request{c.method, c.target, header(c.fields), c.body})
		if !strings.HasPrefix(got, c.want) || c.want == "" {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if strings.Contains(got, "ppk_") {
			t.Errorf("%s: %s holds a key", c.name, got)
		}
	}
}

func outcome(tab *Table, r Request) string {
	k, turned := tab.Resolve(r)
	if turned != nil {
		return strings.Replace(fmt.Sprintf("%d %s %s", turned.Status, turned.Allow, turned.Reason), "  ", " ", 1)
	}
	return fmt.Sprintf("%s %s %s %v units %s %v set %d+%d %s", k.Route.Operation, k.Number, k.Plan, k.Units,
		[]string{"safe", "keyed", "never"}[k.Effect], k.Deadline, k.First, k.Spread, k.Target)
}

// The platform's front end may identify libraries itself if the operator allows
// it. Units and classes still come from the route book.
func TestFront(t *testing.T) {
	fields := "Cookie: key=00000000b4d65521\nX-Tier: municipal\nX-Call-Terms: units=1,spread=3,first=2"
	want := "place 00000000b4d65521 municipal 1 units never 4s set 2+3 /loans"
	for clients, more := range map[ClientMode]string{ByFront: "\nX-Api-Key: " + aKey, ByBoth: ""} {
		tab := table(t, func(_ *routebook.Book, o *Options) { o.Clients = clients })
		if got := outcome(tab, Request{"POST", "/loans", header(fields + more), 0}); got != want {
			t.Errorf("%s: %s, want %s", clients, got, want)
		}
		for _, bad := range []string{"", "X-Tier: municipal", "Cookie: key=00000000b4d65521\nX-Tier: none", "Cookie: key=1\nX-Tier: scolar",
			"Cookie: key=00000000b4d65521; key=00000000b4d65521\nX-Tier: scolar",
			"Cookie: key=00000000b4d65521\nX-Tier: scolar\nX-Call-Terms: spread=5", "Cookie: key=00000000b4d65521\nX-Tier: scolar\nX-Call-Terms: units=2"} {
			if got := outcome(tab, Request{"POST", "/loans", header(bad), 0}); !strings.HasPrefix(got, "400 ") {
				t.Errorf("%s, %q: %s", clients, bad, got)
			}
		}
	}
	both := table(t, func(_ *routebook.Book, o *Options) { o.Clients = ByBoth })
	if got := outcome(both, Request{"POST", "/loans", header("X-Api-Key: " + aKey), 0}); !strings.HasPrefix(got, "place "+aNumber) {
		t.Errorf("a key beside the front: %s", got)
	}
}

func TestPassedKey(t *testing.T) {
	tab := table(t, func(_ *routebook.Book, o *Options) { o.ForwardKeys = true })
	target := "/holdings?limit=1&api_key=" + aKey
	if k, _ := tab.Resolve(Request{"GET", target, header(""), 0}); k == nil || k.Target != target {
		t.Errorf("%+v", k)
	}
}

// NewTable reports all incompatibilities with the settings in one error.
func TestTableThatDoesNotFit(t *testing.T) {
	list := routes()
	list[0].Class, list[1].Units.Base, list[1].Units.Most, list[2].Class = "none", 7, 7, "holdings-lookup"
	b, err := routebook.Compile("rev", list)
	if err != nil {
		t.Fatal(err)
	}
	b.Keys = []routebook.KeyPlace{{In: "body", Name: "k"}, {In: "header", Name: "X-Api-Key"}}
	_, err = NewTable(&settings, b, nil, []keyring.Library{{Number: aNumber, Plan: "none", Spread: 1}, {Number: aNumber, Plan: "scolar", First: 4, Spread: 1}},
		Options{ForwardFields: []string{"cookie", "X-Api-Key", "Accept"}})
	for _, want := range []string{"f:1: operation search: the settings have no class \"none\"", "f:2: operation place: units of up to 7", "f:3: operation end: class holdings-lookup is safe",
		"no plan \"none\"", "from number 4, of 4", "its key in \"body\"", "the field cookie", "the field X-Api-Key holds keys"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if strings.Contains(err.Error(), "Accept") {
		t.Error(err)
	}
	b.Keys = nil
	if _, err := NewTable(&settings, b, nil, nil, Options{}); err == nil || !strings.Contains(err.Error(), "no security scheme") {
		t.Error(err)
	}
}

// KeyHistory agrees with a model that lists all attempts: the strictest effect
// within the servers' deduplication window applies.
func TestCarefulAgreesWithPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type try struct {
			key    string
			class  string
			until  time.Duration
			effect policy.Effect
		}
		var past []try
		c := NewKeyHistory(1000)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
			k := &ResolvedRequest{IdempotencyKey: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key"), Effect: policy.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
				Class: &settings.Classes[rapid.IntRange(0, 1).Draw(t, "class")], Deadline: time.Second,
				Library: keyring.Library{Number: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "library")}}
			want := k.Effect
			if k.IdempotencyKey != "" {
				other, reach := false, time.Duration(0) // each attempt extends an entry that is still valid
				for _, p := range past {
					if p.key == k.Number+k.IdempotencyKey && now < p.until {
						want, reach = max(want, p.effect), max(reach, p.until)
						other = p.class != k.Class.Name // class of the last attempt
					}
				}
				if other && want == policy.Keyed {
					want = policy.Unsafe
				}
				if want != policy.Safe {
					past = append(past, try{k.Number + k.IdempotencyKey, k.Class.Name, max(reach, now+k.Deadline+k.Class.DedupWindow), want})
				}
			}
			if got := c.Update(now, k); got != want {
				t.Fatalf("at %v: %v, want %v", now, got, want)
			}
		}
	})
}

// The history drops the oldest keys and never holds more than its limit.
func TestCarefulIsBounded(t *testing.T) {
	c := NewKeyHistory(3)
	hold := func(key string, e policy.Effect) policy.Effect {
		return c.Update(0, &ResolvedRequest{IdempotencyKey: key, Effect: e, Class: &settings.Classes[1], Deadline: time.Second})
	}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		hold(key, policy.Unsafe)
		if c.Len() > 3 {
			t.Fatalf("%d keys", c.Len())
		}
	}
	for key, want := range map[string]policy.Effect{"e": policy.Unsafe, "d": policy.Unsafe, "c": policy.Unsafe, "b": policy.Safe, "a": policy.Safe} {
		if got := hold(key, policy.Safe); got != want {
			t.Errorf("%s: %v, want %v", key, got, want)
		}
	}
}

func BenchmarkRead(b *testing.B) {
	tab := table(b, nil)
	for _, c := range []struct {
		name string
		r    Request
	}{{"known key", Request{"GET", "/holdings?limit=20", header("X-Api-Key: " + aKey), 0}}, {"wrong key", Request{"GET", "/holdings", header("X-Api-Key: wrong"), 0}}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tab.Resolve(c.r)
			}
		})
	}
}
