package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/platform/statefile"
)

type keyCommand struct {
	Add      keyAdd      `cmd:"" help:"Draw an API key for a library, write its hash into the operator file and print the key once."`
	List     keyList     `cmd:"" help:"List the libraries that have keys."`
	Withdraw keyWithdraw `cmd:"" help:"Take a key out of the operator file."`
}

// Help shows an example.
func (keyCommand) Help() string {
	return "A change takes effect with the next reload; requests that were read before keep their library.\n\n" +
		"Example:\n  pepperfall key add 00000000b4d65521 --plan municipal --spread 3 --operator operator.toml"
}

type keyAdd struct {
	Library  string `arg:"" help:"Its number, 16 hexadecimal digits."`
	Operator string `required:"" type:"path" placeholder:"FILE" help:"Operator file."`
	Plan     string `required:"" help:"Its plan, named as in the settings."`
	First    int    `default:"0" help:"Number of the first edge node of its set."`
	Spread   int    `default:"1" help:"How many edge nodes its set has."`
	DryRun   bool   `help:"Print what would be written, draw nothing that counts."`
}

// Run adds.
func (c *keyAdd) Run(o output) error {
	text, err := conffile.Read(c.Operator)
	if err != nil {
		return faulty(o, err)
	}
	out, key, err := operator.AddKey(c.Operator, text, keyring.Library{Number: c.Library, Plan: c.Plan, First: c.First, Spread: c.Spread}, rand.Reader)
	if err != nil {
		return faulty(o, err)
	}
	if c.DryRun {
		fmt.Fprintf(o.out, "would be added to %s:\n%s", c.Operator, out[len(text):])
		return nil
	}
	if err := rewrite(c.Operator, text, out); err != nil {
		return err
	}
	fmt.Fprintln(o.out, key)
	return nil
}

// errChanged tells that a file was written by somebody else meanwhile.
var errChanged = errors.New("changed meanwhile; nothing is written")

// rewrite replaces a file whose text is still the one that was read.
func rewrite(path string, was, is []byte) error {
	now, err := conffile.Read(path)
	if err != nil {
		return err
	}
	if string(now) != string(was) {
		return fmt.Errorf("%s: %w", path, errChanged)
	}
	st, err := os.Stat(path)
	if err != nil {
		return err
	}
	return statefile.Write(path, is, st.Mode().Perm())
}

type keyList struct {
	Operator string `required:"" type:"path" placeholder:"FILE" help:"Operator file."`
}

// Run lists.
func (c *keyList) Run(o output) error {
	l, err := operator.Load(c.Operator)
	if err != nil {
		return faulty(o, err)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LIBRARY\tPLAN\tSET\tHASH")
	for _, k := range l.Keys.Libraries {
		fmt.Fprintf(w, "%s\t%s\t%d from %d\t%.12s\n", k.Library, k.Plan, k.Spread, k.First, k.Hash)
	}
	return w.Flush()
}

type keyWithdraw struct {
	Hash     string `arg:"" help:"First digits of the key's hash, as key list shows them."`
	Operator string `required:"" type:"path" placeholder:"FILE" help:"Operator file."`
	DryRun   bool   `help:"Only tell whose key it is."`
}

// Run withdraws.
func (c *keyWithdraw) Run(o output) error {
	text, err := conffile.Read(c.Operator)
	if err != nil {
		return faulty(o, err)
	}
	out, library, err := operator.RemoveKey(c.Operator, text, c.Hash)
	if err != nil {
		return faulty(o, fmt.Errorf("%s: %w", c.Operator, err))
	}
	if c.DryRun {
		fmt.Fprintf(o.out, "would withdraw a key of library %s\n", library)
		return nil
	}
	if err := rewrite(c.Operator, text, out); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "withdrew a key of library %s; reload to bring that in force\n", library)
	return nil
}
