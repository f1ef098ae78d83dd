package receiver

import (
	"io"
	"maps"
	"net/http"
	"sync"
)

// relayBytes is the size of the buffer that an answer passes through, in bytes.
const relayBytes = 32 << 10

var relayBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, relayBytes)
		return &buffer
	},
}

// relay passes an upstream's answer on to the caller. If the answer breaks off,
// so does the caller's connection: an answer cut short never looks whole.
func relay(w http.ResponseWriter, response *http.Response) {
	maps.Copy(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		// The server's way to break one connection or stream.
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// copyBody passes the body on, and each part of it at once if its length is not
// known beforehand.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	streaming := response.ContentLength < 0
	connection := http.NewResponseController(w)
	for {
		count, readErr := response.Body.Read(*buffer)
		if count > 0 {
			if _, err := w.Write((*buffer)[:count]); err != nil {
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
