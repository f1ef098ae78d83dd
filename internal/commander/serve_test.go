package commander

import (
	"sync"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/configurer"
)

// blockedWriter is a log destination that blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.written += len(p)
	return len(p), nil
}

// TestBlockedLogDestinationDoesNotBlockLogging guards against a log destination, such as
// a pipe that nobody reads, that blocks the goroutines that log.
func TestBlockedLogDestinationDoesNotBlockLogging(t *testing.T) {
	destination := &blockedWriter{
		release: make(chan struct{}),
	}
	log := newLog(newNonBlockingWriter(destination), configurer.Defaults().Log)
	const lines = 10 * logBufferLines
	start := time.Now()
	for i := range lines {
		log.Info().Int("Number", i).Msg("Line")
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Fatalf("logging %d lines to a blocked destination: got %v, want at most 2s", lines, elapsed)
	}
	close(destination.release)
	deadline := time.Now().Add(5 * time.Second)
	for {
		destination.mutex.Lock()
		written := destination.written
		destination.mutex.Unlock()
		if written > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("got no bytes within 5s after the destination was released, want some")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLastLinesAreWritten guards against log lines that are lost because the process ends
// while they are buffered, and against a process that a stalled reader keeps from ending.
func TestLastLinesAreWritten(t *testing.T) {
	cases := []struct {
		name    string
		blocked bool
	}{
		{
			name: "the destination takes lines",
		},
		{
			name:    "the destination is blocked",
			blocked: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			destination := &blockedWriter{
				release: make(chan struct{}),
			}
			if !c.blocked {
				close(destination.release)
			}
			writer := newNonBlockingWriter(destination)
			log := newLog(writer, configurer.Defaults().Log)
			log.Info().Msg("Stopped")
			start := time.Now()
			writer.flush()
			if elapsed := time.Since(start); elapsed > 2*time.Second {
				t.Fatalf("flush: got %v, want at most 2s", elapsed)
			}
			if c.blocked {
				close(destination.release)
				return
			}
			destination.mutex.Lock()
			defer destination.mutex.Unlock()
			if destination.written == 0 {
				t.Fatal("got no bytes after flush, want the last line")
			}
		})
	}
}
