package pipeliner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heldBytes is how much of an answer is held until its turn, in bytes. The handler
// of a longer one waits.
const heldBytes = 64 << 10

// exchange is one request and its answer. It is the handler's http.ResponseWriter.
//
// The answer is held until finish or, if it is long, until its turn; from then on
// the handler writes to the connection. So only one goroutine writes at a time.
type exchange struct {
	conn    *conn
	request *http.Request
	// safe says that the request changes nothing, by its method.
	safe bool
	// ends says that the connection ends after the answer.
	ends bool

	header http.Header
	status int
	// began says that the status is fixed.
	began bool
	// held is the body as long as it is held.
	held bytes.Buffer
	// streaming says that the handler writes to the connection, and chunks, if not
	// nil, frames what it writes.
	streaming bool
	chunks    io.WriteCloser
	// broken says that the answer cannot be finished.
	broken bool

	body *watchedBody
	// bodyRead is closed when the body has been read or given up.
	bodyRead chan struct{}
	// turn is closed when all answers before are written, done when the handler has
	// ended, and written when the answer has been written.
	turn    chan struct{}
	done    chan struct{}
	written chan struct{}
}

func newExchange(c *conn, request *http.Request) *exchange {
	next := &exchange{
		conn:     c,
		header:   http.Header{},
		bodyRead: make(chan struct{}),
		turn:     make(chan struct{}),
		done:     make(chan struct{}),
		written:  make(chan struct{}),
	}
	if request == nil {
		close(next.bodyRead)
		return next
	}
	next.safe = request.Method == http.MethodGet || request.Method == http.MethodHead
	next.ends = request.Close
	next.body = &watchedBody{
		exchange: next,
		source:   request.Body,
	}
	if request.Body == http.NoBody {
		next.body.end()
	} else {
		next.safe = false
		request.Body = next.body
	}
	next.request = request
	return next
}

// run calls the handler.
func (e *exchange) run() {
	ctx, cancel := context.WithCancel(e.conn.ctx)
	defer cancel()
	defer e.finish()
	defer e.body.end()
	defer func() {
		if failed := recover(); failed != nil {
			e.broken = true
			e.conn.server.report(failed)
		}
	}()
	e.conn.server.handler.ServeHTTP(e, e.request.WithContext(ctx))
	if !e.body.wholly() {
		// What is left of the body stands where the next request is looked for.
		e.ends = true
		e.conn.tainted.Store(true)
	}
}

func (e *exchange) finish() {
	close(e.done)
}

// Header returns the header of the answer.
func (e *exchange) Header() http.Header {
	return e.header
}

// WriteHeader fixes the status.
func (e *exchange) WriteHeader(status int) {
	if e.began {
		return
	}
	e.began = true
	e.status = status
}

// Write holds a part of the body, or writes it if it is the answer's turn.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !e.hasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if !e.streaming {
		if e.held.Len()+len(p) <= heldBytes {
			return e.held.Write(p)
		}
		if err := e.stream(); err != nil {
			return 0, err
		}
	}
	return e.pass(p)
}

// FlushError sends what is held.
func (e *exchange) FlushError() error {
	e.WriteHeader(http.StatusOK)
	if !e.streaming {
		if err := e.stream(); err != nil {
			return err
		}
	}
	return e.conn.writer.Flush()
}

// SetReadDeadline bounds the reading of the request's body. Once that has been
// read, it has no effect.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	select {
	case <-e.bodyRead:
		return nil
	default:
		return e.conn.net.SetReadDeadline(deadline)
	}
}

// SetWriteDeadline bounds the writing of the answer while it is its turn.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	return e.conn.setWriteDeadline(e, deadline)
}

// stream waits for the answer's turn and writes what is held. Later parts are
// written as they come.
func (e *exchange) stream() error {
	select {
	case <-e.turn:
	case <-e.conn.ctx.Done():
		e.broken = true
		return e.conn.ctx.Err()
	}
	e.streaming = true
	if err := e.begin(); err != nil {
		return err
	}
	held := e.held.Bytes()
	if len(held) == 0 {
		return nil
	}
	_, err := e.pass(held)
	return err
}

// pass writes a part of the body.
func (e *exchange) pass(p []byte) (int, error) {
	var count int
	var err error
	if e.chunks != nil {
		count, err = e.chunks.Write(p)
	} else {
		count, err = e.conn.writer.Write(p)
	}
	if err != nil {
		e.broken = true
	}
	return count, err
}

