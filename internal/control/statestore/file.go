package statestore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// The files. Each begins with a header line: the kind of the file, the number of the format, a number that depends on
// the kind, the SHA-256 and length of the body in bytes, and a checksum of the line.
const (
	recordFile    = "record"  // what this replica has decided, promised and accepted
	configPrefix  = "config-" // begins the names of configurations, each as its operator sent it
	censusFile    = "census"  // nodes ever seen
	tempSuffix    = ".new"    // ends the name of what is being written
	formatVersion = 2
)

// configName returns the name of the file of a configuration.
func configName(d state.Digest) string { return configPrefix + hex.EncodeToString(d[:16]) }

// configKind is the kind in the header line of every configuration file.
const configKind = "config"

func encodeFile(kind string, number uint64, body []byte) []byte {
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("pepperfall %s %d %d %s %d", kind, formatVersion, number, hex.EncodeToString(sum[:]), len(body))
	return append(fmt.Appendf(nil, "%s %08x\n", head, crc32.ChecksumIEEE([]byte(head))), body...)
}

// decodeFile undoes seal; anything out of place is an error.
func decodeFile(kind string, all []byte) (number uint64, body []byte, err error) {
	line, body, found := bytes.Cut(all, []byte("\n"))
	if !found {
		return 0, nil, errors.Errorf("%s: header line is missing", kind)
	}
	header := string(line)
	checksumAt := strings.LastIndexByte(header, ' ')
	if checksumAt < 0 || fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(header[:checksumAt]))) != header[checksumAt+1:] {
		return 0, nil, errors.Errorf("%s: checksum of the header line does not match", kind)
	}
	var version, length int
	var digest, gotKind string
	if _, err := fmt.Sscanf(header[:checksumAt], "pepperfall %s %d %d %s %d", &gotKind, &version, &number, &digest, &length); err != nil || gotKind != kind {
		return 0, nil, errors.Errorf("%s: header line is malformed or of another kind of file", kind)
	}
	if form != formatVersion {
		return 0, nil, errors.Errorf("%s: format %d, not %d", kind, form, formatVersion)
	}
	if len(body) != length {
		return 0, nil, errors.Errorf("%s: body has %d bytes, want %d", kind, len(body), length)
	}
	if got := sha256.Sum256(body); hex.EncodeToString(got[:]) != digest {
		return 0, nil, errors.Errorf("%s: digest of the body does not match", kind)
	}
	return number, body, nil
}

// writeFile puts a whole file in place; it lasts when write returns nil.
func writeFile(d world.Disk, dir, name string, all []byte) error {
	to := filepath.Join(dir, name)
	f, err := d.Create(to + tempSuffix)
	if err != nil {
		return errors.Wrap(err, name)
	}
	_, err = f.Write(contents)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = d.Rename(to+tempSuffix, to)
	}
	if err == nil {
		err = d.SyncDir(dir)
	}
	return errors.Wrap(err, name)
}

// fileKind is what the first line of a file says that it is.
func fileKind(name string) string {
	if strings.HasPrefix(name, configPrefix) {
		return configKind
	}
	return name
}

// readFile returns nil without an error where there is no such file.
func readFile(d world.Disk, dir, name string) (uint64, []byte, error) {
	all, err := d.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, name)
	}
	return decodeFile(fileKind(name), all)
}
