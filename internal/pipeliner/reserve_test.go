package pipeliner

import "testing"

// TestHeldBytesAreBounded guards against an instance that runs out of memory because many
// callers pipeline requests behind long responses.
func TestHeldBytesAreBounded(t *testing.T) {
	server := &Server{}
	var holding []*exchange
	for {
		next := &exchange{
			conn: &conn{
				server: server,
			},
		}
		next.buffered.Write(make([]byte, maxBufferedBytes))
		if next.hold(maxHeldBytes - maxBufferedBytes + 1) {
			t.Fatal("a response holds more than maxHeldBytes")
		}
		if !next.hold(maxHeldBytes - maxBufferedBytes) {
			break
		}
		holding = append(holding, next)
	}
	if held := server.heldBytes.Load(); held > maxHeldTotalBytes || held < maxHeldTotalBytes/2 {
		t.Errorf("got %d bytes held, want at most %d and at least half of that", held, maxHeldTotalBytes)
	}
	for _, next := range holding {
		next.releaseHeld()
	}
	if held := server.heldBytes.Load(); held != 0 {
		t.Errorf("got %d bytes held after all responses, want 0", held)
	}
}
