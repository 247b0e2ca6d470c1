package routebook

import (
	"errors"
	"strings"
)

// Bounds of a path.
const (
	MostPath     = 8 << 10 // bytes
	MostSegments = 64
)

// A path has one spelling. What could be read in two ways, here or by a loan
// server behind, is turned away before it is matched:
//
//   - it begins with a slash and holds visible ASCII only;
//   - no segment is empty but the last, and none is "." or "..", written
//     plainly or with percent signs;
//   - a percent sign has two hexadecimal digits behind it, and does not stand
//     for an unreserved character (RFC 3986, 2.3 and 6.2.2.2), a slash, a
//     backslash or a control character;
//   - there is no backslash.
//
// Letters count as they are written; a trailing slash makes another path; what
// stands behind a semicolon belongs to its segment.
var (
	ErrPath = errors.New("the path has more than one reading")
	ErrLong = errors.New("the path is too long")
)

// CheckPath tells whether a path has one spelling.
func CheckPath(path string) error {
	if len(path) > MostPath {
		return ErrLong
	}
	if path == "" || path[0] != '/' {
		return ErrPath
	}
	segments, begin := 0, 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			switch c := path[i]; {
			case c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#':
				return ErrPath
			case c == '%':
				v, ok := escaped(path[i:])
				if !ok || unreserved(v) || v == '/' || v == '\\' || v < ' ' || v == 0x7f {
					return ErrPath
				}
			}
			continue
		}
		seg := path[begin:i]
		if seg == "" && i < len(path) || seg == "." || seg == ".." {
			return ErrPath
		}
		if segments++; segments > MostSegments {
			return ErrLong
		}
		begin = i + 1
	}
	return nil
}

func escaped(s string) (v byte, ok bool) {
	if len(s) < 3 {
		return 0, false
	}
	hi, lo := hex(s[1]), hex(s[2])
	return hi<<4 | lo, hi < 16 && lo < 16
}

func hex(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10
	}
	return 255
}

func unreserved(c byte) bool {
	return 'a' <= c|0x20 && c|0x20 <= 'z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// CheckTemplate tells what is wrong with a template.
func CheckTemplate(t string) error {
	_, err := parseTemplate(t)
	return err
}

// parseTemplate reads a template's segments.
func parseTemplate(t string) (list []pattern, err error) {
	if t == "" || t[0] != '/' {
		return nil, errors.New("it does not begin with a slash")
	}
	plain := []byte{}
	seen := map[string]bool{}
	for seg := range strings.SplitSeq(t[1:], "/") {
		p, names, err := parsePattern(seg)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			if seen[name] {
				return nil, errors.New("the parameter {" + name + "} stands there twice")
			}
			seen[name] = true
		}
		list = append(list, p)
		plain = append(append(plain, '/'), strings.Join(p.texts, "x")...)
	}
	return list, CheckPath(string(plain))
}
