// Package inspector checks that the answers which arrive on a connection are answers by the
// grammar of HTTP/1.1 (RFC 9112, sections 2 to 7; RFC 9110, sections 5, 6 and 15). It reads the
// bytes before net/http does, because the parsed answer no longer shows all that was wrong: net/http
// takes some malformed lines, drops others, and accepts statuses that are none.
//
// Everything in this program that reads answers opens its connections with a Dialer, so that one
// rule decides for all of them. A malformed answer ends its connection, and its reader gets a
// MalformedError before the end of the malformed part.
package inspector

import (
	"bytes"
	"net/http"
)

// stage is what a checker expects next.
type stage uint8

const (
	stageStatusLine stage = iota
	stageFields
	// stageBody is a body of known length.
	stageBody
	stageChunkSize
	stageChunkData
	stageChunkEnd
	stageTrailers
	// stageUnframed is a body that ends with the connection, or another protocol.
	stageUnframed
)

const (
	// maxLineBytes bounds a line, in bytes. The heads of upstreams and stores are bounded at the
	// same size.
	maxLineBytes = 64 << 10
	// maxKeptBytes bounds the memory that an idle connection keeps for lines, in bytes.
	maxKeptBytes = 1 << 10
)

// Checker checks the bytes of the answers on one connection in the order in which they arrive. The
// zero value expects the first answer. It must be used by one goroutine at a time.
type Checker struct {
	// upgrades reports that a switch of the protocol may be asked for.
	upgrades bool
	stage    stage
	head     head
	// left is how many bytes of a body or chunk are still to come.
	left uint64
	// partial holds the beginning of a line whose end has not arrived.
	partial []byte
}

// head is what the lines of a head say about the end of the body.
type head struct {
	statusLine
	hasLength bool
	length    uint64
	isChunked bool
}

// Check checks bytes that have arrived, and returns how many of them may be read: all of them, or
// with an error those that precede the malformed line. AnswersHead reports that the answer is
// one to a HEAD request.
func (c *Checker) Check(arrived []byte, answersHead bool) (int, *MalformedError) {
	for done := 0; done < len(arrived); {
		rest := arrived[done:]
		switch c.stage {
		case stageUnframed:
			return len(arrived), nil
		case stageBody, stageChunkData:
			done += c.skip(rest)
		default:
			end := bytes.IndexByte(rest, '\n') + 1
			if end == 0 {
				return c.keepPartial(rest, done)
			}
			if malformed := c.checkLine(c.joinLine(rest[:end]), answersHead); malformed != nil {
				return done, malformed
			}
			done += end
		}
	}
	return len(arrived), nil
}

// skip passes over data, and returns how many bytes it was.
func (c *Checker) skip(data []byte) int {
	count := min(c.left, uint64(len(data)))
	c.left -= count
	if c.left > 0 {
		return int(count)
	}
	if c.stage == stageChunkData {
		c.stage = stageChunkEnd
	} else {
		c.stage = stageStatusLine
	}
	return int(count)
}

// keepPartial keeps the beginning of a line, which has arrived behind a number of other bytes. It
// returns what Check does.
func (c *Checker) keepPartial(beginning []byte, done int) (int, *MalformedError) {
	c.partial = append(c.partial, beginning...)
	if len(c.partial) > maxLineBytes {
		return done, newMalformed(c.part(), ErrLineLength, c.partial)
	}
	return done + len(beginning), nil
}

// joinLine returns the line that ends with the given bytes. It is valid until the next call.
func (c *Checker) joinLine(ending []byte) []byte {
	if len(c.partial) == 0 {
		return ending
	}
	line := append(c.partial, ending...)
	c.partial = line[:0]
	if cap(line) > maxKeptBytes {
		c.partial = nil
	}
	return line
}

// part returns the part of the answer that is being checked.
func (c *Checker) part() Part {
	switch c.stage {
	case stageStatusLine:
		return StatusLine
	case stageFields:
		return Field
	case stageTrailers:
		return Trailer
	default:
		return Chunk
	}
}

var (
	lineFeed = []byte("\n")
	lineEnd  = []byte("\r\n")
)

// checkLine checks a line with its end.
func (c *Checker) checkLine(line []byte, answersHead bool) *MalformedError {
	text, hasReturn := bytes.CutSuffix(line, lineEnd)
	if !hasReturn {
		text = bytes.TrimSuffix(line, lineFeed)
	}
	switch c.stage {
	case stageStatusLine:
		return c.checkStatusLine(text)
	case stageFields:
		return c.checkField(text, answersHead)
	}
	// A line feed alone may end the lines of a head (RFC 9112, section 2.2), not those of chunks.
	if !hasReturn {
		return newMalformed(c.part(), ErrLineEnd, line)
	}
	switch c.stage {
	case stageChunkSize:
		return c.checkChunkLine(text)
	case stageChunkEnd:
		return c.checkChunkEnd(text)
	default:
		return c.checkTrailer(text)
	}
}

