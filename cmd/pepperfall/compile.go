package main

import (
	"fmt"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/bookmaker"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/platform/statefile"
)

type routesCompile struct {
	File     string `arg:"" optional:"" type:"path" help:"OpenAPI description; else that of the operator file."`
	Output   string `short:"o" required:"" type:"path" placeholder:"BOOK" help:"Book to write."`
	MemoryMB int    `default:"0" help:"Memory that may be used; 0: any."`
	Seconds  int    `default:"0" help:"Processor time that may be used; 0: any."`
	source   `embed:""`
}

// Help shows an example.
func (routesCompile) Help() string {
	return "Equal input gives a book equal to the byte. An edge node takes it by routes.book in the operator file.\n\n" +
		"Example:\n  pepperfall routes compile deploy/catalogue.yaml -o catalogue.book"
}

// Run compiles.
func (c *routesCompile) Run(o output) error {
	if err := bookmaker.Bound(c.MemoryMB, c.Seconds); err != nil {
		return err
	}
	l, err := c.load(c.File)
	if err != nil {
		return faulty(o, err)
	}
	var text []byte
	if path := l.Source(); path != "" {
		if text, err = still(path, l.Routes.MostMB<<20); err != nil {
			return faulty(o, err)
		}
	}
	book, err := c.compile(o, l, text)
	if err != nil {
		return faulty(o, err)
	}
	out, err := bookfile.Encode(book)
	if err != nil {
		return err
	}
	return statefile.Write(c.Output, out, 0o644)
}

const (
	stillFor   = 50 * time.Millisecond // a file that changes within this is still being written
	stillLooks = 40
)

// still reads a file once it has been the same for a while.
func still(path string, most int) (text []byte, err error) {
	for range stillLooks {
		was := daemon.Look(path)
		if text, err = conffile.ReadUpTo(path, most); err != nil {
			return nil, err
		}
		time.Sleep(stillFor)
		if is := daemon.Look(path); is != "" && is == was {
			return text, nil
		}
	}
	return nil, fmt.Errorf("%s: it is being written and did not hold still", path)
}

type routesPending struct {
	File string `arg:"" type:"path" help:"Fleet file."`
}

// Help shows an example.
func (routesPending) Help() string {
	return "Ends with code 1 while a revision waits.\n\nExample:\n  pepperfall routes pending deploy/fleet.toml"
}

// Run asks the supervisor.
func (c *routesPending) Run(o output) error {
	st, err := statusOf(o, c.File)
	switch {
	case err != nil:
		return err
	case st.Pending == nil:
		fmt.Fprintln(o.out, "no revision waits")
		return nil
	}
	fmt.Fprintln(o.out, st.Pending)
	return code(exitFailed)
}
