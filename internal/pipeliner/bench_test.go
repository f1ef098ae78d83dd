package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// BenchmarkRequests measures ordinary requests on a connection that is kept, sent one or four
// at a time. The target is that their allocations do not grow.
func BenchmarkRequests(b *testing.B) {
	const (
		request = "GET /orders/1 HTTP/1.1\r\nHost: quilts.example\r\nRequest-Id: r-1\r\n" +
			"Accept: */*\r\nAuthorization: Bearer the-callers-key\r\n\r\n"
		answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt"
	)
	cases := []struct {
		name  string
		count int
	}{
		{
			name:  "single",
			count: 1,
		},
		{
			name:  "pipelined",
			count: 4,
		},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			caller := dialBenchmark(b)
			reader := bufio.NewReader(caller)
			requests := []byte(strings.Repeat(request, c.count))
			answers := make([]byte, c.count*len(answer))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := caller.Write(requests); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(reader, answers); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// dialBenchmark starts a server and returns a connection to it.
func dialBenchmark(b *testing.B) net.Conn {
	b.Helper()
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
	return caller
}
