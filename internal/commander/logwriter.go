package commander

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"
)

const (
	// logBufferLines limits the log lines that wait to be written. If the log's reader
	// stalls, lines are dropped, so that logging never blocks the instance.
	logBufferLines = 4096
	// logPollInterval is the time between two checks for buffered lines.
	logPollInterval = 100 * time.Millisecond
	// logFlushTimeout bounds the writing of the buffered lines at the end of the process.
	logFlushTimeout = 200 * time.Millisecond
)

// nonBlockingWriter buffers lines and never blocks. It logs how many lines it has dropped.
type nonBlockingWriter struct {
	diode.Writer
}

func newNonBlockingWriter(w io.Writer) *nonBlockingWriter {
	onDropped := func(missed int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"Lines\":%d,\"message\":\"LinesDropped\"}\n", missed)
	}
	return &nonBlockingWriter{
		Writer: diode.NewWriter(writeOnly{
			Writer: w,
		}, logBufferLines, logPollInterval, onDropped),
	}
}

// writeOnly hides the Close method of a writer, which diode.Writer would call.
type writeOnly struct {
	io.Writer
}

// flush writes the buffered lines, for up to logFlushTimeout. It must be called only once;
// lines that are logged after it are lost.
func (w *nonBlockingWriter) flush() {
	flushed := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(flushed)
		return w.Close()
	})
	select {
	case <-flushed:
	case <-time.After(logFlushTimeout):
		// The log's reader has stalled.
	}
}
