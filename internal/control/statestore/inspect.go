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
type Report struct {
	Name  string
	There bool
	Left  bool   // left by an interrupted write, or not referenced by the record; removed at the next start
	Alien bool   // not a file of a store; kept at the next start
	Fault error  // why it cannot be read
	Says  string // what it holds
}

// Inspection is what a store's folder holds.
type Inspection struct {
	Files    []Report
	Found    Found // what a replica would find at its start
	Contents Contents
}

// Inspect reads a folder as a start would, without changing anything.
func Inspect(disk world.Disk, dir string) (*Inspection, error) {
	names, err := disk.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "statestore")
	}
	in := &Inspection{Contents: Contents{Configs: map[state.Digest]*peerlink.Configuration{}}}
	var loadErr error
	in.Found, loadErr = load(disk, dir, &in.Contents)
	referenced := map[string]bool{recordFile: true, censusFile: true}
	for _, id := range named(&in.Contents.Record) {
		referenced[configName(id.Digest)] = true
	}
	for _, name := range names {
		r := Report{Name: name, There: true}
		switch {
		case strings.HasSuffix(name, aside) && isOurs(name):
			r.Left, r.Says = true, "being written when the process ended"
		case !isOurs(name):
			r.Alien, r.Says = true, "no file of a replica"
		default:
			in.describe(disk, dir, &r)
			r.Left = r.Fault == nil && in.Found == Whole && !referenced[name]
		}
		in.Files = append(in.Files, r)
	}
	if _, found := in.file(recordFile); !found {
		in.Files = append(in.Files, Report{Name: recordFile})
	}
	if loadErr != nil && !in.anyFault() {
		in.Files = append(in.Files, Report{Name: recordFile, Fault: loadErr})
	}
	return in, nil
}

func (in *Inspection) file(name string) (Report, bool) {
	for _, f := range in.Files {
		if f.Name == name {
			return f, true
		}
	}
	return Report{}, false
}

func (in *Inspection) anyFault() bool {
	for _, f := range in.Files {
		if f.Fault != nil {
			return true
		}
	}
	return false
}

// describe fills in the summary or the error of a file.
func (in *Inspection) describe(disk world.Disk, dir string, r *Report) {
	number, body, err := read(disk, dir, r.Name)
	r.Fault = err
	if err != nil {
		return
	}
	switch r.Name {
	case recordFile:
		d := in.Contents.Record.Decided
		r.Says = fmt.Sprintf("version %d, %d voters, %d orders, replica %s", number, len(d.Voters), len(d.Orders), in.Contents.Record.ID)
	case censusFile:
		r.Says = fmt.Sprintf("names of nodes ever seen, %d bytes", len(body))
	default:
		r.Says = fmt.Sprintf("r%d, %d bytes", number, len(body))
	}
}

// RemoveLeftover removes a leftover file. It refuses the record, the census and files that are not a store's.
func Clear(disk world.Disk, dir, name string) error {
	if !isOurs(name) || name == recordFile || name == censusFile {
		return errors.Errorf("statestore: %s is not a leftover file", name)
	}
	if err := disk.Remove(filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(disk.SyncDir(dir), name)
}
