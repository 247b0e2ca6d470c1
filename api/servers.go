package api

import (
	stderrors "errors"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Listed is a server as the platform lists it.
type Listed struct {
	ID       string // of one life
	Backend  string // its service
	Address  string // host:port
	Zone     string
	Gen      string        // of its software; empty: left out
	Capacity int           // requests at a time; 0: left out
	Draining bool          // due to end
	WarmLeft time.Duration // for how much longer it is slow
}

// column sets one field of a server, and returns what is wrong with the value.
type column func(l *Listed, value any) string

// The columns by name. Those not here are passed over.
var columns = map[string]column{
	"id":      text(func(l *Listed) *string { return &l.ID }),
	"backend": text(func(l *Listed) *string { return &l.Backend }),
	"address": text(func(l *Listed) *string { return &l.Address }),
	"zone":    text(func(l *Listed) *string { return &l.Zone }),
	"gen":     text(func(l *Listed) *string { return &l.Gen }),
	"capacity": func(l *Listed, value any) string {
		n, ok := value.(float64)
		if !ok || n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
			return "not a whole number"
		}
		l.Capacity = int(n)
		return ""
	},
	"state": func(l *Listed, value any) string {
		if value != "ready" && value != "draining" {
			return "not ready or draining"
		}
		l.Draining = value == "draining"
		return ""
	},
	"warm_left_ms": func(l *Listed, value any) string {
		n, ok := value.(float64)
		if !ok || n > 1e9 {
			return "not a span of time"
		}
		l.WarmLeft = time.Duration(max(0, n) * float64(time.Millisecond))
		return ""
	},
}

func text(field func(*Listed) *string) column {
	return func(l *Listed, value any) string {
		s, ok := value.(string)
		if !ok {
			return "not a string"
		}
		*field(l) = s
		return ""
	}
}

// Servers returns the page's servers in their order. The error joins what is
// wrong with each bad row, by row and column; the good rows are returned beside it.
// A page without the table is an error too, so that it does not pass for one without servers.
func (p *Page) Servers() ([]Listed, error) {
	if p.Table.Cols == nil {
		return nil, errors.New("servers: no cols")
	}
	setters := make([]column, len(p.Table.Cols))
	for i, name := range p.Table.Cols {
		setters[i] = columns[name]
	}
	list := make([]Listed, 0, len(p.Table.Rows))
	var faults []error
	for no, row := range p.Table.Rows {
		l, err := server(p.Table.Cols, setters, row)
		if err != nil {
			faults = append(faults, errors.WithMessagef(err, "row %d", no))
			continue
		}
		list = append(list, l)
	}
	return list, stderrors.Join(faults...)
}

// server reads one row.
func server(cols []string, setters []column, row []any) (Listed, error) {
	var l Listed
	if len(row) != len(cols) {
		return l, errors.Errorf("%d values in %d columns", len(row), len(cols))
	}
	for i, value := range row {
		if value == nil || setters[i] == nil {
			continue
		}
		if what := setters[i](&l, value); what != "" {
			return l, errors.Errorf("%s: %v: %s", cols[i], value, what)
		}
	}
	for _, needed := range [...]struct{ name, value string }{
		{"id", l.ID}, {"backend", l.Backend}, {"address", l.Address}, {"zone", l.Zone},
	} {
		if needed.value == "" {
			return l, errors.Errorf("%s: left out", needed.name)
		}
	}
	return l, nil
}
