// Command trial reads one description with the project's loader, with
// libopenapi alone or with kin-openapi, and prints what that took. It is a
// module of its own, so that the project does not depend on what it only weighs.
//
//	cd internal/config/openapi/trial && go run . ours|libopenapi|kin FILE
package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/pb33f/libopenapi"
	"github.com/pb33f/libopenapi/datamodel"

	"pepperfall.example/pepperfall/internal/config/openapi"
	"pepperfall.example/pepperfall/internal/config/routebook"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: trial ours|libopenapi|kin FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	began := time.Now()
	found, err := read(os.Args[1], os.Args[2], text)
	took := time.Since(began)
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	said := "taken"
	if err != nil {
		said = "turned down: " + strings.SplitN(err.Error(), "\n", 2)[0]
	}
	fmt.Printf("%s: %d operations, %.2f s, %d MB, %.200s\n", os.Args[1], found, took.Seconds(), u.Maxrss/1024, said)
}

// read counts the operations that a reader finds.
func read(how, file string, text []byte) (n int, err error) {
	switch how {
	case "ours":
		d, err := openapi.Load(file, text, openapi.Defaults{LookupClass: "a", LoanClass: "b", Units: 1, MostUnits: 6}, openapi.DefaultBounds())
		if err != nil {
			return 0, err
		}
		_, err = routebook.Compile("", d.Routes)
		return len(d.Routes), err
	case "libopenapi":
		c := datamodel.NewDocumentConfiguration()
		c.Logger = slog.New(slog.DiscardHandler)
		doc, err := libopenapi.NewDocumentWithConfiguration(text, c)
		if err != nil {
			return 0, err
		}
		model, err := doc.BuildV3Model()
		if model == nil || model.Model.Paths == nil {
			return 0, err
		}
		for _, item := range model.Model.Paths.PathItems.FromOldest() {
			n += item.GetOperations().Len()
		}
		return n, err
	case "kin":
		l := openapi3.NewLoader()
		doc, err := l.LoadFromData(text)
		if err != nil {
			return 0, err
		}
		for _, item := range doc.Paths.Map() {
			n += len(item.Operations())
		}
		return n, doc.Validate(l.Context)
	}
	return 0, fmt.Errorf("%q is no reader", how)
}
