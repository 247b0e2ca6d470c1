// Command adapter runs gateways on the line protocol: events on standard
// input, actions on standard output, one Gateway for each instance.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers every batch of in on out until in ends.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	w := bufio.NewWriter(out)
	gateways := map[string]*policy.Gateway{}
	var reply []byte
	var acts []policy.Action
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		for _, it := range batch.Items {
			switch ev := it.Event.(type) {
			case wire.Configure:
				g, err := policy.New(ev.Settings, ev.Seed)
				if err != nil {
					return fmt.Errorf("line %d: %w", it.Line, err)
				}
				gateways[it.Node] = g
			case wire.Kill:
				delete(gateways, it.Node)
			default:
				g := gateways[it.Node]
				if g == nil {
					return fmt.Errorf("line %d: unknown instance %q", it.Line, it.Node)
				}
				ev2, ok := it.Event.(policy.Event)
				if !ok {
					continue
				}
				acts, err = handle(g, batch.Now, ev2, acts[:0])
				for _, a := range acts {
					reply = wire.Append(reply, it.Node, a)
				}
				if err != nil {
					reply = wire.AppendCrash(reply, it.Node, err.Error())
				}
			}
		}
		reply = wire.AppendEnd(reply)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handle turns a panic in the decisions into an error that tells it.
func handle(g *policy.Gateway, now time.Duration, ev policy.Event, out []policy.Action) (
	acts []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts, err = out, fmt.Errorf("%T: %v", ev, p)
		}
	}()
	return g.Handle(now, ev, out), nil
}
