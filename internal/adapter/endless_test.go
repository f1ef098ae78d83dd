package adapter_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// TestEndlessAnswerIsRefused checks that a call ends, and reads a bounded number of bytes, when
// the platform answers with bytes without end. It guards against a process that keeps them all
// and runs out of memory.
func TestEndlessAnswerIsRefused(t *testing.T) {
	const (
		// maxRead is how much a call may read of an answer; the sockets hold some more.
		maxRead = 8 << 20
		sockets = 12 << 20
		timeout = 20 * time.Second
	)
	cases := []struct {
		name string
		// begin is the beginning of the answer, and repeat follows it without end.
		begin  string
		repeat string
	}{
		{
			name:   "a status line",
			begin:  "HTTP/1.1 200 ",
			repeat: "a",
		},
		{
			name:   "header fields",
			begin:  "HTTP/1.1 200 OK\r\n",
			repeat: "Field: value\r\n",
		},
		{
			name:   "interim answers",
			repeat: "HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\n",
		},
		{
			name:   "a body without a length",
			begin:  "HTTP/1.1 200 OK\r\n\r\n",
			repeat: "a",
		},
		{
			name:   "a body with a huge length",
			begin:  "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
			repeat: "a",
		},
		{
			name:   "chunks",
			begin:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			repeat: "400\r\n" + strings.Repeat("a", 1024) + "\r\n",
		},
		{
			name:   "a chunk's extension",
			begin:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
			repeat: "a",
		},
		{
			name:   "a trailer",
			begin:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
			repeat: "Field: value\r\n",
		},
		{
			name:   "the body of a failure",
			begin:  "HTTP/1.1 500 Internal Server Error\r\n\r\n",
			repeat: "a",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, sent := serveEndless(t, c.begin, c.repeat)
			client, err := adapter.NewClient("http://"+address, "", func(int) (arbiter.Verdict, error) {
				return arbiter.MayHaveRun, storer.ErrUnavailable
			})
			if err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			_, err = client.Call(t.Context(), adapter.Call{
				Method:   http.MethodGet,
				Path:     "/objects",
				Deadline: begun.Add(timeout),
			})
			if !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("got error %v, want %v", err, storer.ErrUnavailable)
			}
			if len(err.Error()) > 2048 {
				t.Errorf("got an error of %d bytes, want a short one", len(err.Error()))
			}
			if took := time.Since(begun); took >= timeout {
				t.Errorf("the call took %v, want it to end when too much has come", took)
			}
			if got := sent.Load(); got > maxRead+sockets {
				t.Errorf("the call took %d bytes, want at most %d", got, maxRead+sockets)
			}
		})
	}
}

// serveEndless answers each connection with begin, and then repeat until the connection breaks. It
// returns its address and the number of bytes written.
func serveEndless(t *testing.T, begin, repeat string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	sent := &atomic.Int64{}
	block := strings.Repeat(repeat, 64<<10/len(repeat))
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
				_, err := io.WriteString(conn, begin)
				for err == nil {
					var count int
					count, err = io.WriteString(conn, block)
					sent.Add(int64(count))
				}
				return nil
			})
		}
	})
	return listener.Addr().String(), sent
}
