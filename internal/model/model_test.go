package model

import (
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
