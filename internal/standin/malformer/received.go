package malformer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// Received is an answer as a caller has read it from its connection.
type Received struct {
	Status int
	Header http.Header
	Body   string
}

var (
	statusLinePattern = regexp.MustCompile(`^HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e]*\r\n$`)
	fieldPattern      = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+): ([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)\r\n$")
	chunkPattern      = regexp.MustCompile(`^([0-9a-f]{1,8})\r\n$`)
)

// errFraming means that an answer has no length, or two.
var errFraming = errors.New("want a length or chunks, and not both")

// Read reads the final answer to a request with a method from a caller's connection. It takes the
// bytes as they are, and accepts only what a sender may generate: nothing that a recipient is
// merely allowed to read.
func Read(reader *bufio.Reader, method string) (Received, error) {
	for {
		received, err := readHead(reader)
		if err != nil {
			return received, err
		}
		if received.Status >= http.StatusOK {
			return received.withBody(reader, method)
		}
	}
}

// readHead reads the status line and the fields.
func readHead(reader *bufio.Reader) (Received, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return Received{}, err
	}
	found := statusLinePattern.FindStringSubmatch(line)
	if found == nil {
		return Received{}, fmt.Errorf("malformed status line %q", line)
	}
	status, err := strconv.Atoi(found[1])
	if err != nil {
		return Received{}, err
	}
	header, err := readFields(reader)
	return Received{
		Status: status,
		Header: header,
	}, err
}

// readFields reads fields up to the empty line.
func readFields(reader *bufio.Reader) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return header, err
		}
		found := fieldPattern.FindStringSubmatch(line)
		if found == nil {
			return header, fmt.Errorf("malformed field line %q", line)
		}
		header.Add(found[1], found[2])
	}
}

// withBody returns a copy with the body, which follows on the connection.
func (r Received) withBody(reader *bufio.Reader, method string) (Received, error) {
	lengths, codings := r.Header["Content-Length"], r.Header["Transfer-Encoding"]
	hasNone := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	switch {
	case hasNone && len(codings) > 0, r.Status == http.StatusNoContent && len(lengths) > 0:
		return r, errFraming
	case hasNone, method == http.MethodHead:
		return r, nil
	case len(codings) == 1 && len(lengths) == 0 && codings[0] == "chunked":
		body, err := readChunks(reader)
		r.Body = body
		return r, err
	case len(codings) == 0 && len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil {
			return r, err
		}
		body := make([]byte, length)
		_, err = io.ReadFull(reader, body)
		r.Body = string(body)
		return r, err
	default:
		return r, errFraming
	}
}

// readChunks reads chunks and the fields behind them.
func readChunks(reader *bufio.Reader) (string, error) {
	var body strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return body.String(), err
		}
		found := chunkPattern.FindStringSubmatch(line)
		if found == nil {
			return body.String(), fmt.Errorf("malformed chunk size %q", line)
		}
		size, err := strconv.ParseInt(found[1], 16, 64)
		if err != nil {
			return body.String(), err
		}
		if size == 0 {
			_, err = readFields(reader)
			return body.String(), err
		}
		if _, err = io.CopyN(&body, reader, size); err != nil {
			return body.String(), err
		}
		if end, err := reader.ReadString('\n'); err != nil || end != "\r\n" {
			return body.String(), fmt.Errorf("malformed end of a chunk %q: %w", end, err)
		}
	}
}
