package gatekeeper_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/gatekeeper"
)

// TestListenerIsBounded guards against more open connections than the bound, against a
// refusal without an answer that says that the request has not run, and against slots that
// are lost when connections close.
func TestListenerIsBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	listener := gatekeeper.New(inner, 2, func() { refused.Add(1) })
	accepted := make(chan net.Conn, 8)
	var group errgroup.Group
	group.Go(func() error {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return nil
			}
			accepted <- connection
		}
	})
	defer group.Wait()
	defer listener.Close()
	dial := func() net.Conn {
		t.Helper()
		connection, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
		return connection
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	answer, err := io.ReadAll(dial())
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") || refused.Load() != 1 {
		t.Fatalf("got the answer %q, error %v and %d refusals, want status 503 and 1 refusal", answer, err, refused.Load())
	}
	// A connection that may be closed makes room, also if one that has returned its slot
	// before is named first.
	calls := 0
	listener.OnFull(func() bool {
		calls++
		return calls == 1 || first.Close() == nil
	})
	dial()
	<-accepted
	if got := listener.Open(); got != 2 {
		t.Fatalf("got %d open connections, want 2", got)
	}
}
