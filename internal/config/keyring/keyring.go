package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// A key is a mark and 20 random bytes in base 32. It has 160 bits that nobody
// can guess, so that one round of a salted hash keeps it: slow hashes are for
// passwords.
const (
	mark      = "ppk_"
	keyBytes  = 20
	saltBytes = 16
	leastSalt = 8 // bytes that a salt must have

	// MostKey is the longest key that is looked up, in bytes.
	MostKey = 128
)

// Hash is the SHA-256 of a file's salt and a key.
type Hash [sha256.Size]byte

// String writes the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads what String wrote.
func ParseHash(s string) (h Hash, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, fmt.Errorf("%.70q is not %d hexadecimal digits", s, 2*len(h))
	}
	return Hash(b), nil
}

// Salt makes a file's key hashes its own.
type Salt []byte

// ParseSalt reads a salt in hexadecimal.
func ParseSalt(s string) (Salt, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) < leastSalt || len(b) > 64 {
		return nil, fmt.Errorf("not %d to 128 hexadecimal digits", 2*leastSalt)
	}
	return b, nil
}

// NewSalt draws a salt.
func NewSalt(random io.Reader) (Salt, error) {
	s := make(Salt, saltBytes)
	_, err := io.ReadFull(random, s)
	return s, err
}

// NewKey draws a key. It is shown once and kept nowhere.
func NewKey(random io.Reader) (string, error) {
	b := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, b); err != nil {
		return "", err
	}
	return mark + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b)), nil
}

// HashOf hashes a key. The salt's length stands before it, so that no salt and
// key are those of another pair.
func HashOf(s Salt, key string) Hash {
	b := make([]byte, 0, 4+64+MostKey)
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	b = append(append(b, s...), key...)
	return sha256.Sum256(b)
}

// Library is what a key stands for.
type Library struct {
	Number string // 16 hexadecimal digits of a number below 2^33, as the platform's cookie has it
	Plan   string
	First  int // its set of edge nodes: Spread of them from number First, counted round
	Spread int
}

// ParseNumber checks a library's number and writes it as the platform does.
func ParseNumber(s string) (string, error) {
	if _, err := strconv.ParseUint(s, 16, 33); err != nil || len(s) != 16 {
		return "", fmt.Errorf("%.40q is not 16 hexadecimal digits of a number below 2^33", s)
	}
	return strings.ToLower(s), nil
}

// Entry is a key's hash and what it stands for.
type Entry struct {
	Hash Hash
	Library
}

// Ring finds libraries by their keys. It never changes.
type Ring struct {
	salt    Salt
	entries []Entry
	by      map[uint64][]int // by the first bytes of the hash
}

// ErrTwice tells that a key stands for two libraries, or twice for one.
var ErrTwice = errors.New("the same key stands there twice")

// New makes a ring. at in the error is the place of the entry at fault.
func New(salt Salt, entries []Entry) (r *Ring, at int, err error) {
	r = &Ring{salt: salt, entries: entries, by: map[uint64][]int{}}
	for i, e := range entries {
		if len(salt) == 0 {
			return nil, i, errors.New("hashes without a salt")
		}
		if _, found := r.find(e.Hash); found {
			return nil, i, ErrTwice
		}
		start := binary.BigEndian.Uint64(e.Hash[:])
		r.by[start] = append(r.by[start], i)
	}
	return r, 0, nil
}

// Len returns how many keys there are.
func (r *Ring) Len() int { return len(r.entries) }

// Find returns the library that a key names. How long that takes tells nothing
// of other keys: the place in the table follows from a salted hash, and the
// rest of it is compared in constant time.
func (r *Ring) Find(key string) (Library, bool) {
	if r == nil || len(r.entries) == 0 || len(key) == 0 || len(key) > MostKey {
		return Library{}, false
	}
	return r.find(HashOf(r.salt, key))
}

func (r *Ring) find(h Hash) (Library, bool) {
	for _, i := range r.by[binary.BigEndian.Uint64(h[:])] {
		if subtle.ConstantTimeCompare(r.entries[i].Hash[:], h[:]) == 1 {
			return r.entries[i].Library, true
		}
	}
	return Library{}, false
}
