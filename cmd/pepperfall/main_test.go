package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary stands in for the program when it is told so.
func TestMain(m *testing.M) {
	if os.Getenv("PEPPERFALL_RUN") != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PEPPERFALL_RUN=1", "GW_CONFIG="+path, "GW_LISTEN=", "GW_DISCOVERY=", "GW_NAME=")
	cmd.Stderr = &out
	return cmd, &out
}

// Operators must see what is wrong with a configuration, and the platform that
// the edge node did not start.
func TestBrokenConfiguration(t *testing.T) {
	for config, want := range map[string]string{
		`{`:                        "unexpected end of JSON",
		`{"listen":"127.0.0.1:0"}`: "discovery",
	} {
		cmd, out := program(t, config)
		var exit *exec.ExitError
		if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != exitConfig || !strings.Contains(out.String(), want) {
			t.Errorf("%s: %v, %q, want exit code %d and %q", config, err, out, exitConfig, want)
		}
	}
}

// SIGTERM ends the program with code 0 once all is answered; SIGHUP does not
// end it.
func TestTerminates(t *testing.T) {
	asked := make(chan struct{}, 100)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		_, _ = w.Write([]byte(`{"rev":1,"all":true,"targets":[]}`))
	}))
	defer disc.Close()
	cmd, out := program(t, `{"listen":"127.0.0.1:0","discovery":"`+disc.Listener.Addr().String()+`","settings":
		{"me":0,"balancers":1,"tick_ms":1,"classes":[{"name":"c","aim_ms":1,"hard_limit_ms":2,"semantics":"once"}],
		"plans":[{"name":"p"}]}}`)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	<-asked // it runs: signals are caught by then
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%v: %s", err, out)
		}
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		t.Error("did not end")
	}
}
