package linker

import (
	"context"
	"errors"
	"io"

	"github.com/coder/websocket"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

const (
	// frameBytes is what a received frame holds beside its bytes, with the goroutine that handles
	// it, in bytes.
	frameBytes = 8 << 10
	// bytesFactor is how often the bytes of a frame are held: as they arrived and as decoded.
	bytesFactor = 2
	// stepBytes is how much of a frame is read at most before the budget is asked again, in bytes.
	stepBytes = 64 << 10
)

// errNoRoom ends a link whose frame finds no room among the frames of all links.
var errNoRoom = errors.New("received frames hold too many bytes")

// heldBytes is what a received frame has taken from the budget of all links.
type heldBytes struct {
	budget *bounder.Budget
	bytes  int64
}

// take takes bytes and reports whether they were free.
func (h *heldBytes) take(bytes int64) bool {
	if !h.budget.TakeAny(bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// release returns all bytes.
func (h *heldBytes) release() {
	h.budget.Return(h.bytes)
	h.bytes = 0
}

// receiveFrame receives a frame. The caller releases what it holds, also if there is an error.
func (l *link) receiveFrame(ctx context.Context) (Frame, *heldBytes, error) {
	held := &heldBytes{
		budget: l.hub.frames,
	}
	kind, reader, err := l.conn.Reader(ctx)
	if err != nil {
		return Frame{}, held, err
	}
	if kind != websocket.MessageBinary {
		return Frame{}, held, errMalformed
	}
	data, err := readHeld(reader, held)
	if err != nil {
		return Frame{}, held, err
	}
	frame, err := frameCodec.Decode(data)
	return frame, held, err
}

// readHeld reads a message to its end, and takes what it holds as it arrives.
func readHeld(reader io.Reader, held *heldBytes) ([]byte, error) {
	if !held.take(frameBytes) {
		return nil, errNoRoom
	}
	var data []byte
	for {
		step, err := io.ReadAll(io.LimitReader(reader, stepBytes))
		if err != nil {
			return nil, err
		}
		if data == nil && len(step) < stepBytes {
			// A whole message that is not large, as most are, is not copied.
			data = step
		} else {
			data = append(data, step...)
		}
		if !held.take(int64(len(step)) * bytesFactor) {
			return nil, errNoRoom
		}
		if len(step) < stepBytes {
			return data, nil
		}
	}
}
