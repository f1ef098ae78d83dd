package responder

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
	"github.com/hemlockport/hemlockport/pkg/handler"
)

const (
	// maxChangeBytes bounds the encoded size of a command, in bytes.
	maxChangeBytes = 16 << 20
	// changeFactor is how often the bytes of a command are held: as they arrived and as decoded.
	changeFactor = 3
	// changeTimeout bounds the time to receive a command.
	changeTimeout = time.Minute
)

// errNoRoom is the error of a command that finds no room beside others, or that is too large for the
// memory of the machine.
var errNoRoom = errors.New("commands hold too many bytes; send a smaller one, or send it again later")

// commandHandler decodes the JSON body of a request and executes it as a command. What the body holds
// is taken from the budget before it is read; onRefused is called if it does not fit.
func commandHandler[C, R any](handle handler.Command[C, R], budget *bounder.Budget, onRefused func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		cost := commandCost(request.ContentLength)
		if !budget.TakeAny(cost) {
			onRefused()
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusServiceUnavailable, errNoRoom)
			return
		}
		defer budget.Return(cost)
		// Responses of tests have no deadline.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(changeTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxChangeBytes))
		if err != nil {
			writeError(w, statusOfBody(err), err)
			return
		}
		decoded, err := encoder.JSON[C]{}.Decode(body)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		result, err := handle.Do(request.Context(), decoded)
		writeResult(w, result, err)
	})
}

// statusOfBody returns the status of a command whose body could not be read.
func statusOfBody(err error) int {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return http.StatusRequestTimeout
	}
	return http.StatusRequestEntityTooLarge
}

// commandCost returns what a command holds whose body has a length, in bytes; -1 is one of unknown
// length.
func commandCost(length int64) int64 {
	if length < 0 || length > maxChangeBytes {
		length = maxChangeBytes
	}
	return length * changeFactor
}
