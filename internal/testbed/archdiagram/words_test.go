package archdiagram_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// withdrawn are words of an earlier naming style, and in how many lines of the tree each may still stand: a count may only fall.
var withdrawn = map[string]int{
	`barns?`: 2, `vouch`: 8, `orchards?`: 0, `greenhouse`: 0, `furrow`: 3, `yoke`: 0, `silo`: 0, `winnow`: 0, `drove`: 0, `grove`: 0,
	`trellis`: 0, `almanac`: 0, `seedbed`: 0, `shea(f|ves)`: 0, `stalks?`: 0, `\bgates?\b`: 20, `\bhands\b`: 21, `\bplots?\b`: 24, `\bbeats?\b`: 11,
	`\bdeeds?\b`: 89, `\bplot\.`: 5,
}

// asWritten are files that stay as they were written, and this one.
var asWritten = []string{"journal/", "docs/incidents/", "docs/measurements/", "CHANGELOG.md", "internal/testbed/archdiagram/words_test.go"}

// No withdrawn word comes back.
func TestWithdrawnWords(t *testing.T) {
	list := exec.CommandContext(t.Context(), "git", "ls-files")
	list.Dir = root
	out, err := list.Output()
	assert.NilError(t, err)
	lines := map[string]int{}
	words := map[string]*regexp.Regexp{}
	for word := range withdrawn {
		words[word] = regexp.MustCompile(word)
	}
	for file := range strings.Lines(string(out)) {
		file = strings.TrimSpace(file)
		if isAsWritten(file) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(root, file))
		assert.NilError(t, err)
		lower := strings.ToLower(string(text))
		for word, is := range words {
			if strings.Contains(lower, beginning(word)) {
				lines[word] += matchingLines(lower, is)
			}
		}
	}
	for word, most := range withdrawn {
		assert.Check(t, lines[word] <= most, "%s stands in %d lines; %d are allowed", word, lines[word], most)
		assert.Check(t, lines[word] >= most, "%s stands in %d lines only: lower its count from %d", word, lines[word], most)
	}
}

// beginning is what each match of a word begins with: most files lack it, and are passed over fast.
func beginning(word string) string {
	text := strings.TrimPrefix(word, `\b`)
	return text[:3]
}

func matchingLines(text string, is *regexp.Regexp) (n int) {
	for line := range strings.Lines(text) {
		if is.MatchString(line) {
			n++
		}
	}
	return n
}

func isAsWritten(file string) bool {
	for _, prefix := range asWritten {
		if strings.HasPrefix(file, prefix) {
			return true
		}
	}
	return false
}
