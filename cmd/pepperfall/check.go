package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/edgefleet/supervisor"
)

type checkCommand struct {
	Files []string `arg:"" type:"path" name:"file" help:"Operator or fleet files."`
	Most  float64  `name:"most-units" default:"6" help:"The settings' largest, for an operator file alone."`
	Kind  string   `enum:"auto,operator,fleet" default:"auto" help:"What the files are: ${enum}."`
}

// Help shows an example.
func (checkCommand) Help() string {
	return "Prints every fault with file, line and key, and ends with code 2 if there is one.\n\n" +
		"Example:\n  pepperfall check deploy/operator.toml deploy/fleet.toml"
}

// Run checks all files.
func (c *checkCommand) Run(o output) error {
	bad := false
	for _, path := range c.Files {
		kind := c.Kind
		if kind == "auto" {
			kind = kindOf(path)
		}
		var err error
		if kind == "fleet" {
			err = c.fleet(o, path)
		} else {
			err = c.operator(o, path)
		}
		if err != nil {
			bad = true
			fmt.Fprintln(o.err, err)
			continue
		}
		fmt.Fprintf(o.out, "%s: %s file, no fault\n", path, kind)
	}
	if bad {
		return code(exitUsage)
	}
	return nil
}

// fleet checks a fleet file and all that it names, the route book too.
func (c *checkCommand) fleet(o output, path string) error {
	l, err := supervisor.Load(path)
	if err != nil {
		return err
	}
	warnings, err := l.ReadBook(context.Background(), compiler())
	if warnings != "" {
		fmt.Fprintln(o.err, warnings)
	}
	return err
}

// operator checks an operator file and the description or book that it names.
func (c *checkCommand) operator(o output, path string) error {
	l, err := operator.Load(path)
	if err != nil || !l.Routes.On() {
		return err
	}
	s := source{Operator: path, MostUnits: c.Most}
	_, err = s.read(o, "")
	return err
}

// kindOf tells a fleet file by the keys that only it has.
func kindOf(path string) string {
	text, err := conffile.Read(path)
	if err != nil {
		return "operator"
	}
	var top map[string]any
	var syntax *toml.DecodeError
	if err := toml.Unmarshal(text, &top); errors.As(err, &syntax) {
		return "operator"
	}
	for _, key := range []string{"nodes", "state_dir", "settings"} {
		if _, ok := top[key]; ok {
			return "fleet"
		}
	}
	return "operator"
}
