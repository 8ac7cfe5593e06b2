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

// CheckPath returns the decoded path by which a request is matched. It rejects every path that a
// back end could interpret differently from the table. An encoded slash stays encoded, since it is
// part of a segment and not a separator.
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

// decodeSegments decodes the escapes of each segment, except in segments with an encoded slash,
// which stay as they are. net/url has already checked that the escapes are well-formed.
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

// checkSegments returns an error unless the path is absolute, its segments are neither empty nor
// dots, and it has no backslash or control character. A trailing slash is allowed.
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
