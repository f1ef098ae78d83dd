package router

import "strings"

// IsUnambiguousPath reports whether a path begins with a slash and has none of the forms
// that an upstream may resolve to another route than the one that was checked here: dot
// segments, empty segments, backslashes, NUL bytes and escaped slashes. The two arguments
// are the fields Path and RawPath of net/url.URL: the decoded path, and the escaped one
// if it differs from the default encoding.
func IsUnambiguousPath(decoded, escaped string) bool {
	if !strings.HasPrefix(decoded, "/") || strings.ContainsAny(decoded, "\\\x00") {
		return false
	}
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%2F") {
		return false
	}
	remaining := decoded[1:]
	for remaining != "" {
		segment, rest, more := strings.Cut(remaining, "/")
		if isDotSegment(segment) || (segment == "" && more) {
			return false
		}
		remaining = rest
	}
	return true
}

// isDotSegment reports whether a segment is "." or "..", with or without parameters
// after a semicolon.
func isDotSegment(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name == "." || name == ".."
}
