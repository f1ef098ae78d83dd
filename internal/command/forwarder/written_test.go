package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// countingUpstream is an upstream that counts the bytes of requests after the first one on its
// only kept connection, to which it gives no answer.
type countingUpstream struct {
	target   Target
	listener net.Listener
	group    errgroup.Group
	received atomic.Int64
}

// newCountingUpstream starts an upstream that answers the first request on each connection.
func newCountingUpstream(t *testing.T) *countingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &countingUpstream{
		listener: listener,
		target: Target{
			Name:    "upstream",
			Address: listener.Addr().String(),
		},
	}
	upstream.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			upstream.group.Go(func() error {
				upstream.serve(conn)
				return nil
			})
		}
	})
	return upstream
}

func (u *countingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 204 Done\r\n\r\n")
	count, _ := io.Copy(io.Discard, reader)
	u.received.Add(count)
}

// stop waits until all connections have ended.
func (u *countingUpstream) stop() {
	u.listener.Close()
	_ = u.group.Wait()
}

// hookedConn is a connection with a function that replaces its writes, once it is set.
type hookedConn struct {
	net.Conn
	write atomic.Pointer[func(conn net.Conn, p []byte) (int, error)]
}

func (h *hookedConn) Write(p []byte) (int, error) {
	if write := h.write.Load(); write != nil {
		return (*write)(h.Conn, p)
	}
	return h.Conn.Write(p)
}

// dialHooked returns a function that dials guarded connections, and stores the last one.
func dialHooked(last *atomic.Pointer[hookedConn]) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		hooked := &hookedConn{
			Conn: conn,
		}
		last.Store(hooked)
		return newGuardedConn(hooked), nil
	}
}

// writeSettles is how long a hook waits for what it has caused.
const writeSettles = 20 * time.Millisecond

// errWrite is the error of a write that fails.
var errWrite = errors.New("the write failed")

// TestVerdictOfInterruptedWrite guards against a wrong verdict when a write on a kept connection fails before or after its first byte.
func TestVerdictOfInterruptedWrite(t *testing.T) {
	cases := []struct {
		name string
		// write replaces the writes of the request; leave ends its context.
		write func(conn net.Conn, p []byte, number int64, leave func()) (int, error)
	}{
		{
			name: "the caller leaves before the first write",
			write: func(conn net.Conn, p []byte, _ int64, leave func()) (int, error) {
				leave()
				time.Sleep(writeSettles)
				return conn.Write(p)
			},
		},
		{
			name: "the caller leaves after the first write",
			write: func(conn net.Conn, p []byte, _ int64, leave func()) (int, error) {
				count, err := conn.Write(p)
				leave()
				time.Sleep(writeSettles)
				return count, err
			},
		},
		{
			name: "the caller leaves before the second write",
			write: func(conn net.Conn, p []byte, number int64, leave func()) (int, error) {
				if number > 1 {
					leave()
					time.Sleep(writeSettles)
				}
				return conn.Write(p)
			},
		},
		{
			name: "the connection is closed before the first write",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				conn.Close()
				return conn.Write(p)
			},
		},
		{
			name: "the connection is closed after the first write",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				count, err := conn.Write(p)
				conn.Close()
				return count, err
			},
		},
		{
			name: "the first write sends one byte",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				count, _ := conn.Write(p[:1])
				return count, errWrite
			},
		},
		{
			name: "the first write sends all but one byte",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				count, _ := conn.Write(p[:len(p)-1])
				return count, errWrite
			},
		},
		{
			name: "the first write sends all bytes and fails",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				count, _ := conn.Write(p)
				return count, errWrite
			},
		},
		{
			name: "the second write sends nothing",
			write: func(conn net.Conn, p []byte, number int64, _ func()) (int, error) {
				if number > 1 {
					return 0, errWrite
				}
				return conn.Write(p)
			},
		},
		{
			name: "the upstream ends while the first write hangs",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				// The deadline stands for an end of the connection that the reader sees first.
				_ = conn.SetReadDeadline(time.Now())
				time.Sleep(writeSettles)
				return conn.Write(p)
			},
		},
		{
			name: "the upstream ends when the first write has sent its bytes",
			write: func(conn net.Conn, p []byte, _ int64, _ func()) (int, error) {
				count, err := conn.Write(p)
				_ = conn.SetReadDeadline(time.Now())
				time.Sleep(writeSettles)
				return count, err
			},
		},
	}
	bodies := []struct {
		name   string
		length int64
		source func() io.Reader
	}{
		{
			name:   "no body",
			source: func() io.Reader { return http.NoBody },
		},
		{
			name:   "buffered body",
			length: 5,
			source: func() io.Reader { return strings.NewReader("quilt") },
		},
		{
			name:   "large buffered body",
			length: MaxBufferedBytes,
			source: func() io.Reader { return strings.NewReader(strings.Repeat("q", MaxBufferedBytes)) },
		},
		{
			name:   "streamed body",
			length: MaxBufferedBytes + 1,
			source: func() io.Reader { return strings.NewReader(strings.Repeat("q", MaxBufferedBytes+1)) },
		},
		{
			name:   "chunked body",
			length: -1,
			source: func() io.Reader { return strings.NewReader("quilt") },
		},
	}
	for _, c := range cases {
		for _, b := range bodies {
			t.Run(c.name+"/"+b.name, func(t *testing.T) {
				t.Parallel()
				upstream := newCountingUpstream(t)
				sender := New()
				var hooked atomic.Pointer[hookedConn]
				sender.pooled.DialContext = dialHooked(&hooked)
				first, err := sender.Send(t.Context(), upstream.target, newOutboundOf(t, http.NoBody, 0))
				if err != nil {
					t.Fatal(err)
				}
				first.Response.Body.Close()
				ctx, leave := context.WithTimeout(t.Context(), 10*writeSettles)
				defer leave()
				var writes atomic.Int64
				write := func(conn net.Conn, p []byte) (int, error) {
					return c.write(conn, p, writes.Add(1), leave)
				}
				hooked.Load().write.Store(&write)
				outbound := newOutboundOf(t, b.source(), b.length)
				_, err = sender.Send(ctx, upstream.target, outbound)
				replayable := outbound.Body().Replayable()
				sender.Close()
				upstream.stop()
				checkInterrupted(t, err, replayable, upstream.received.Load())
			})
		}
	}
}

// checkInterrupted checks the error of a request of which the upstream has got some bytes.
func checkInterrupted(t *testing.T, err error, replayable bool, received int64) {
	t.Helper()
	want := arbiter.NotRun
	if received > 0 {
		want = arbiter.MayHaveRun
	}
	if got := arbiter.VerdictOf(err); err == nil || got != want {
		t.Errorf("got verdict %s (%v) with %d bytes received, want %s", got, err, received, want)
	}
	if arbiter.IsUnsent(err) && received > 0 {
		t.Errorf("got unsent (%v) with %d bytes received", err, received)
	}
	t.Logf("%d bytes received, replayable %t, %v", received, replayable, err)
}

// newOutboundOf returns an idempotent request with a body, which uses kept connections.
func newOutboundOf(t *testing.T, source io.Reader, length int64) Outbound {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://shopfront/orders", nil)
	if err != nil {
		t.Fatal(err)
	}
	body, refusal := ReadBody(source, length)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return NewOutbound(request, body, "quilters", true, time.Now().Add(time.Second))
}
