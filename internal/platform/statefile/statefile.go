// Package statefile keeps small state on disk so that neither a crash nor a cut
// write loses it: each write goes aside, is synced and renamed, carries a
// checksum, and leaves the one before in place.
package statefile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	magic  = "pepperfall-state 1 "
	before = ".before" // what the name of the state before ends in
)

// ErrDamaged tells that a file is not what Save wrote.
var ErrDamaged = errors.New("damaged")

// Write replaces a file in one step: readers see the old text or the new.
func Write(path string, text []byte, mode fs.FileMode) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	aside := f.Name()
	fail := func(err error) error {
		f.Close()
		os.Remove(aside)
		return err
	}
	if _, err := f.Write(text); err != nil {
		return fail(err)
	}
	if err := f.Chmod(mode); err != nil {
		return fail(err)
	}
	if err := f.Sync(); err != nil {
		return fail(err)
	}
	if err := f.Close(); err != nil {
		return fail(err)
	}
	if err := os.Rename(aside, path); err != nil {
		os.Remove(aside)
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Save writes v as JSON under a checksum and keeps the state before it.
func Save(path string, v any) error {
	body, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text := append([]byte(magic+hex.EncodeToString(sum[:])+"\n"), body...)
	if old, err := os.ReadFile(path); err == nil && check(old) == nil {
		if err := Write(path+before, old, 0o600); err != nil {
			return err
		}
	}
	return Write(path, text, 0o600)
}

// Load reads what Save wrote. Where the newest is damaged or missing, the one
// before is taken and note says so. With neither, the error is that of the
// newest: fs.ErrNotExist where there never was one.
func Load(path string, v any) (note string, err error) {
	err = load(path, v)
	if err == nil {
		return "", nil
	}
	if load(path+before, v) == nil {
		return fmt.Sprintf("%s: %v; the state before it is used", path, err), nil
	}
	return "", fmt.Errorf("%s: %w", path, err)
}

func load(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := check(text); err != nil {
		return err
	}
	_, body, _ := bytes.Cut(text, []byte("\n"))
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return nil
}

func check(text []byte) error {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	sum := sha256.Sum256(body)
	if !ok || string(head) != magic+hex.EncodeToString(sum[:]) {
		return ErrDamaged
	}
	return nil
}
