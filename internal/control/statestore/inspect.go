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

// FileReport describes a file in the folder of a store.
type FileReport struct {
	Name       string
	Exists     bool
	IsLeftover bool   // left by an interrupted write, or not referenced by the record; removed at the next start
	IsForeign  bool   // not a file of a store; kept at the next start
	Err        error  // why it cannot be read
	Summary    string // what it holds
}

// Inspection is what a store's folder holds.
type Inspection struct {
	Files       []FileReport
	FolderState FolderState // what a replica would find at its start
	Contents    Contents
}

// Inspect reads a folder as a start would, without changing anything.
func Inspect(disk world.Disk, dir string) (*Inspection, error) {
	names, err := disk.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "statestore")
	}
	in := &Inspection{Contents: Contents{Configs: map[state.Digest]*peerlink.Configuration{}}}
	var loadErr error
	in.FolderState, loadErr = load(disk, dir, &in.Contents)
	referenced := map[string]bool{recordFile: true, censusFile: true}
	for _, id := range referencedConfigs(&in.Contents.Record) {
		referenced[configName(id.Digest)] = true
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
			r.IsLeftover = r.Err == nil && in.FolderState == Intact && !referenced[name]
		}
		in.Files = append(in.Files, r)
	}
	if _, found := in.findFile(recordFile); !found {
		in.Files = append(in.Files, FileReport{Name: recordFile})
	}
	if loadErr != nil && !in.hasError() {
		in.Files = append(in.Files, FileReport{Name: recordFile, Err: loadErr})
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

// describe fills in the summary or the error of a file.
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

// RemoveLeftover removes a leftover file. It refuses the record, the census and files that are not a store's.
func RemoveLeftover(disk world.Disk, dir, name string) error {
	if !isStoreFile(name) || name == recordFile || name == censusFile {
		return errors.Errorf("statestore: %s is not a leftover file", name)
	}
	if err := disk.Remove(filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(disk.SyncDir(dir), name)
}
