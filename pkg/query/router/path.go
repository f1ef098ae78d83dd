package router

import "strings"

// PlainPath says whether a path means the same to every reader. A path with dot
// segments, empty segments, backslashes or escaped slashes may lead an upstream
// to another route than the one that was checked here. Both forms are given as
// net/url has them: decoded, and escaped if that differs from the default.
func PlainPath(decoded, escaped string) bool {
	if !strings.HasPrefix(decoded, "/") || strings.ContainsAny(decoded, "\\\x00") {
		return false
	}
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%2F") {
		return false
	}
	rest := decoded[1:]
	for rest != "" {
		segment, following, more := strings.Cut(rest, "/")
		if isDots(segment) || (segment == "" && more) {
			return false
		}
		rest = following
	}
	return true
}

// isDots says whether a segment is "." or "..", with or without parameters.
func isDots(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name == "." || name == ".."
}
