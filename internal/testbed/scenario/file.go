package scenario

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// File is the text of a day's file, which Parse reads again as the same day.
func (d *Day) File() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetArraysMultiline(false)
	if err := e.Encode(d); err != nil {
		return nil, errors.WithMessagef(err, "day %s", d.Name)
	}
	return b.Bytes(), nil
}

// Without is the day without the steps of some numbers.
func (d *Day) Without(steps ...int) *Day {
	c := d.Clone()
	c.Steps = nil
	out := map[int]bool{}
	for _, i := range steps {
		out[i] = true
	}
	for i, s := range d.Steps {
		if !out[i] {
			c.Steps = append(c.Steps, s)
		}
	}
	return c
}

// Smaller are days with less in them, the smallest first: without half of the steps, a quarter and so on, down to
// one. What is left of a day none of whose smaller ones breaks anything is what it takes.
func (d *Day) Smaller() (all []*Day) {
	n := len(d.Steps)
	for part := (n + 1) / 2; part >= 1; part /= 2 {
		for from := 0; from < n; from += part {
			var out []int
			for i := from; i < min(n, from+part); i++ {
				out = append(out, i)
			}
			if len(out) < n || n == 1 {
				all = append(all, d.Without(out...))
			}
		}
	}
	return all
}
