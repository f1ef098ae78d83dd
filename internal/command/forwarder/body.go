package forwarder

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// MaxBufferedBytes is the largest request body, in bytes, that is read completely
// before the request is sent. A larger body is streamed, and its request is not sent
// again once a byte of it has been read.
const MaxBufferedBytes = 64 << 10

// Body is the body of one request. It is either buffered or streamed.
type Body struct {
	// buffered is the whole body unless stream is set.
	buffered []byte
	stream   io.Reader
	// length is the number of bytes, or -1 if it is not known.
	length int64
	// reading holds the number of the attempt that may read stream, in steps of attemptStep,
	// and readStarted once that attempt has asked for a byte. From then on the body cannot be
	// sent again, and the number does not change.
	reading atomic.Uint64
}

const (
	readStarted = 1
	attemptStep = 2
)

// ReadBody reads a body of up to MaxBufferedBytes completely, and leaves a larger one, or
// one of unknown length, to be streamed. A length of -1 means that it is not known.
func ReadBody(source io.Reader, length int64) (*Body, *arbiter.Refusal) {
	if length == 0 {
		return &Body{}, nil
	}
	if length < 0 || length > MaxBufferedBytes {
		return &Body{
			stream: source,
			length: length,
		}, nil
	}
	buffered := make([]byte, length)
	if _, err := io.ReadFull(source, buffered); err != nil {
		return nil, arbiter.Refuse(arbiter.RequestTruncated, "the body ended early or came too slowly").WithCause(err)
	}
	return &Body{
		buffered: buffered,
		length:   length,
	}, nil
}

// Replayable reports whether the body can still be sent from its start.
func (b *Body) Replayable() bool {
	return b.reading.Load()&readStarted == 0
}

// rewind begins the next attempt, so that the earlier ones cannot read the body any more, and
// returns true. It returns false if one of them has begun to read it: the transport sends the
// head of a request first, and may go on with the body after the answer.
func (b *Body) rewind() bool {
	for {
		reading := b.reading.Load()
		if reading&readStarted != 0 {
			return false
		}
		if b.reading.CompareAndSwap(reading, reading+attemptStep) {
			return true
		}
	}
}

// startReading reports whether an attempt may read the body, and notes that it does.
func (b *Body) startReading(attempt uint64) bool {
	started := attempt | readStarted
	return b.reading.CompareAndSwap(attempt, started) || b.reading.Load() == started
}

// reader returns the body for one attempt. It is never nil or http.NoBody, and the request has
// no GetBody: so the transport cannot send the request again on its own initiative (see
// net/http.Transport).
func (b *Body) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return &streamReader{
			body:    b,
			attempt: b.reading.Load(),
		}
	case len(b.buffered) == 0:
		return emptyReader{}
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// isEmpty reports whether the body is known to have no bytes.
func (b *Body) isEmpty() bool {
	return b.stream == nil && len(b.buffered) == 0
}

// emptyReader reads a body without bytes. All attempts can share it, which http.NoBody would
// allow too, but the transport takes that for a body that can be sent again.
type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) {
	return 0, io.EOF
}

// WriteTo saves the transport a buffer of 32 KiB for each request.
func (emptyReader) WriteTo(io.Writer) (int64, error) {
	return 0, nil
}

func (emptyReader) Close() error {
	return nil
}

// streamReader reads a streamed body for one attempt.
type streamReader struct {
	body *Body
	// attempt is the number of the attempt (see Body.reading).
	attempt uint64
	closed  atomic.Bool
}

// errClosed means that a body was read after it was closed, or after the next attempt had
// begun.
var errClosed = errors.New("request body closed")

func (s *streamReader) Read(p []byte) (int, error) {
	if s.closed.Load() || !s.body.startReading(s.attempt) {
		return 0, errClosed
	}
	return s.body.stream.Read(p)
}

func (s *streamReader) Close() error {
	s.closed.Store(true)
	return nil
}
