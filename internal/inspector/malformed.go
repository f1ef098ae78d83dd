package inspector

import (
	"errors"
	"strconv"
)

// Part names a part of an answer.
type Part string

// The parts of an answer.
const (
	StatusLine Part = "StatusLine"
	Field      Part = "Field"
	// Framing is what marks the end of the body.
	Framing Part = "Framing"
	Chunk   Part = "Chunk"
	Trailer Part = "Trailer"
)

// Parts returns all parts.
func Parts() []Part {
	return []Part{
		StatusLine,
		Field,
		Framing,
		Chunk,
		Trailer,
	}
}

// The rules that a malformed answer breaks.
var (
	ErrVersion       = errors.New("the version is not HTTP/1")
	ErrStatus        = errors.New("the status is not a number from 100 to 599 between blanks")
	ErrReason        = errors.New("the reason has a control byte")
	ErrName          = errors.New("the name of a field is not a token")
	ErrColon         = errors.New("a field has no colon")
	ErrFolded        = errors.New("a field line begins with a blank")
	ErrValue         = errors.New("the value of a field has a control byte")
	ErrOption        = errors.New("an option of the connection is not a token")
	ErrEndToEnd      = errors.New("a field that describes the content belongs to the connection only")
	ErrLength        = errors.New("the length of the body is not one number")
	ErrCoding        = errors.New("the transfer coding is not chunked, or not allowed with this version")
	ErrTwoFramings   = errors.New("the body has a length and a transfer coding")
	ErrNoBodyAllowed = errors.New("the status allows no body")
	ErrUpgrade       = errors.New("the protocol is switched unasked")
	ErrChunkSize     = errors.New("a chunk begins without a valid size and extensions")
	ErrChunkEnd      = errors.New("a chunk does not end where its size says")
	ErrTrailerField  = errors.New("a field that frames or describes the content comes behind it")
	ErrLineEnd       = errors.New("a line of the chunks or behind them ends without a carriage return")
	ErrLineLength    = errors.New("a line is too long")
)

// maxExcerptBytes bounds how much of a malformed answer an error holds, in bytes before escaping.
const maxExcerptBytes = 48

// MalformedError says what is wrong with an answer. It is immutable.
type MalformedError struct {
	// Part is the part of the answer that is malformed.
	Part Part
	// Rule is the rule that it breaks; never nil.
	Rule error
	// Excerpt holds the beginning of what is malformed, quoted and escaped, or nothing where
	// that could be content. Of a field it holds the name, not the value, which may be secret.
	Excerpt string
}

// newMalformed returns the error of a part that breaks a rule.
func newMalformed(part Part, rule error, text []byte) *MalformedError {
	malformed := &MalformedError{
		Part: part,
		Rule: rule,
	}
	if len(text) > 0 {
		malformed.Excerpt = strconv.QuoteToASCII(string(text[:min(len(text), maxExcerptBytes)]))
	}
	return malformed
}

// Error returns the rule and the excerpt.
func (e *MalformedError) Error() string {
	text := "malformed answer: " + e.Rule.Error()
	if e.Excerpt != "" {
		text += ": " + e.Excerpt
	}
	return text
}

// Unwrap returns the rule.
func (e *MalformedError) Unwrap() error {
	return e.Rule
}
