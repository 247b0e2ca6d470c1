package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := write("bad.toml", "[clients]\nidel = 1\nidle_ms = 5\n")
	lost := write("lost.toml", "name = 'x'\nstate_dir = 'state'\nsettings = 'none.json'\n[nodes]\ncount = 1\n")
	for _, c := range []struct {
		args []string
		code int
		says []string
	}{
		{[]string{"--help"}, 0, []string{"Example:", "serve", "check", "fleet", "demo", "routes"}},
		{[]string{"serve", "--help"}, 0, []string{"Example:", "--operator"}},
		{[]string{"check", "--help"}, 0, []string{"Example:"}},
		{[]string{"fleet", "--help"}, 0, []string{"Example:", "reload", "restart", "status", "stop"}},
		{[]string{"fleet", "reload", "--help"}, 0, []string{"Example:"}},
		{[]string{"demo", "--help"}, 0, []string{"Example:", "--instances"}},
		{[]string{"sevre"}, 2, []string{"sevre"}},
		{[]string{"check"}, 2, []string{"<file>"}},
		{[]string{"check", "../../deploy/operator.toml", "../../deploy/fleet.toml"}, 0, []string{"operator file, no fault", "fleet file, no fault"}},
		{[]string{"check", bad}, 2, []string{":2: clients.idel: unknown key", ":3: clients.idle_ms: 5 is below 100"}},
		{[]string{"check", lost}, 2, []string{"nodes.listen", "nodes.discovery"}},
		{[]string{"check", filepath.Join(dir, "none")}, 2, []string{"no such file"}},
		{[]string{"fleet", "status", lost}, 1, []string{"nobody supervises this fleet"}},
		{[]string{"fleet", "run", lost}, 2, []string{"nodes.listen"}},
		{[]string{"demo", "--instances", "0"}, 1, []string{"1 to 100 instances"}},
		{[]string{"routes", "list", "../../deploy/catalogue.yaml"}, 0, []string{"/v1/holdings/{record}", "endLoan"}},
		{[]string{"routes", "explain", "../../deploy/catalogue.yaml", "GET", "/v1/holdings?limit=21"}, 0, []string{"units      4 of this request", "searchHoldings", "catalogue.yaml:"}},
		{[]string{"routes", "explain", "../../deploy/catalogue.yaml", "PUT", "/v1/holdings"}, 1, []string{"405: the path is there for GET"}},
		{[]string{"routes", "explain", "../../deploy/catalogue.yaml", "GET", "/v1/../holdings"}, 1, []string{"400: "}},
		{[]string{"routes", "diff", "../../deploy/catalogue.yaml", "../../deploy/catalogue.yaml"}, 0, []string{"0 changes"}},
		{[]string{"routes", "check", bad}, 2, []string{bad}},
	} {
		var out, errs bytes.Buffer
		code := run(c.args, &out, &errs)
		if code != c.code {
			t.Errorf("%q: code %d, want %d: %s%s", c.args, code, c.code, &out, &errs)
		}
		for _, want := range c.says {
			if !strings.Contains(out.String()+errs.String(), want) {
				t.Errorf("%q lacks %q: %s%s", c.args, want, &out, &errs)
			}
		}
	}
}