// write writes the answer, or waits for its handler to have done so, and says
// whether the connection lives on.
func (e *exchange) write() bool {
	limit := time.Duration(e.conn.server.limits.WriteMillis) * time.Millisecond
	e.conn.takeTurn(e, time.Now().Add(limit))
	close(e.turn)
	<-e.done
	if e.broken {
		return false
	}
	if !e.streaming {
		e.frameHeld()
		if e.begin() != nil {
			return false
		}
		if _, err := e.conn.writer.Write(e.held.Bytes()); err != nil {
			return false
		}
	}
	if e.end() != nil {
		return false
	}
	return !e.ends
}

// skip gives up an answer behind one that has ended the connection.
func (e *exchange) skip() {
	e.conn.open.Add(-1)
	close(e.turn)
	<-e.done
	close(e.written)
}

// frameHeld gives an answer that is held whole its length.
func (e *exchange) frameHeld() {
	if !e.began {
		e.status = max(e.status, http.StatusOK)
		e.began = true
	}
	if e.hasBody() && e.header.Get("Content-Length") == "" && !e.hasTrailer() {
		e.header.Set("Content-Length", strconv.Itoa(e.held.Len()))
	}
}

// begin writes the status and the header.
func (e *exchange) begin() error {
	// The last answer before a caller is to go says so, but none with another behind
	// it: what was begun is answered.
	if e.conn.server.leaving.Load() && e.conn.closeIfLast() {
		e.ends = true
	}
	if e.header.Get("Connection") == "close" {
		e.ends = true
	}
	chunked := e.hasBody() && e.header.Get("Content-Length") == ""
	if chunked && !e.request.ProtoAtLeast(1, 1) {
		chunked = false
		e.ends = true
	}
	if chunked {
		e.header.Set("Transfer-Encoding", "chunked")
		e.chunks = httputil.NewChunkedWriter(e.conn.writer)
	}
	if e.ends {
		e.header.Set("Connection", "close")
	}
	w := e.conn.writer
	status := strconv.Itoa(e.status) + " " + http.StatusText(e.status)
	if _, err := w.WriteString("HTTP/1.1 " + status + "\r\n"); err != nil {
		return err
	}
	if err := e.header.WriteSubset(w, e.trailers()); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// end finishes the body and sends all that is left.
func (e *exchange) end() error {
	if e.chunks != nil {
		if err := e.endChunks(); err != nil {
			return err
		}
	}
	return e.conn.writer.Flush()
}

func (e *exchange) endChunks() error {
	if err := e.chunks.Close(); err != nil {
		return err
	}
	trailer := http.Header{}
	for name := range e.trailers() {
		trailer[strings.TrimPrefix(name, http.TrailerPrefix)] = e.header[name]
	}
	if err := trailer.Write(e.conn.writer); err != nil {
		return err
	}
	_, err := e.conn.writer.WriteString("\r\n")
	return err
}

// trailers returns the names of the headers that follow the body.
func (e *exchange) trailers() map[string]bool {
	var names map[string]bool
	for name := range e.header {
		if !strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		if names == nil {
			names = map[string]bool{}
		}
		names[name] = true
	}
	return names
}

func (e *exchange) hasTrailer() bool {
	return len(e.trailers()) > 0
}

// hasBody says whether the answer may have a body (RFC 9110, section 6.4.1).
func (e *exchange) hasBody() bool {
	if e.request != nil && e.request.Method == http.MethodHead {
		return false
	}
	return e.status >= http.StatusOK && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

// watchedBody tells when a request's body has been read.
type watchedBody struct {
	exchange *exchange
	source   io.ReadCloser
	// asked says that the caller has been told to send the body.
	asked bool
	once  sync.Once
	// whole says that the body was read to its end.
	whole atomic.Bool
}

var errBodyClosed = errors.New("request body closed")

// Read reads a part of the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	select {
	case <-b.exchange.bodyRead:
		if b.whole.Load() {
			return 0, io.EOF
		}
		return 0, errBodyClosed
	default:
	}
	if err := b.ask(); err != nil {
		return 0, err
	}
	count, err := b.source.Read(p)
	if err == io.EOF {
		b.whole.Store(true)
	}
	if err != nil {
		b.end()
	}
	return count, err
}

// ask tells a caller that waits for it to send the body (RFC 9110, section 10.1.1).
func (b *watchedBody) ask() error {
	if b.asked || b.exchange.request.Header.Get("Expect") != "100-continue" {
		return nil
	}
	b.asked = true
	<-b.exchange.turn
	writer := b.exchange.conn.writer
	if _, err := writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return writer.Flush()
}

// Close leaves the rest of the body unread.
func (b *watchedBody) Close() error {
	return nil
}

// end says that nothing more is read.
func (b *watchedBody) end() {
	b.once.Do(func() { close(b.exchange.bodyRead) })
}

// wholly says whether the body was read to its end.
func (b *watchedBody) wholly() bool {
	return b.source == http.NoBody || b.whole.Load()
}
