package table

import (
	"errors"
	"net/url"
	"strings"
)

// Errors of CheckPath.
var (
	ErrRelativePath       = errors.New("the path does not begin with a slash")
	ErrDotSegment         = errors.New("the path holds a segment of one or two dots")
	ErrEmptySegment       = errors.New("the path holds an empty segment")
	ErrForbiddenCharacter = errors.New("the path holds a backslash or a control character")
)

// CheckPath returns the path by which a request is matched. It refuses every
// path that a back end might read as another one than the table does. An
// encoded slash stays encoded: it is part of a segment.
func CheckPath(address *url.URL) (string, error) {
	path := address.Path
	if address.RawPath != "" {
		path = decodeSegments(address.RawPath)
		if err := checkSegments(address.Path); err != nil {
			return "", err
		}
	}
	return path, checkSegments(path)
}

// decodeSegments decodes all but encoded slashes. The library has already
// checked that the escapes are well-formed.
func decodeSegments(raw string) string {
	segments := strings.Split(raw, "/")
	for index, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err == nil && !strings.Contains(decoded, "/") {
			segments[index] = decoded
		}
	}
	return strings.Join(segments, "/")
}

func checkSegments(path string) error {
	if path == "" || path[0] != '/' {
		return ErrRelativePath
	}
	start := 1
	for index := 1; index <= len(path); index++ {
		if index < len(path) && path[index] != '/' {
			if path[index] == '\\' || path[index] < ' ' || path[index] == 0x7f {
				return ErrForbiddenCharacter
			}
			continue
		}
		segment := path[start:index]
		if segment == "." || segment == ".." {
			return ErrDotSegment
		}
		if segment == "" && index < len(path) {
			return ErrEmptySegment
		}
		start = index + 1
	}
	return nil
}
