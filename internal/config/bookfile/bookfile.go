package bookfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pepperfall.example/pepperfall/internal/config/routebook"
)

// A file is a line of text, then CBOR (RFC 8949, 4.2.1: core deterministic
// encoding):
//
//	pepperfall-book 1 SHA-256-of-the-rest-in-hexadecimal
const (
	magic   = "pepperfall-book"
	version = "1"

	// MostBytes is the largest file that is read. A book of 10,000 operations
	// has about 4 MB.
	MostBytes = 64 << 20

	mostRoutes = 200_000
	mostWhy    = 100 // sentences of one route
	revision   = 12  // hexadecimal digits that name a book
)

// What a file can be that Decode does not read.
var (
	ErrNoBook  = errors.New("not a compiled route book")
	ErrVersion = errors.New("a route book of another version")
	ErrDamaged = errors.New("the route book is damaged: its checksum does not fit")
)

// body is the CBOR part. Arrays without names keep it small; a new field takes
// a new version.
type body struct {
	_        struct{} `cbor:",toarray"`
	Title    string
	Version  string
	Keys     []keyPlace
	Routes   []route
	Warnings []fault
}

type keyPlace struct {
	_        struct{} `cbor:",toarray"`
	In, Name string
}

type route struct {
	_                       struct{} `cbor:",toarray"`
	Operation, Method, Path string
	Class                   string
	Repeat                  uint8
	Base, Each, Most        float64
	Param                   string
	Per                     int
	DeadlineMS              int64
	Place                   string
	Why                     []string
}

type fault struct {
	_                      struct{} `cbor:",toarray"`
	Place, Operation, Text string
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: mostRoutes, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Is tells whether a text sets out to be a book, of whatever version.
func Is(text []byte) bool { return bytes.HasPrefix(text, []byte(magic+" ")) }

// Encode writes a book. Its revision follows from all that is in it.
func Encode(b *routebook.Book) (text []byte, err error) {
	out := body{Title: b.Title, Version: b.Version}
	for _, k := range b.Keys {
		out.Keys = append(out.Keys, keyPlace{In: k.In, Name: k.Name})
	}
	for _, r := range b.Routes() {
		out.Routes = append(out.Routes, route{Operation: r.Operation, Method: r.Method, Path: r.Template, Class: r.Class,
			Repeat: uint8(r.Repeat), Base: r.Units.Base, Each: r.Units.Each, Most: r.Units.Most, Param: r.Units.Param,
			Per: r.Units.Per, DeadlineMS: r.Deadline.Milliseconds(), Place: r.Place, Why: r.Why})
	}
	for _, f := range b.Warnings() {
		out.Warnings = append(out.Warnings, fault{Place: f.Place, Operation: f.Operation, Text: f.Text})
	}
	rest, err := encoder.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("route book: %w", err)
	}
	text = fmt.Appendf(nil, "%s %s %s\n", magic, version, sumOf(rest))
	if len(text)+len(rest) > MostBytes {
		return nil, fmt.Errorf("route book: %d bytes; %d at most are read", len(text)+len(rest), MostBytes)
	}
	return append(text, rest...), nil
}

func sumOf(rest []byte) string {
	sum := sha256.Sum256(rest)
	return hex.EncodeToString(sum[:])
}

// Detail says how much of a book is read.
type Detail int

// How much is read: tools want the reasons, a serving node does without.
const (
	Served Detail = iota // what requests are served by
	Full                 // with the reasons of each decision, and the warnings
)

// Decode reads a book and compiles it. Its Generation is the first digits of
// the checksum.
func Decode(text []byte, d Detail) (*routebook.Book, error) {
	if len(text) > MostBytes {
		return nil, fmt.Errorf("route book: %d bytes; %d at most are read", len(text), MostBytes)
	}
	head, rest, ok := bytes.Cut(text, []byte("\n"))
	words := bytes.Split(head, []byte(" "))
	switch {
	case !ok || len(words) != 3 || string(words[0]) != magic:
		return nil, ErrNoBook
	case string(words[1]) != version:
		return nil, fmt.Errorf("%w: %.20q, and %s is read", ErrVersion, words[1], version)
	case string(words[2]) != sumOf(rest):
		return nil, ErrDamaged
	}
	var in body
	if err := decoder.Unmarshal(rest, &in); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNoBook, err)
	}
	list := make([]routebook.Route, 0, len(in.Routes))
	for _, r := range in.Routes {
		switch {
		case r.Repeat > uint8(routebook.Safe):
			return nil, fmt.Errorf("%w: operation %.60s: repeat %d", ErrNoBook, r.Operation, r.Repeat)
		case len(r.Why) > mostWhy:
			return nil, fmt.Errorf("%w: operation %.60s: %d reasons", ErrNoBook, r.Operation, len(r.Why))
		case r.DeadlineMS < 0 || r.DeadlineMS > int64(24*time.Hour/time.Millisecond):
			return nil, fmt.Errorf("%w: operation %.60s: a deadline of %d ms", ErrNoBook, r.Operation, r.DeadlineMS)
		}
		o := routebook.Route{Operation: r.Operation, Method: r.Method, Template: r.Path, Class: r.Class, Repeat: routebook.Repeat(r.Repeat),
			Units:    routebook.Units{Base: r.Base, Each: r.Each, Most: r.Most, Param: r.Param, Per: r.Per},
			Deadline: time.Duration(r.DeadlineMS) * time.Millisecond, Place: r.Place}
		if d == Full {
			o.Why = r.Why
		}
		list = append(list, o)
	}
	b, err := routebook.Compile(string(words[2][:revision]), list)
	if err != nil {
		return nil, fmt.Errorf("route book: %w", err)
	}
	b.Title, b.Version = in.Title, in.Version
	for _, k := range in.Keys {
		b.Keys = append(b.Keys, routebook.KeyPlace{In: k.In, Name: k.Name})
	}
	return b, nil
}
