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
	// readStarted is set when a byte of stream has been asked for. From then on the body
	// cannot be sent again.
	readStarted atomic.Bool
}

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
	return !b.readStarted.Load()
}

// reader returns the body for one attempt. It is never nil or http.NoBody for a request
// that is not idempotent: the transport resends a request without a body on its own
// initiative if it carries an Idempotency-Key.
func (b *Body) reader(idempotent bool) io.ReadCloser {
	switch {
	case b.stream != nil:
		return &streamReader{
			body: b,
		}
	case len(b.buffered) == 0 && idempotent:
		return nil
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// streamReader reads a streamed body for one attempt.
type streamReader struct {
	body   *Body
	closed atomic.Bool
}

// errClosed means that a body was read after it was closed.
var errClosed = errors.New("request body closed")

func (s *streamReader) Read(p []byte) (int, error) {
	if s.closed.Load() {
		return 0, errClosed
	}
	s.body.readStarted.Store(true)
	return s.body.stream.Read(p)
}

func (s *streamReader) Close() error {
	s.closed.Store(true)
	return nil
}
