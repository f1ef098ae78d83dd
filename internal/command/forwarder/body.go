package forwarder

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// MaxBufferedBytes is the largest request body, in bytes, that is read whole
// before a request is sent. A larger one is passed on as it comes, and the
// request is not sent again once a byte of it has been read.
const MaxBufferedBytes = 64 << 10

// Body is the body of one request.
type Body struct {
	// buffered is the whole body unless stream is set.
	buffered []byte
	stream   io.Reader
	length   int64
	// touched says that a byte of stream has been asked for.
	touched atomic.Bool
}

// ReadBody reads a short body whole, and leaves a long one to be streamed. A
// length of -1 means that it is not known.
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

// Replayable says whether the body can still be sent from its start.
func (b *Body) Replayable() bool {
	return !b.touched.Load()
}

// reader returns the body for one sending. It is never http.NoBody for a request
// that is not idempotent: the transport takes a request without body for one that
// it may send again by itself if it carries an Idempotency-Key.
func (b *Body) reader(idempotent bool) io.ReadCloser {
	switch {
	case b.stream != nil:
		return &streamed{
			body: b,
		}
	case len(b.buffered) == 0 && idempotent:
		return nil
	default:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
}

// streamed reads a body that is passed on as it comes.
type streamed struct {
	body   *Body
	closed atomic.Bool
}

var errClosed = errors.New("request body closed")

func (s *streamed) Read(p []byte) (int, error) {
	if s.closed.Load() {
		return 0, errClosed
	}
	s.body.touched.Store(true)
	return s.body.stream.Read(p)
}

func (s *streamed) Close() error {
	s.closed.Store(true)
	return nil
}
