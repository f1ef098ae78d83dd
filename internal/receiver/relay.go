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

// relayBytes is the size of the buffer that an answer passes through, in bytes.
const relayBytes = 32 << 10

var relayBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, relayBytes)
		return &buffer
	},
}

// errBroken ends a request whose answer has begun and cannot be finished.
var errBroken = arbiter.Doubt(arbiter.AnswerBroken, "the answer broke off after it had begun")

// relay passes an upstream's answer on to the caller. A short answer is read
// whole first, so that one that breaks off is told as such. If a longer one breaks
// off, so does the caller's connection: an answer cut short never looks whole.
func relay(w http.ResponseWriter, response *http.Response) *arbiter.Refusal {
	buffer := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	if length := response.ContentLength; length >= 0 && length <= relayBytes {
		return relayShort(w, response, *buffer)
	}
	begin(w, response)
	if err := copyBody(w, response, *buffer); err != nil {
		return errBroken.WithCause(err)
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

func relayShort(w http.ResponseWriter, response *http.Response, buffer []byte) *arbiter.Refusal {
	count, err := io.ReadFull(response.Body, buffer[:bodyLength(response)])
	if err != nil {
		return cutShort(response, err)
	}
	begin(w, response)
	if _, err = w.Write(buffer[:count]); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errBroken.WithCause(err)
	}
	return nil
}

// bodyLength is how many bytes of body follow; an answer to HEAD has a length and
// no body.
func bodyLength(response *http.Response) int64 {
	if response.Request.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// cutShort tells why a short answer did not come whole.
func cutShort(response *http.Response, err error) *arbiter.Refusal {
	if ctx := response.Request.Context(); ctx.Err() != nil {
		return forwarder.Interrupted(ctx).WithCause(err)
	}
	return arbiter.Doubt(arbiter.UpstreamBroken, "the upstream's answer broke off").WithCause(err)
}

func begin(w http.ResponseWriter, response *http.Response) {
	maps.Copy(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// copyBody passes the body on, and each part of it at once if its length is not
// known beforehand.
func copyBody(w http.ResponseWriter, response *http.Response, buffer []byte) error {
	streaming := response.ContentLength < 0
	connection := http.NewResponseController(w)
	for {
		count, readErr := response.Body.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if streaming && count > 0 {
			if err := connection.Flush(); err != nil {
				return err
			}
		}
	}
}