func (c *Checker) checkStatusLine(text []byte) *MalformedError {
	parsed, err := parseStatusLine(text)
	if err != nil {
		return newMalformed(StatusLine, err, text)
	}
	if parsed.status == http.StatusSwitchingProtocols && !c.upgrades {
		return newMalformed(StatusLine, ErrUpgrade, text)
	}
	c.head = head{
		statusLine: parsed,
	}
	c.stage = stageFields
	return nil
}

// checkField checks a field of a head, or ends the head at the empty line.
func (c *Checker) checkField(text []byte, answersHead bool) *MalformedError {
	if len(text) == 0 {
		return c.endHead(answersHead)
	}
	parsed, err := parseField(text)
	if err != nil {
		return newMalformed(Field, err, parsed.name)
	}
	var part Part
	c.head, part, err = c.head.withField(parsed)
	if err != nil {
		return newMalformed(part, err, text)
	}
	return nil
}

// withField returns a copy with what a field says about the end of the body or the connection. On
// an error it also returns the part that is malformed.
func (h head) withField(added field) (head, Part, error) {
	var err error
	switch {
	case added.is("content-length"):
		h, err = h.withLength(added.value)
	case added.is("transfer-encoding"):
		h, err = h.withCoding(added.value)
	case added.is("connection"):
		return h, Field, checkOptions(added.value)
	}
	return h, Framing, err
}

// withLength returns a copy with a length of the body. The same length may come twice.
func (h head) withLength(value []byte) (head, error) {
	length, err := parseLength(value)
	if err != nil || h.hasLength && h.length != length {
		return h, ErrLength
	}
	h.hasLength = true
	h.length = length
	return h, nil
}

// withCoding returns a copy with a transfer coding of the body. Only chunked may be sent without
// being asked for, once, and not with version 1.0.
func (h head) withCoding(value []byte) (head, error) {
	if h.isChunked || h.minor == 0 || !equalFold(value, "chunked") {
		return h, ErrCoding
	}
	h.isChunked = true
	return h, nil
}

// endHead decides by the head what follows (RFC 9112, section 6.3).
func (c *Checker) endHead(answersHead bool) *MalformedError {
	ended := c.head
	switch {
	case ended.isChunked && ended.hasLength:
		return newMalformed(Framing, ErrTwoFramings, nil)
	case ended.forbidsBody() && (ended.isChunked || ended.length > 0):
		return newMalformed(Framing, ErrNoBodyAllowed, nil)
	case ended.status == http.StatusResetContent && ended.length > 0:
		return newMalformed(Framing, ErrNoBodyAllowed, nil)
	}
	c.stage, c.left = ended.next(answersHead), ended.length
	return nil
}

// forbidsBody reports whether the answer has no body, and nothing that frames one.
func (h head) forbidsBody() bool {
	return h.status < http.StatusOK || h.status == http.StatusNoContent
}

// next returns what follows the head.
func (h head) next(answersHead bool) stage {
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return stageUnframed
	case h.forbidsBody(), h.status == http.StatusNotModified, answersHead:
		return stageStatusLine
	case h.isChunked:
		return stageChunkSize
	case !h.hasLength:
		return stageUnframed
	case h.length == 0:
		return stageStatusLine
	default:
		return stageBody
	}
}

func (c *Checker) checkChunkLine(text []byte) *MalformedError {
	size, err := parseChunkLine(text)
	switch {
	case err != nil:
		return newMalformed(Chunk, err, text)
	case size > 0 && c.head.status == http.StatusResetContent:
		return newMalformed(Framing, ErrNoBodyAllowed, text)
	case size == 0:
		c.stage = stageTrailers
	default:
		c.stage, c.left = stageChunkData, size
	}
	return nil
}

func (c *Checker) checkChunkEnd(text []byte) *MalformedError {
	if len(text) > 0 {
		return newMalformed(Chunk, ErrChunkEnd, nil)
	}
	c.stage = stageChunkSize
	return nil
}

// checkTrailer checks a field behind the content, or ends the answer at the empty line.
func (c *Checker) checkTrailer(text []byte) *MalformedError {
	if len(text) == 0 {
		c.stage = stageStatusLine
		return nil
	}
	parsed, err := parseField(text)
	switch {
	case err != nil:
		return newMalformed(Trailer, err, parsed.name)
	case !mayBeTrailer(parsed.name):
		return newMalformed(Trailer, ErrTrailerField, parsed.name)
	}
	return nil
}
