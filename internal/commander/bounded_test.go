package commander

import (
	"sync"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/internal/configurer"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	released chan struct{}
	mutex    sync.Mutex
	bytes    int
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bytes += len(p)
	return len(p), nil
}

// A reader of the log that stops holds up nobody.
func TestStuckLogBlocksNobody(t *testing.T) {
	reader := &stuck{
		released: make(chan struct{}),
	}
	log := newLog(newBounded(reader), configurer.Defaults().Log)
	const lines = 10 * logLines
	begun := time.Now()
	for i := range lines {
		log.Info().Int("Number", i).Msg("Line")
	}
	if taken := time.Since(begun); taken > 2*time.Second {
		t.Fatalf("%d lines took %v", lines, taken)
	}
	close(reader.released)
	deadline := time.Now().Add(5 * time.Second)
	for {
		reader.mutex.Lock()
		written := reader.bytes
		reader.mutex.Unlock()
		if written > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("nothing is written after the reader goes on")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
