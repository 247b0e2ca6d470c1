package main

import (
	"fmt"
	"io"
	"time"
)

// progress tells how far a command is, now and then.
type progress struct {
	out      io.Writer
	of, done int
	began    time.Time
	told     time.Time
}

const tellEvery = 5 * time.Second

func (p *progress) step(wrong int) {
	p.done++
	if time.Since(p.told) >= tellEvery {
		p.told = time.Now()
		p.tell(wrong)
	}
}

func (p *progress) end(wrong int) {
	if p.done > 0 {
		p.tell(wrong)
	}
}

func (p *progress) tell(wrong int) {
	per := time.Since(p.began).Minutes() / float64(p.done)
	fmt.Fprintf(p.out, "%d of %d days, %d broke something, %.0f days a minute, %v to go\n", p.done, p.of, wrong, 1/per,
		time.Duration(float64(p.of-p.done)*per*float64(time.Minute)).Round(time.Second))
}
