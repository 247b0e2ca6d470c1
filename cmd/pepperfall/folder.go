package main

import (
	"fmt"
	"os"
)

// workFolder makes a folder for the files and logs of a command's instances. Remove deletes it, unless it is to be kept.
func workFolder(o output, command string, keep bool) (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "pepperfall-"+command+"-")
	if err != nil {
		return "", nil, err
	}
	if keep {
		fmt.Fprintln(o.out, "files and logs:", dir)
		return dir, func() {}, nil
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
