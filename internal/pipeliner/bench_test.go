package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// BenchmarkRequest measures an ordinary request on a connection that is kept. The target
// is that its allocations do not grow.
func BenchmarkRequest(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "quilt")
	}), limits, func(reason any) { b.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		_ = group.Wait()
	})
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { caller.Close() })
	reader := bufio.NewReader(caller)
	request := []byte("GET /orders/1 HTTP/1.1\r\nHost: quilts.example\r\nRequest-Id: r-1\r\n" +
		"Accept: */*\r\nAuthorization: Bearer the-callers-key\r\n\r\n")
	answer := make([]byte, len("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := caller.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(reader, answer); err != nil {
			b.Fatal(err)
		}
	}
}
