package main

import (
	"bytes"
	"strings"
	"testing"
)

const start = "FRAME 1\nCONFIGURE node/0 5 me=0 balancers=1 tick_ms=2 classes.count=1 classes.0.name=c " +
	"classes.0.aim_ms=100 classes.0.hard_limit_ms=500 classes.0.semantics=repeatable plans.count=1 " +
	"plans.0.name=p\nTABLE 0 1\nM - 1 a 0 Running k 1\nMEMBERSHIP node/0 remembered 1 0\nEOF_BATCH\n"

func TestRun(t *testing.T) {
	for name, c := range map[string]struct{ in, out, err string }{
		"empty":         {"", "", ""},
		"empty batch":   {"FRAME 1\nEOF_BATCH\n", "FINISHED\n", ""},
		"sends":         {start + "FRAME 2\nINGRESS node/0 00000000000000aa 1 c 0 500 1 0 k p\nEOF_BATCH\n", "SEND node/0 00000000000000aa 1 400.000\nFINISHED\n", ""},
		"unknown":       {"FRAME 1\nELAPSED node/9 x\nEOF_BATCH\n", "", `line 2: unknown instance "node/9"`},
		"killed":        {start + "FRAME 2\nCRASH_NOW node/0\nELAPSED node/0 x\nEOF_BATCH\n", "FINISHED\n", "unknown instance"},
		"cut off":       {"FRAME 1\n", "", "input ends inside a batch"},
		"bad setting":   {strings.Replace(start, "tick_ms=2", "tick_ms=0", 1), "", "line 2: policy: setting Resolution"},
		"negative rate": {strings.Replace(start, "plans.0.name=p", "plans.0.name=p plans.0.rate=-1", 1), "", "Plans[0].Rate"},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want %q", name, err, c.err)
		}
		if !strings.HasSuffix(out.String(), c.out) {
			t.Errorf("%s: wrote %q, want %q at the end", name, out.String(), c.out)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	if _, err := handle(nil, 1, nil, nil); err == nil {
		t.Error("a panic was hidden")
	}
}
