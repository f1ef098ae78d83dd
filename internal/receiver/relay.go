package receiver

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/hemlockport/hemlockport/internal/command/forwarder"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// relayBufferBytes is the size of the buffer for copying an answer's body. It also
// bounds the answers that are read completely before they are passed on.
const relayBufferBytes = 32 << 10

var relayBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, relayBufferBytes)
		return &buffer
	},
}

// bodyPart is a part of an answer's body in a pooled buffer. The zero value has no buffer.
type bodyPart struct {
	buffer *[]byte
	// count is the number of bytes of the part, and err the error of the read that got it.
	count int
	err   error
}

// newBodyPart returns an empty part. It must be released.
func newBodyPart() bodyPart {
	return bodyPart{
		buffer: relayBuffers.Get().(*[]byte),
	}
}

// isRead reports whether the part holds what was read.
func (p bodyPart) isRead() bool {
	return p.count > 0 || p.err != nil
}

// isFull reports whether the buffer has no more room.
func (p bodyPart) isFull() bool {
	return p.count == len(*p.buffer)
}

// extend reads more of a body into the part, which must not be full.
func (p *bodyPart) extend(body io.Reader) {
	var count int
	count, p.err = body.Read((*p.buffer)[p.count:])
	p.count += count
}

// next replaces the part by the next one of a body.
func (p *bodyPart) next(body io.Reader) {
	p.count = 0
	p.extend(body)
}

// bytes returns the bytes of the part.
func (p bodyPart) bytes() []byte {
	return (*p.buffer)[:p.count]
}

// release returns the buffer to its pool.
func (p bodyPart) release() {
	if p.buffer != nil {
		relayBuffers.Put(p.buffer)
	}
}

// errAnswerBroken is the error of a request whose answer cannot be completed after its
// header was written, because the upstream or the caller has failed.
var errAnswerBroken = arbiter.Fail(arbiter.AnswerBroken, "the answer broke off after it had begun")

// relay passes an upstream's answer on to the caller. A small answer is read completely
// first, so that the caller gets a refusal if it is truncated. If a larger answer is
// truncated, relay returns a refusal with the reason AnswerBroken. Upon that ServeHTTP writes
// the refusal if nothing of the answer has been sent to the caller, and otherwise aborts the
// caller's connection, so that a truncated answer never looks complete.
func relay(w http.ResponseWriter, answer heldAnswer) *arbiter.Refusal {
	response, part := answer.Response, answer.ahead
	if part.buffer == nil {
		part = newBodyPart()
		defer part.release()
	}
	if length := response.ContentLength; length >= 0 && length <= relayBufferBytes {
		return relaySmall(w, response, *part.buffer)
	}
	writeHeader(w, response)
	if err := copyBody(w, response, part); err != nil {
		return errAnswerBroken.WithCause(err)
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

// relaySmall reads a small answer completely into the buffer before it writes anything to
// the caller.
func relaySmall(w http.ResponseWriter, response *http.Response, buffer []byte) *arbiter.Refusal {
	count, err := io.ReadFull(response.Body, buffer[:bodyLength(response)])
	if err != nil {
		return smallAnswerRefusal(response, err)
	}
	writeHeader(w, response)
	if _, err = w.Write(buffer[:count]); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errAnswerBroken.WithCause(err)
	}
	return nil
}

// bodyLength returns the number of bytes in the body of an answer of known length.
// An answer to HEAD declares a length and has no body.
func bodyLength(response *http.Response) int64 {
	if response.Request.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// smallAnswerRefusal returns the refusal for a small answer that could not be read
// completely.
func smallAnswerRefusal(response *http.Response, err error) *arbiter.Refusal {
	if ctx := response.Request.Context(); ctx.Err() != nil {
		return forwarder.InterruptedRefusal(ctx).WithCause(err)
	}
	return arbiter.Fail(arbiter.UpstreamBroken, "the upstream's answer broke off").WithCause(err)
}

func writeHeader(w http.ResponseWriter, response *http.Response) {
	maps.Copy(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// copyBody copies the answer's body to the caller, of which the part has been read if it is not
// empty. If the length is unknown, it flushes after each read, so that a streamed answer reaches
// the caller without delay.
func copyBody(w http.ResponseWriter, response *http.Response, part bodyPart) error {
	streaming := response.ContentLength < 0
	connection := http.NewResponseController(w)
	if !part.isRead() {
		part.next(response.Body)
	}
	for {
		if part.count > 0 {
			if _, err := w.Write(part.bytes()); err != nil {
				return err
			}
		}
		if part.err == io.EOF {
			return nil
		}
		if part.err != nil {
			return part.err
		}
		if streaming && part.count > 0 {
			if err := connection.Flush(); err != nil {
				return err
			}
		}
		part.next(response.Body)
	}
}
