package operator

import (
	"os"
	"strings"
	"testing"
)

// The annotated example states every default, so that it can't drift from the
// program.
func TestExampleHoldsTheDefaults(t *testing.T) {
	l, err := Load("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if l.File != Default() {
		t.Errorf("the example says %+v, the defaults are %+v", l.File, Default())
	}
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"first_request_ms", "whole_request_ms", "idle_ms", "write_ms", "end_unused", "rest_ms", "stall_ms",
		"address", "cores", "gc_percent", "memory_part"} {
		if !strings.Contains(string(text), "\n"+key+" = ") {
			t.Errorf("the example lacks %s", key)
		}
	}
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"[discovery]\naddress = 'x'\n":                    "f:2: discovery.address",
		"[process]\ncores = 0\n":                          "f:2: process.cores: 0 is below 1",
		"[clients]\nidle_ms = 50\n[upstream]\nrest = 1\n": "f:4: upstream.rest: unknown key",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	a, err := Parse("f", []byte("[clients]\nidle_ms = 500\n"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse("f", []byte("[process]\ncores = 2\n"))
	if err != nil {
		t.Fatal(err)
	}
	if a.Generation == b.Generation || len(a.Generation) != 12 {
		t.Errorf("generations %q and %q", a.Generation, b.Generation)
	}
	if keys := RestartKeys(&a.File, &b.File); len(keys) != 1 || keys[0] != "process.cores" {
		t.Errorf("%v need a restart, want process.cores alone", keys)
	}
}
