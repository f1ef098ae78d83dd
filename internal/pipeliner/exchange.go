package pipeliner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// maxBufferedBytes is how much of a response's body is buffered until its turn. The
// handler of a longer response waits in Write.
const maxBufferedBytes = 64 << 10

// exchange is one request and its response. It is the handler's http.ResponseWriter.
//
// The response is buffered until the handler returns and written by the connection's
// writer goroutine. If it is flushed or exceeds maxBufferedBytes, it is buffered only
// until its turn; from then on the handler writes to the connection, unless requests behind
// it have started (see mayStream). Either way just one goroutine writes to the connection at
// a time.
type exchange struct {
	conn    *conn
	request *http.Request
	// safe reports that the request is regarded as one that changes nothing: its method is
	// GET or HEAD, it has no body, and WithUnsafe does not except it.
	safe bool
	// closesConn reports that the connection closes after the response.
	closesConn bool
	// statusSet reports that the status can't change any more.
	statusSet bool

	// arrivedAt is when the request began to arrive.
	arrivedAt time.Time

	header http.Header
	// status is the response's HTTP status; 0 until it is set.
	status int
	// buffered is the response's body until it is written to the connection.
	buffered bytes.Buffer
	// streaming reports that the handler writes to the connection.
	streaming bool
	// marked reports that the connection's count of open exchanges has the streamingMark of
	// this one.
	marked bool
	// reservedBytes is what buffered has reserved of the server's held bytes.
	reservedBytes int64
	// chunkWriter, if not nil, encodes the body as chunks.
	chunkWriter io.WriteCloser
	// broken reports that the response can't be completed, because its handler panicked, a
	// write failed, or the connection ended before its turn. The connection is then closed
	// without the end of the response, so that the caller doesn't take it for complete.
	broken bool
	// held is what the exchange has taken from the server's budget, in bytes. Only the
	// handler changes it until it has returned.
	held int64

	body *watchedBody
	// bodyDone is closed when the request's body is no longer read: it was read to its
	// end, a read failed or the handler has returned.
	bodyDone chan struct{}
	// turn is closed when all responses before this one have been written.
	turn chan struct{}
	// handlerDone is closed when the handler has returned, or if there is none.
	handlerDone chan struct{}
	// written is closed when the response has been written or discarded.
	written chan struct{}
}

// newExchange returns an exchange. The request is nil for an error response to a request
// that can't be read.
func newExchange(c *conn, request *http.Request) *exchange {
	next := &exchange{
		conn:        c,
		header:      http.Header{},
		bodyDone:    make(chan struct{}),
		turn:        make(chan struct{}),
		handlerDone: make(chan struct{}),
		written:     make(chan struct{}),
	}
	if request == nil {
		close(next.bodyDone)
		return next
	}
	next.safe = (request.Method == http.MethodGet || request.Method == http.MethodHead) && !c.server.isUnsafe(request)
	next.closesConn = request.Close
	next.body = &watchedBody{
		exchange:        next,
		source:          request.Body,
		expectsContinue: request.Header.Get("Expect") == "100-continue",
	}
	if request.Body == http.NoBody {
		next.body.markDone()
	} else {
		next.safe = false
		request.Body = next.body
	}
	next.request = request
	return next
}

// run calls the handler and marks it as done.
func (e *exchange) run() {
	ctx, cancel := context.WithCancel(e.conn.ctx)
	defer cancel()
	defer e.markHandlerDone()
	defer e.endBody()
	defer func() {
		if reason := recover(); reason != nil {
			e.broken = true
			e.conn.server.reportPanic(reason)
		}
	}()
	e.conn.server.handler.ServeHTTP(e, e.request.WithContext(ctx))
}

// endBody ends the reading of the body when the handler has returned or panicked. It may have
// left a goroutine that is still in a read.
func (e *exchange) endBody() {
	if !e.body.isFullyRead() {
		// The next request can't be read, as the rest of the body precedes it.
		e.closesConn = true
		e.conn.readerInUse.Store(true)
	}
	e.body.markDone()
}

// markHandlerDone reports that the handler has returned, or that there is none because
// the request can't be read.
func (e *exchange) markHandlerDone() {
	close(e.handlerDone)
}

// ArrivedAt returns when the request began to arrive, which may be long before its handler is
// called: its head may arrive slowly, or the request wait for its turn on the connection.
func (e *exchange) ArrivedAt() time.Time {
	return e.arrivedAt
}

// Header returns the header of the response.
func (e *exchange) Header() http.Header {
	return e.header
}

// WriteHeader sets the status of the response. Only the first call has an effect.
func (e *exchange) WriteHeader(status int) {
	if e.statusSet {
		return
	}
	e.statusSet = true
	e.status = status
}

