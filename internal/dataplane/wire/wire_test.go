package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"pepperfall.example/pepperfall/policy"
)

const ms = time.Millisecond

func TestDecodesEvents(t *testing.T) {
	in := `FRAME 12.5
TABLE 0 2
M - 1 room-a 3 Running std 7
M 6100.0 1.5 room-b 4 Stopping std 8
MEMBERSHIP node/3 remembered 41 0
MEMBERSHIP node/3 refused 41 -
INGRESS node/3 365762575d3a91c4 3 lookup 1 240.0 2 2 acct:k basic
VERDICT node/3 365762575d3a91c4 0 86 18.5 7 1 3 OK 1,0.5
ACCEPTED node/3 365762575d3a91c4 1 7 2.5
LAPSED node/3 365762575d3a91c4
ELAPSED node/3 tick
WHISPER node/3 2 aGkgNw==
LEDGER_REPLY node/3 sweep OK 38 2.15
PROBE_RESULT node/3 7 OK 1.5 -
CRASH_NOW node/3
EOF_BATCH
`
	const id = 0x365762575d3a91c4
	servers := []policy.Server{{ID: 7, Zone: "room-a", Cell: 3, Weight: 1},
		{ID: 8, Zone: "room-b", Cell: 4, State: policy.Draining, HasStartTime: true, StartTime: 6100 * ms, Weight: 1.5}}
	want := []any{
		policy.ServerList{Kind: policy.CachedList, Servers: servers},
		policy.ServerList{Kind: policy.WatchFailed},
		policy.Request{ID: id, GatewayCount: 3, Class: "lookup", FirstGateway: 1, Remaining: 240 * ms, Units: 2,
			Retry: true, Customer: "acct:k", Plan: "basic"},
		policy.Outcome{ID: id, Latency: 18500 * time.Microsecond, Server: 7, ClientAnswered: true, ActualUnits: 3,
			Load: []float64{1, 0.5}},
		policy.Started{ID: id, Attempt: 1, Server: 7},
		policy.ClientGone{ID: id},
		policy.Timer{Token: "tick"},
		policy.PeerMessage{From: 2, Data: []byte("hi 7")},
		nil, nil, Kill{},
	}
	d := NewDecoder(strings.NewReader(in))
	b, err := d.Next()
	if err != nil || b.Now != 12500*time.Microsecond {
		t.Fatal(b.Now, err)
	}
	var got []any
	for _, it := range b.Items {
		got = append(got, it.Event)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestRejectsMalformedLines(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"no frame":       {"ELAPSED node/1 x\n", "line 1: a batch starts with FRAME"},
		"cut off":        {"FRAME 1\nELAPSED node/1 x\n", "line 2: input ends inside a batch"},
		"cut off list":   {"FRAME 1\nTABLE 0 2\nM - 1 a 0 Running k 1\n", "line 3: input ends inside a list"},
		"unknown event":  {"FRAME 1\nHELLO node/1\nEOF_BATCH\n", `line 2: unknown event "HELLO"`},
		"too few":        {"FRAME 1\nELAPSED node/1\nEOF_BATCH\n", "line 2: ELAPSED: too few fields"},
		"too many":       {"FRAME 1\nELAPSED node/1 x y\nEOF_BATCH\n", "line 2: ELAPSED: too many fields"},
		"bad id":         {"FRAME 1\nLAPSED node/1 12\nEOF_BATCH\n", "line 2: LAPSED: \"12\" is no request id"},
		"bad clock":      {"FRAME x\nEOF_BATCH\n", "line 1: FRAME"},
		"bad base64":     {"FRAME 1\nWHISPER node/1 2 !!\nEOF_BATCH\n", "line 2: WHISPER: bad base64"},
		"no such list":   {"FRAME 1\nMEMBERSHIP node/1 all 1 5\nEOF_BATCH\n", "line 2: MEMBERSHIP: no list"},
		"bad state":      {"FRAME 1\nTABLE 0 1\nM - 1 a 0 Asleep k 1\nEOF_BATCH\n", "line 3: M: unknown state"},
		"bad setting":    {"FRAME 1\nCONFIGURE node/1 5 me=x\nEOF_BATCH\n", "line 2: CONFIGURE: me:"},
		"unknown ending": {"FRAME 1\nPROBE_RESULT node/1 7 SO 1 -\nEOF_BATCH\n", "unknown ending"},
	} {
		d := NewDecoder(strings.NewReader(c.in))
		var err error
		for err == nil {
			_, err = d.Next()
		}
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

func TestSettings(t *testing.T) {
	s, err := parseSettings(strings.Split("me=1 balancers=3 zone=b tick_ms=2.0 caps.retry_after=true "+
		"caps.max_retry_after_ms=500 report.names=active,waiting weight_kind=nominal discovery=ask "+
		"classes.count=1 classes.0.name=c classes.0.aim_ms=80.5 classes.0.semantics=by_key "+
		"classes.0.group=cell plans.count=1 plans.0.name=p plans.0.rate=0.7 plans.0.parallel=2 new.key=1", " "))
	if err != nil {
		t.Fatal(err)
	}
	if s.Me != 1 || s.Gateways != 3 || s.Resolution != 2*ms || s.MaxRetryAfter != 500*ms || !s.MustWatch ||
		!s.SizeKnown || len(s.LoadReportNames) != 2 || s.Classes[0].LatencyTarget != 80500*time.Microsecond ||
		s.Classes[0].Effect != policy.Keyed || s.Classes[0].DedupScope != policy.DedupCell ||
		s.Plans[0].Rate != 0.7 || s.Plans[0].MaxInFlight != 2 {
		t.Errorf("%+v", s)
	}
}

func TestAppend(t *testing.T) {
	for want, a := range map[string]policy.Action{
		"SEND n/1 00000000000000ff 7 80.500":   policy.Send{ID: 255, Server: 7, Timeout: 80500 * time.Microsecond},
		"UNDO_SEND n/1 0000000000000001 2":     policy.Cancel{ID: 1, Attempt: 2},
		"PUSH_BACK n/1 0000000000000001 5.000": policy.Refuse{ID: 1, RetryAfter: 5 * ms},
		"REPORT_FAILURE n/1 0000000000000001":  policy.Fail{ID: 1},
		"SET_ALARM n/1 tick 5.000":             policy.SetTimer{Token: "tick", After: 5 * ms},
		"POST n/1 2 aGkgNw==":                  policy.SendPeer{To: 2, Data: []byte("hi 7")},
		"LISTEN n/1 1":                         policy.Watch{},
		"SAY_LOG n/1 two lines":                policy.Log{Text: "two\nlines"},
	} {
		if got := string(Append(nil, "n/1", a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := string(AppendCrash(nil, "n/1", "a\nb")); got != "CRASH n/1 a b\n" {
		t.Errorf("got %q", got)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add("FRAME 1\nTABLE 0 1\nM - 1 a 0 Running k 1\nMEMBERSHIP n all 1 0\nEOF_BATCH\n")
	f.Add("FRAME 1\nVERDICT n 365762575d3a91c4 0 86 18.5 7 1 3 OK -\nEOF_BATCH\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
