package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/operations/operatorclient"
)

var words = []string{api.WordFit, api.WordUnfit, api.WordUnfitAll, api.WordWithdrawn}

func (a *app) server() *cli.Command {
	return &cli.Command{Name: "server", Usage: "how far servers are trusted", Commands: []*cli.Command{
		{Name: "explain", Usage: "a server's verdict, why it stands, and which proxy saw what", ArgsUsage: "ID", Flags: []cli.Flag{asJSON()}, Action: a.serverExplain},
		{Name: "judge", Usage: "say how far a server is trusted, whatever proxies saw: " + strings.Join(words, ", "), ArgsUsage: "ID WORD", Action: a.serverJudge,
			Flags: []cli.Flag{yes(), &cli.DurationFlag{Name: "for", Value: api.JudgeUsual, Usage: "how long that holds, 720h at most"}}},
	}}
}

func (a *app) serverExplain(ctx context.Context, c *cli.Command) error {
	id, client, err := a.about(c, "ID")
	if err != nil {
		return err
	}
	x, err := client.Explain(ctx, id)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return a.json(x)
	}
	operatorclient.WriteExplained(a.out, x)
	return nil
}

func (a *app) serverJudge(ctx context.Context, c *cli.Command) error {
	id, word, holds := c.Args().Get(0), c.Args().Get(1), c.Duration("for")
	switch {
	case c.Args().Len() != 2 || !slices.Contains(words, word):
		return cli.Exit("give ID and one of "+strings.Join(words, ", "), badInput)
	case holds <= 0 || holds > api.JudgeMost:
		return cli.Exit(fmt.Sprintf("--for: more than 0 and at most %v", api.JudgeMost), badInput)
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	drop, err := a.agreedAndLocked(ctx, c, client, fmt.Sprintf("%s is %s?", id, word))
	if err != nil {
		return err
	}
	defer drop()
	if err := client.Judge(ctx, id, word, holds); err != nil {
		return err
	}
	if word == api.WordWithdrawn {
		fmt.Fprintf(a.out, "what proxies see of %s holds again\n", id)
	} else {
		fmt.Fprintf(a.out, "%s is %s for %v; pepperctl server judge %s none takes that back\n", id, word, holds, id)
	}
	return nil
}
