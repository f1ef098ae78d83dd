// Package malformer writes answers byte for byte, as an upstream in trouble does. Its table goes
// through the grammar of an answer part by part (RFC 9112, sections 2 to 7; RFC 9110, sections 5,
// 6 and 15), and says of each answer whether it may reach a caller.
package malformer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// Fate says what has to become of an answer.
type Fate string

// The fates of answers.
const (
	// Passes means that the answer is well formed, or that the RFC allows a recipient to read it
	// in one way only.
	Passes Fate = "passes"
	// LibraryRefuses means that the answer is malformed, and that net/http refuses it too.
	LibraryRefuses Fate = "net/http refuses it"
	// WeRefuse means that the answer is malformed, and that net/http alone would let it pass.
	WeRefuse Fate = "we refuse it"
	// ForwarderRefuses means that the answer is well formed, and that the forwarder refuses it.
	ForwarderRefuses Fate = "the forwarder refuses it"
)

// Body is the body of the answers that pass, unless their status has none.
const Body = "one quilt of forty patches"

// LengthField is the field that frames Body, and ChunkedField the one that announces chunks.
var LengthField = "Content-Length: " + strconv.Itoa(len(Body)) + "\r\n"

const (
	ChunkedField = "Transfer-Encoding: chunked\r\n"
	// wholeChunk is Body in one chunk, and LastChunk ends the chunks.
	wholeChunk = "1a\r\n" + Body + "\r\n"
	LastChunk  = "0\r\n\r\n"
)

// Answer is an answer to one request.
type Answer struct {
	Name string
	// Interim precedes the answer.
	Interim string
	// StatusLine is the first line with its end; "HTTP/1.1 200 OK" if it is empty.
	StatusLine string
	// Fields are field lines, each with its end. If they are empty and Body is too, the answer
	// has LengthField and the body Body.
	Fields string
	// Body is what follows the head.
	Body string
	// Content replaces the constant Body where Body has it whole, if it is not empty. It has the
	// same length.
	Content string
	Fate    Fate
	// Why is the reason of the fate where the grammar alone does not tell it.
	Why string
	// Status is the status with which an answer passes, if it is not 200.
	Status int
	// PassedBody is the body with which an answer passes, if it is not Body; "-" means none.
	PassedBody string
	// HasMoreBehind reports that other bytes follow the answer.
	HasMoreBehind bool
	// BehindHead reports that the head is well formed, so that a part of the answer may reach
	// the caller before the fault is read.
	BehindHead bool
}

// Bytes returns the bytes of the answer. Own holds the field lines, each with its end, that the
// protocol asks of the upstream.
func (a Answer) Bytes(own string) string {
	statusLine := a.StatusLine
	if statusLine == "" {
		statusLine = "HTTP/1.1 200 OK\r\n"
	}
	fields, body := a.Fields, a.Body
	if fields == "" && body == "" {
		fields, body = LengthField, Body
	}
	if a.Content != "" {
		body = strings.ReplaceAll(body, Body, a.Content)
	}
	return a.Interim + statusLine + fields + own + "\r\n" + body
}

// WithContent returns a copy with other content of at most the length of Body, padded with blanks.
func (a Answer) WithContent(content string) Answer {
	a.Content = fmt.Sprintf("%-*s", len(Body), content)
	return a
}

// WantStatus returns the status with which the answer passes.
func (a Answer) WantStatus() int {
	if a.Status == 0 {
		return http.StatusOK
	}
	return a.Status
}

// WantBody returns the body with which the answer passes.
func (a Answer) WantBody() string {
	switch a.PassedBody {
	case "":
		return Body
	case NoBody:
		return ""
	default:
		return a.PassedBody
	}
}

// NoBody stands for an empty body in Answer.PassedBody.
const NoBody = "-"

// Refused returns the malformed answers of the table.
func Refused() []Answer {
	return slices.DeleteFunc(Answers(), func(answer Answer) bool {
		return answer.Fate != LibraryRefuses && answer.Fate != WeRefuse
	})
}

// RefusedWith returns the malformed answers of the table, and behind them those that have no status
// line of their own again with each of the status lines.
func RefusedWith(statusLines ...string) []Answer {
	refused := Refused()
	all := refused
	for _, line := range statusLines {
		for _, answer := range refused {
			if answer.StatusLine == "" {
				answer.Name += ", " + line
				all = append(all, answer.WithStatusLine(line))
			}
		}
	}
	return all
}

// Start starts a server until the test ends that gives one answer on each connection, which it
// then closes, and returns its address.
func Start(t testing.TB, answer Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				answerOnce := func(*http.Request) (string, bool) { return answer.Bytes(""), false }
				Serve(bufio.NewReader(conn), conn, answerOnce)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

// Serve answers requests with the bytes that answer returns, until one cannot be read or answered,
// or answer returns false.
func Serve(requests *bufio.Reader, answers io.Writer, answer func(request *http.Request) (text string, more bool)) {
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text, more := answer(request)
		if _, err = io.WriteString(answers, text); err != nil || !more {
			return
		}
	}
}
