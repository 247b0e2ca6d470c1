package model

import (
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The edits fit the Go that builds this, and what they expect has to stand there once.
func TestEditsFit(t *testing.T) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	assert.NilError(t, err)
	read := func(file string) (string, error) {
		text, err := os.ReadFile(filepath.Join(strings.TrimSpace(string(root)), "src", file))
		return string(text), err
	}
	texts, err := edited(read)
	assert.NilError(t, err)
	for _, e := range edits {
		assert.Equal(t, strings.Count(texts[e.file], e.new), 1, e.new)
	}
	_, err = edited(func(file string) (string, error) {
		text, err := read(file)
		return strings.Replace(text, "forcePreemptNS = 10", "forcePreemptNS = 20", 1), err
	})
	assert.ErrorContains(t, err, "this version of Go is not known")
}

// Powers are found as they are, and an interval has its mean inside and narrows with more values.
func TestFiguresOfSweeps(t *testing.T) {
	xs, ys := []float64{10, 30, 100, 0}, []float64{}
	for _, x := range xs {
		ys = append(ys, 3*math.Pow(x, 1.5))
	}
	assert.Assert(t, math.Abs(Exponent(xs, ys)-1.5) < 1e-9)
	assert.Assert(t, math.IsNaN(Exponent([]float64{5, 5}, []float64{1, 2})))
	few := []float64{1, 2, 3, 4}
	var many []float64
	for range 25 {
		many = append(many, few...)
	}
	mean, low, high := Interval(few)
	_, low2, high2 := Interval(many)
	assert.Assert(t, mean == 2.5 && low < mean && mean < high && low < low2 && high2 < high && high2-low2 < 0.6, "%v %v %v %v %v", mean, low, high, low2, high2)
}
