package statestore

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// FileReport is what a file of a store holds.
type FileReport struct {
	Name       string
	Exists     bool
	IsLeftover bool  // a leftover of a write that did not end, or a configuration that no record names; a start removes it
	IsForeign  bool  // no file of a store; a start leaves it
	Err        error // why it can't be read
	Summary    string
}

// Inspection is what a store's folder holds.
type Inspection struct {
	Files       []FileReport
	FolderState FolderState // what a replica would find on start
	Contents    Contents
}

// Inspect reads a folder as a start would, without changing anything.
func Inspect(disk world.Disk, dir string) (*Inspection, error) {
	names, err := disk.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "statestore")
	}
	in := &Inspection{Contents: Contents{Configs: map[state.Digest]*peerlink.Configuration{}}}
	var fault error
	in.FolderState, fault = load(disk, dir, &in.Contents)
	keep := map[string]bool{recordFile: true, censusFile: true}
	for _, id := range referencedConfigs(&in.Contents.Record) {
		keep[configName(id.Digest)] = true
	}
	for _, name := range names {
		r := FileReport{Name: name, Exists: true}
		switch {
		case strings.HasSuffix(name, tempSuffix) && isStoreFile(name):
			r.IsLeftover, r.Summary = true, "being written when the process ended"
		case !isStoreFile(name):
			r.IsForeign, r.Summary = true, "no file of a replica"
		default:
			in.describe(disk, dir, &r)
			r.IsLeftover = r.Err == nil && in.FolderState == Intact && !keep[name]
		}
		in.Files = append(in.Files, r)
	}
	if _, there := in.findFile(recordFile); !there {
		in.Files = append(in.Files, FileReport{Name: recordFile})
	}
	if fault != nil && !in.hasError() {
		in.Files = append(in.Files, FileReport{Name: recordFile, Err: fault})
	}
	return in, nil
}

func (in *Inspection) findFile(name string) (FileReport, bool) {
	for _, f := range in.Files {
		if f.Name == name {
			return f, true
		}
	}
	return FileReport{}, false
}

func (in *Inspection) hasError() bool {
	for _, f := range in.Files {
		if f.Err != nil {
			return true
		}
	}
	return false
}

// describe says what a file holds.
func (in *Inspection) describe(disk world.Disk, dir string, r *FileReport) {
	number, body, err := readFile(disk, dir, r.Name)
	r.Err = err
	if err != nil {
		return
	}
	switch r.Name {
	case recordFile:
		d := in.Contents.Record.Decided
		r.Summary = fmt.Sprintf("version %d, %d voters, %d orders, replica %s", number, len(d.Voters), len(d.Orders), in.Contents.Record.ID)
	case censusFile:
		r.Summary = fmt.Sprintf("names of nodes ever seen, %d bytes", len(body))
	default:
		r.Summary = fmt.Sprintf("r%d, %d bytes", number, len(body))
	}
}

// RemoveLeftover removes a leftover.
func RemoveLeftover(disk world.Disk, dir, name string) error {
	if !isStoreFile(name) || name == recordFile || name == censusFile {
		return errors.Errorf("statestore: %s is no leftover", name)
	}
	if err := disk.Remove(filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(disk.SyncDir(dir), name)
}
