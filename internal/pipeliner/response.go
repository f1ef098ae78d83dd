package pipeliner

import (
	"bufio"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// writeBody writes a part of the response's body.
func (e *exchange) writeBody(p []byte) (int, error) {
	var count int
	var err error
	if e.chunkWriter != nil {
		count, err = e.chunkWriter.Write(p)
	} else {
		count, err = e.conn.writer.Write(p)
	}
	if err != nil {
		e.broken = true
	}
	return count, err
}

// writeResponse waits for the handler to return, writes the response as far as the
// handler hasn't, and reports whether the connection stays open.
func (e *exchange) writeResponse() bool {
	timeout := time.Duration(e.conn.server.limits.Load().WriteMillis) * time.Millisecond
	e.conn.setCurrent(e, time.Now().Add(timeout))
	close(e.turn)
	<-e.handlerDone
	if e.broken {
		return false
	}
	if !e.streaming {
		e.completeHeader()
		if e.writeHead() != nil {
			return false
		}
		if _, err := e.writeBody(e.buffered.Bytes()); err != nil {
			return false
		}
	}
	if e.writeEnd() != nil {
		return false
	}
	if e.closesConn {
		e.conn.cutShort.Store(false)
	}
	return !e.closesConn
}

// discard waits for the handler and drops its response, because an earlier response has
// closed the connection.
func (e *exchange) discard() {
	e.conn.openExchanges.Add(-1)
	close(e.turn)
	<-e.handlerDone
	e.releaseHeld()
	e.release()
	close(e.written)
}

// completeHeader sets the status, if none is set, and the length of a response that is
// buffered completely.
func (e *exchange) completeHeader() {
	if !e.statusSet {
		// An exchange from refuse has a status, although no handler has set it.
		e.status = max(e.status, http.StatusOK)
		e.statusSet = true
	}
	if e.hasBody() && e.header.Get("Content-Length") == "" && !e.hasTrailer() {
		e.header.Set("Content-Length", strconv.Itoa(e.buffered.Len()))
	}
}

// writeHead writes the status line and the header.
func (e *exchange) writeHead() error {
	if e.body != nil {
		e.body.endContinue()
	}
	// While the server is draining, a response closes the connection if no other
	// exchange is open: every request that has started gets its response.
	if e.conn.server.closeAnnounced.Load() && e.conn.forbidNewIfLast() {
		e.closesConn = true
	}
	if e.header.Get("Connection") == "close" {
		e.closesConn = true
	}
	chunked := e.hasBody() && e.header.Get("Content-Length") == ""
	if chunked && !e.request.ProtoAtLeast(1, 1) {
		chunked = false
		e.closesConn = true
		e.conn.cutShort.Store(true)
	}
	if chunked {
		e.header.Set("Transfer-Encoding", "chunked")
		e.chunkWriter = httputil.NewChunkedWriter(e.conn.writer)
	}
	if e.closesConn {
		e.header.Set("Connection", "close")
	}
	if e.status == http.StatusNoContent {
		// RFC 9110, section 8.6, forbids a length, even of 0.
		e.header.Del("Content-Length")
	}
	return writeHead(e.conn.writer, e.status, e.header, e.trailers())
}

// writeHead writes a status line and a header without some of its fields.
func writeHead(w *bufio.Writer, status int, header http.Header, except map[string]bool) error {
	line := strconv.Itoa(status) + " " + http.StatusText(status)
	if _, err := w.WriteString("HTTP/1.1 " + line + "\r\n"); err != nil {
		return err
	}
	if err := header.WriteSubset(w, except); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeEnd ends the body and flushes the connection's writer.
func (e *exchange) writeEnd() error {
	if e.chunkWriter != nil {
		if err := e.endChunks(); err != nil {
			return err
		}
	}
	return e.conn.writer.Flush()
}

// endChunks writes the last chunk and the trailer.
func (e *exchange) endChunks() error {
	if err := e.chunkWriter.Close(); err != nil {
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

// trailers returns the names of the header fields that are sent as trailers, or nil.
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

// hasBody reports whether the response may have a body (RFC 9110, section 6.4.1).
func (e *exchange) hasBody() bool {
	if e.request != nil && e.request.Method == http.MethodHead {
		return false
	}
	return e.status >= http.StatusOK && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}
