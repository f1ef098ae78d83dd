package inspector

import (
	"bytes"
	"math"
)

// statusLine is a parsed status line.
type statusLine struct {
	// minor is the minor version of HTTP/1.
	minor  int
	status int
}

// versionPrefix precedes the minor version.
var versionPrefix = []byte("HTTP/1.")

const (
	lowestStatus  = 100
	highestStatus = 599
)

// parseStatusLine parses a status line without its end (RFC 9112, section 4). The blank before
// an empty reason may be missing: a recipient may split the line at blanks.
func parseStatusLine(line []byte) (statusLine, error) {
	rest, found := bytes.CutPrefix(line, versionPrefix)
	if !found || len(rest) < 1 || !isDigit(rest[0]) {
		return statusLine{}, ErrVersion
	}
	parsed := statusLine{
		minor: int(rest[0] - '0'),
	}
	const statusEnd = len(" 200")
	rest = rest[1:]
	if len(rest) > 0 && rest[0] != ' ' {
		return statusLine{}, ErrVersion
	}
	if len(rest) < statusEnd {
		return statusLine{}, ErrStatus
	}
	for _, digit := range rest[1:statusEnd] {
		if !isDigit(digit) {
			return statusLine{}, ErrStatus
		}
		parsed.status = parsed.status*10 + int(digit-'0')
	}
	if parsed.status < lowestStatus || parsed.status > highestStatus {
		return statusLine{}, ErrStatus
	}
	reason := rest[statusEnd:]
	if len(reason) > 0 && reason[0] != ' ' {
		return statusLine{}, ErrStatus
	}
	if !isText(reason) {
		return statusLine{}, ErrReason
	}
	return parsed, nil
}

// field is a field line.
type field struct {
	name []byte
	// value has no blanks around it.
	value []byte
}

// parseField parses a field line without its end (RFC 9110, section 5; RFC 9112, section 5). On an
// error the field has the name alone, as far as there is one.
func parseField(line []byte) (field, error) {
	if isBlank(line[0]) {
		return field{}, ErrFolded
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	parsed := field{
		name: name,
	}
	switch {
	case !found:
		return parsed, ErrColon
	case !isToken(name):
		return parsed, ErrName
	case !isText(value):
		return parsed, ErrValue
	}
	parsed.value = bytes.Trim(value, " \t")
	return parsed, nil
}

// is reports whether the field has a name, which is given in lower case.
func (f field) is(name string) bool {
	return equalFold(f.name, name)
}

// equalFold reports whether a text equals another one in lower case, whatever its own case.
func equalFold(text []byte, lower string) bool {
	if len(text) != len(lower) {
		return false
	}
	for i, b := range text {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != lower[i] {
			return false
		}
	}
	return true
}

// parseLength parses the value of Content-Length (RFC 9110, section 8.6).
func parseLength(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, ErrLength
	}
	var length uint64
	for _, digit := range value {
		if !isDigit(digit) || length > (math.MaxInt64-uint64(digit-'0'))/10 {
			return 0, ErrLength
		}
		length = length*10 + uint64(digit-'0')
	}
	return length, nil
}

// checkOptions checks the value of Connection (RFC 9110, section 7.6.1).
func checkOptions(value []byte) error {
	for option := range bytes.SplitSeq(value, []byte{','}) {
		option = bytes.Trim(option, " \t")
		switch {
		case len(option) == 0:
			// A recipient ignores empty elements of a list.
		case !isToken(option):
			return ErrOption
		case describesContent(option):
			return ErrEndToEnd
		}
	}
	return nil
}

// contentPrefix begins the names of the fields that describe the content.
const contentPrefix = "content-"

// describesContent reports whether a field is meant for all recipients of the content.
func describesContent(name []byte) bool {
	isContent := len(name) > len(contentPrefix) && equalFold(name[:len(contentPrefix)], contentPrefix)
	return isContent || equalFold(name, "cache-control")
}

// forbiddenTrailers are the names of further fields that must not come behind the content: they
// frame it, belong to the connection, or route or authenticate (RFC 9110, section 6.5.1).
var forbiddenTrailers = []string{
	"authorization",
	"connection",
	"host",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"proxy-connection",
	"set-cookie",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"www-authenticate",
}

// mayBeTrailer reports whether a field may come behind the content.
func mayBeTrailer(name []byte) bool {
	if describesContent(name) {
		return false
	}
	for _, forbidden := range forbiddenTrailers {
		if equalFold(name, forbidden) {
			return false
		}
	}
	return true
}

// maxSizeDigits bounds the digits of a chunk's size, zeros in front included.
const maxSizeDigits = 16

// parseChunkLine parses the first line of a chunk without its end, and returns the chunk's size
// (RFC 9112, section 7.1).
func parseChunkLine(line []byte) (uint64, error) {
	var size uint64
	digits := 0
	for digits < len(line) && digits < maxSizeDigits {
		digit, ok := hexDigit(line[digits])
		if !ok {
			break
		}
		size = size<<4 | uint64(digit)
		digits++
	}
	if digits == 0 || size > math.MaxInt64 || !areExtensions(line[digits:]) {
		return 0, ErrChunkSize
	}
	return size, nil
}

// areExtensions reports whether a text is a list of chunk extensions, each after a semicolon, or
// empty (RFC 9112, section 7.1.1). It refuses a blank before a semicolon, as net/http does: a
// recipient should remove it, but no sender may generate it.
func areExtensions(text []byte) bool {
	for len(text) > 0 {
		if text[0] != ';' {
			return false
		}
		name, rest := cutToken(trimBlanks(text[1:]))
		if len(name) == 0 {
			return false
		}
		text = rest
		if value := trimBlanks(rest); len(value) > 0 && value[0] == '=' {
			var ok bool
			if text, ok = cutValue(trimBlanks(value[1:])); !ok {
				return false
			}
		}
	}
	return true
}

// cutValue returns what follows the token or quoted string at the beginning of a text.
func cutValue(text []byte) (rest []byte, ok bool) {
	if len(text) == 0 || text[0] != '"' {
		value, rest := cutToken(text)
		return rest, len(value) > 0
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return text[i+1:], true
		case text[i] == '\\':
			i++
		}
		if i < len(text) && !isTextByte(text[i]) {
			return nil, false
		}
	}
	return nil, false
}

// cutToken splits a text behind the token at its beginning, which may be empty.
func cutToken(text []byte) (token, rest []byte) {
	end := 0
	for end < len(text) && tokenBytes[text[end]] {
		end++
	}
	return text[:end], text[end:]
}

func trimBlanks(text []byte) []byte {
	return bytes.TrimLeft(text, " \t")
}

// tokenBytes holds the bytes that a token may have (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	const characters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte(characters) {
		allowed[b] = true
	}
	return allowed
}()

// isToken reports whether a text is a token, which has at least one byte.
func isToken(text []byte) bool {
	token, rest := cutToken(text)
	return len(token) > 0 && len(rest) == 0
}

// isText reports whether a text has no control byte except tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if !isTextByte(b) {
			return false
		}
	}
	return true
}

func isTextByte(b byte) bool {
	const del = 0x7f
	return b >= ' ' && b != del || b == '\t'
}

func isBlank(b byte) bool {
	return b == ' ' || b == '\t'
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (byte, bool) {
	switch {
	case isDigit(b):
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	default:
		return 0, false
	}
}
