package openapi

import (
	"errors"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/config/routebook"
)

// Compile makes the book that an operator file asks for, of a description's
// text and what is written by hand; without a description text is nil. The
// error holds every fault, and warnings what a person should look at. Equal
// input gives an equal book, wherever the files lie.
func Compile(l *operator.Loaded, text []byte, mostUnits float64) (b *routebook.Book, warnings conffile.Faults, err error) {
	r := &l.Routes
	desc := &Description{}
	if text != nil {
		desc, err = Load(l.Beside(r.Description), text, Defaults{LookupClass: r.LookupClass, LoanClass: r.LoanClass, Units: r.Units, MostUnits: mostUnits},
			Bounds{Bytes: r.MostMB << 20, Depth: r.MostDepth, Values: r.MostValues, Aliases: r.MostAliases})
		if err != nil {
			return nil, nil, err
		}
	}
	list, places := l.HandWritten(mostUnits)
	b, err = routebook.Compile("", append(desc.Routes, list...))
	var wrong routebook.Faults
	if errors.As(err, &wrong) {
		return nil, nil, faultsOf(wrong)
	}
	if err != nil {
		return nil, nil, err
	}
	b.Title, b.Version, b.Keys = desc.Title, desc.Version, append(desc.Keys, places...)
	warnings = append(desc.Warnings, faultsOf(b.Warnings())...)
	if r.Strict && len(warnings) > 0 {
		return nil, nil, warnings
	}
	return b, warnings, nil
}

// faultsOf tells a book's faults as those of files.
func faultsOf(list routebook.Faults) (out conffile.Faults) {
	for _, f := range list {
		out = append(out, conffile.Fault{File: f.Place, Key: f.Operation, Text: f.Text})
	}
	return out
}
