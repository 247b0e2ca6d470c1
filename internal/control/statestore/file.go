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
	configPrefix  = "config-" // begins the names of configuration files, which hold the text that the operator sent
	censusFile    = "census"  // names of all nodes ever seen
	tempSuffix    = ".new"    // ends the names of files that are being written
	formatVersion = 2
)

// configName returns the name of the file of a configuration.
func configName(d state.Digest) string { return configPrefix + hex.EncodeToString(d[:16]) }

// configKind is the kind in the header line of every configuration file.
const configKind = "config"

// encodeFile returns the contents of a file: a header line and the body.
func encodeFile(kind string, number uint64, body []byte) []byte {
	digest := sha256.Sum256(body)
	header := fmt.Sprintf("pepperfall %s %d %d %s %d", kind, formatVersion, number, hex.EncodeToString(digest[:]), len(body))
	return append(fmt.Appendf(nil, "%s %08x\n", header, crc32.ChecksumIEEE([]byte(header))), body...)
}

// decodeFile checks the contents of a file against its header line and returns the number and the body. Any mismatch
// is an error.
func decodeFile(kind string, contents []byte) (number uint64, body []byte, err error) {
	line, body, found := bytes.Cut(contents, []byte("\n"))
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
	if version != formatVersion {
		return 0, nil, errors.Errorf("%s: format version %d, want %d", kind, version, formatVersion)
	}
	if len(body) != length {
		return 0, nil, errors.Errorf("%s: body has %d bytes, want %d", kind, len(body), length)
	}
	if got := sha256.Sum256(body); hex.EncodeToString(got[:]) != digest {
		return 0, nil, errors.Errorf("%s: digest of the body does not match", kind)
	}
	return number, body, nil
}

// writeFile atomically replaces a whole file. The file is durable once writeFile returns nil.
func writeFile(d world.Disk, dir, name string, contents []byte) error {
	path := filepath.Join(dir, name)
	f, err := d.Create(path + tempSuffix)
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
		err = d.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = d.SyncDir(dir)
	}
	return errors.Wrap(err, name)
}

// fileKind returns the kind that the header line of a file must have.
func fileKind(name string) string {
	if strings.HasPrefix(name, configPrefix) {
		return configKind
	}
	return name
}

// readFile returns the number and the body of a file, or a nil body without an error if the file does not exist.
func readFile(d world.Disk, dir, name string) (uint64, []byte, error) {
	contents, err := d.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, name)
	}
	return decodeFile(fileKind(name), contents)
}
