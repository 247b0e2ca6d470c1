package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/deploy"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/demo"
)

type demoCommand struct {
	Instances int     `default:"3" help:"Edge nodes to run."`
	Seconds   float64 `default:"20" help:"How long clients send."`
	Seed      uint64  `default:"1" help:"Draws the clients' requests."`
	Load      float64 `default:"1" help:"Multiplies what the libraries ask."`
	Churn     float64 `default:"0" help:"Share of the requests that open a connection of their own."`
	SlackMS   int     `default:"250" help:"By how much the audit widens each limit in time, for a busy machine."`
	OpenAPI   string  `name:"openapi" placeholder:"FILE" help:"Serve an OpenAPI description to ordinary clients and swap it on the way; 'catalogue' is the built-in deploy/catalogue.yaml."`
	Keep      bool    `help:"Keep the folder with the fleet's files and logs."`
}

// Help shows an example.
func (demoCommand) Help() string {
	return "Brings up stand-ins for loan servers, discovery and clients, and a supervised fleet; kills and reloads instances on the way; " +
		"ends with what became of the requests and the audit's verdict. Ends with code 1 if a rule was broken.\n\n" +
		"Example:\n  pepperfall demo --instances 5 --seconds 30\n  pepperfall demo --openapi catalogue"
}

// Run plays the demo.
func (c *demoCommand) Run(o output) error {
	if c.Instances < 1 || c.Instances > 100 || c.Seconds <= 0 || c.Load <= 0 || c.Churn < 0 || c.Churn > 1 || c.SlackMS < 0 {
		return fmt.Errorf("demo: 1 to 100 instances, seconds and load above 0, churn from 0 to 1, no negative slack")
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir, remove, err := workFolder(o, "demo", c.Keep)
	if err != nil {
		return err
	}
	defer remove()
	description := c.OpenAPI
	if description == "catalogue" {
		description = filepath.Join(dir, "given.yaml")
		if err := os.WriteFile(description, deploy.Catalogue, 0o600); err != nil {
			return err
		}
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer end()
	rep, err := demo.Run(ctx, demo.Options{Instances: c.Instances, Length: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed,
		Dir: dir, Program: program, Out: o.out, World: world.Real{}, Slack: time.Duration(c.SlackMS) * time.Millisecond, Load: c.Load,
		Churn: c.Churn, Description: description, Compile: compiler()})
	if err != nil {
		return err
	}
	if err := rep.Table(o.out); err != nil {
		return err
	}
	if len(rep.Breaks) > 0 {
		return code(exitFailed)
	}
	return nil
}
