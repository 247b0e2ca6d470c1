package wire

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// The proxy's nested settings must give the same result as the simulator's
// pairs: otherwise the two programs decide differently.
func TestNestedSettingsAreThePairs(t *testing.T) {
	pairs, err := parseSettings(strings.Split("me=1 balancers=3 zone=north_hall tick_ms=4.0 caps.cancel=true caps.peers=true "+
		"caps.retry_after=true caps.max_retry_after_ms=2000.0 report.names=cpu,rps weight_kind=nominal discovery=push "+
		"rules.cold_share=0.21 family_info.mail_per_s=60 classes.count=2 classes.0.name=a classes.0.aim_ms=400.0 "+
		"classes.0.semantics=repeatable classes.1.name=b classes.1.semantics=by_key classes.1.group=cell "+
		"classes.1.window_ms=2500.0 plans.count=1 plans.0.name=p plans.0.rate=0.96 plans.0.parallel=2", " "))
	if err != nil {
		t.Fatal(err)
	}
	f, err := SettingPairsFromJSON([]byte(`{"me":1,"balancers":3,"zone":"north hall","tick_ms":4.0,"empty":null,"none":[],
		"caps":{"cancel":true,"peers":true,"retry_after":true,"max_retry_after_ms":2000.0,"conn_idle_ms":15000.5},
		"report":{"names":["cpu","rps"]},"weight_kind":"nominal","discovery":"push","rules":{"cold_share":0.21},
		"family_info":{"mail_per_s":60},"classes":[{"name":"a","aim_ms":400.0,"semantics":"repeatable"},
		{"name":"b","semantics":"by_key","group":"cell","window_ms":2500.0}],"plans":[{"name":"p","rate":0.96,"parallel":2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	nested, err := f.Settings()
	if err != nil || !reflect.DeepEqual(nested, pairs) {
		t.Errorf("%v\nnested %+v\npairs  %+v", err, nested, pairs)
	}
	if d, err := f.Duration("caps.conn_idle_ms"); err != nil || d != 15000*time.Millisecond+500*time.Microsecond {
		t.Errorf("%v %v", d, err)
	}
	if d, err := f.Duration("caps.absent"); err != nil || d != 0 {
		t.Errorf("%v %v", d, err)
	}
	if _, err := f.Duration("zone"); err == nil {
		t.Error("a word passed for a duration")
	}
	for _, bad := range []string{``, `{}`, `[]`, `{"me":`} {
		if _, err := SettingPairsFromJSON([]byte(bad)); err == nil {
			t.Errorf("%q passed", bad)
		}
	}
}