// Write buffers a part of the response's body. Once the buffer would exceed
// maxBufferedBytes, it waits for the response's turn and writes to the connection, if the
// response may stream.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !e.hasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if !e.streaming {
		if e.buffered.Len()+len(p) <= maxBufferedBytes && e.take(int64(len(p))) {
			return e.buffered.Write(p)
		}
		if err := e.startStreaming(len(p)); err != nil {
			return 0, err
		}
		if !e.streaming {
			return e.buffered.Write(p)
		}
	}
	return e.writeBody(p)
}

// FlushError waits for the response's turn and sends the buffered part of it, if the response
// may stream.
func (e *exchange) FlushError() error {
	e.WriteHeader(http.StatusOK)
	if !e.streaming {
		if err := e.startStreaming(0); err != nil {
			return err
		}
		if !e.streaming {
			return nil
		}
	}
	return e.conn.writer.Flush()
}

// Reset drops what has been written of the response, so that another one can take its place.
// It returns false if a part of the response has left the buffer.
func (e *exchange) Reset() bool {
	if e.streaming {
		return false
	}
	// The connection's context may have ended before the response's turn.
	e.broken = false
	clear(e.header)
	e.status = 0
	e.statusSet = false
	e.buffered.Reset()
	return true
}

// SetReadDeadline sets the deadline for reading the request's body. Once the body has
// been read, it has no effect.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	select {
	case <-e.bodyDone:
		return nil
	default:
		e.conn.source.setDeadline(deadline)
		return nil
	}
}

// SetWriteDeadline sets the deadline for writing the response. It has an effect only
// during the response's turn.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	return e.conn.setWriteDeadline(e, deadline)
}

// startStreaming waits for the response's turn and writes the buffered part of it, if it may
// stream. Later parts go directly to the connection's writer then. Otherwise the given number
// of bytes may be buffered in addition.
func (e *exchange) startStreaming(more int) error {
	select {
	case <-e.turn:
	case <-e.conn.ctx.Done():
	}
	// The turn of a response that is discarded comes after ctx has ended. Written then, it
	// could pass for the rest of the response before it.
	if err := e.conn.ctx.Err(); err != nil {
		e.broken = true
		return err
	}
	if !e.mayStream(more) {
		return nil
	}
	e.streaming = true
	if !e.takeForAnswer(bounder.StreamBytes) {
		e.broken = true
		e.conn.server.onEvent(BrokenOff)
		return errNoRoom
	}
	if err := e.writeHead(); err != nil {
		return err
	}
	buffered := e.buffered.Bytes()
	if len(buffered) == 0 {
		return nil
	}
	_, err := e.writeBody(buffered)
	return err
}

// watchedBody is a request's body. It closes the exchange's bodyDone when the body is no
// longer read.
type watchedBody struct {
	exchange *exchange
	source   io.ReadCloser
	// expectsContinue reports that the caller waits for 100 Continue before it sends the body.
	// Only then is continueMu used.
	expectsContinue bool
	// continueMu guards continueEnded, and the connection's writer while 100 Continue is
	// written.
	continueMu sync.Mutex
	// continueEnded reports that 100 Continue has been sent or must not be sent any more.
	continueEnded bool
	doneOnce      sync.Once
	// atEOF reports that the body was read to its end.
	atEOF atomic.Bool
}

var errBodyClosed = errors.New("request body is no longer readable: the handler returned or a read failed")

// Read reads a part of the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	select {
	case <-b.exchange.bodyDone:
		if b.atEOF.Load() {
			return 0, io.EOF
		}
		return 0, errBodyClosed
	default:
	}
	if err := b.sendContinue(); err != nil {
		return 0, err
	}
	count, err := b.source.Read(p)
	if err == io.EOF {
		b.atEOF.Store(true)
	}
	if err != nil {
		b.markDone()
	}
	return count, err
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends the body
// (RFC 9110, section 10.1.1), unless the final response has begun or the body is no longer read.
func (b *watchedBody) sendContinue() error {
	if !b.expectsContinue {
		return nil
	}
	<-b.exchange.turn
	b.continueMu.Lock()
	defer b.continueMu.Unlock()
	if b.continueEnded {
		return nil
	}
	b.continueEnded = true
	writer := b.exchange.conn.writer
	if _, err := writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return writer.Flush()
}

// Close does nothing; the rest of the body stays unread.
func (b *watchedBody) Close() error {
	return nil
}

// endContinue says that 100 Continue must not be sent any more. A goroutine that the handler has
// left may read the body while the response is written, or after the connection has closed.
func (b *watchedBody) endContinue() {
	if !b.expectsContinue {
		return
	}
	b.continueMu.Lock()
	defer b.continueMu.Unlock()
	b.continueEnded = true
}

// markDone ends the reading of the body: later reads return io.EOF or an error, and
// readRequests continues.
func (b *watchedBody) markDone() {
	b.doneOnce.Do(func() {
		b.endContinue()
		close(b.exchange.bodyDone)
	})
}

// isFullyRead reports whether the body is empty or was read to its end.
func (b *watchedBody) isFullyRead() bool {
	return b.source == http.NoBody || b.atEOF.Load()
}
