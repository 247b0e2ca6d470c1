package operator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/keyring"
)

// AddKey draws a key for a library and returns an operator file's text with its
// hash written behind all else; comments and order stay. The key itself is kept
// nowhere.
func AddKey(path string, text []byte, l keyring.Library, random io.Reader) (out []byte, key string, err error) {
	file, err := Parse(path, text)
	if err != nil {
		return nil, "", err
	}
	number, err := keyring.ParseNumber(l.Number)
	if err != nil {
		return nil, "", err
	}
	for _, k := range file.Keys.Libraries {
		if strings.EqualFold(k.Library, number) && (k.Plan != l.Plan || k.First != l.First || k.Spread != l.Spread) {
			return nil, "", fmt.Errorf("%s: library %s has keys of plan %s and set %d+%d; all its keys have one plan and set", path, number, k.Plan, k.First, k.Spread)
		}
	}
	var add bytes.Buffer
	if len(text) > 0 && text[len(text)-1] != '\n' {
		add.WriteByte('\n')
	}
	var salt keyring.Salt
	if file.Keys.Salt != "" {
		if salt, err = keyring.ParseSalt(file.Keys.Salt); err != nil {
			return nil, "", err
		}
	} else {
		if salt, err = keyring.NewSalt(random); err != nil {
			return nil, "", err
		}
		fmt.Fprintf(&add, "\n[keys]\nsalt = \"%x\"\n", []byte(salt))
	}
	if key, err = keyring.NewKey(random); err != nil {
		return nil, "", err
	}
	fmt.Fprintf(&add, "\n[[keys.libraries]]\nlibrary = %q\nplan = %q\nfirst = %d\nspread = %d\nhash = %q\n", number, l.Plan, l.First, l.Spread, keyring.HashOf(salt, key))
	out = append(bytes.Clone(text), add.Bytes()...)
	if _, err := Parse(path, out); err != nil {
		return nil, "", fmt.Errorf("the file can't take the key behind its last line: %w", err)
	}
	return out, key, nil
}

// ErrNoKey tells that no key of a file begins so.
var ErrNoKey = errors.New("no key's hash begins so")

// RemoveKey returns an operator file's text without the key whose hash begins
// with these digits, and the library that it named. Several such keys are an
// error, so that none is withdrawn by mistake.
func RemoveKey(path string, text []byte, start string) (out []byte, library string, err error) {
	file, err := Parse(path, text)
	if err != nil {
		return nil, "", err
	}
	at := -1
	for i, k := range file.Keys.Libraries {
		if !strings.HasPrefix(k.Hash, strings.ToLower(start)) || start == "" {
			continue
		}
		if at >= 0 {
			return nil, "", fmt.Errorf("several keys' hashes begin with %q", start)
		}
		at, library = i, k.Library
	}
	if at < 0 {
		return nil, "", ErrNoKey
	}
	lines, err := conffile.Lines(text)
	if err != nil {
		return nil, "", err
	}
	first := lines.Of(fmt.Sprintf("keys.libraries.%d", at))
	list := strings.SplitAfter(string(text), "\n")
	last := first // the line behind the table
	for last < len(list) && !strings.HasPrefix(strings.TrimSpace(list[last]), "[") {
		last++
	}
	out = []byte(strings.Join(append(list[:first-1:first-1], list[last:]...), ""))
	if _, err := Parse(path, out); err != nil {
		return nil, "", fmt.Errorf("the file can't do without the key's lines %d to %d: %w", first, last, err)
	}
	return out, library, nil
}
