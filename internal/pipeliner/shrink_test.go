package pipeliner

import (
	"bufio"
	"runtime"
	"strings"
	"testing"
	"weak"
)

// TestShrinkReaderKeepsNoLargeBuffer guards against idle connections that keep their large
// buffer in memory after the budget has got it back.
func TestShrinkReaderKeepsNoLargeBuffer(t *testing.T) {
	server := &Server{}
	server.limits.Store(&Limits{})
	c := &conn{
		server: server,
		source: newSource(t.Context(), nil),
		reader: bufio.NewReaderSize(strings.NewReader("GET"), 8*readBufferBytes),
	}
	c.largeBytes.Store(8 * readBufferBytes)
	first, err := c.reader.Peek(1)
	if err != nil {
		t.Fatal(err)
	}
	large := weak.Make(&first[0])
	c.shrinkReader()
	// The pool gives up its buffers in the second collection.
	for range 3 {
		runtime.GC()
	}
	if large.Value() != nil {
		t.Error("the large buffer is still in memory")
	}
	if got, err := c.reader.Peek(3); err != nil || string(got) != "GET" {
		t.Errorf("got %q and error %v, want the bytes that had arrived", got, err)
	}
}
