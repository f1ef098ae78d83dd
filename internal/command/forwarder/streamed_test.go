package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

const (
	// streamedBytes is the length of a streamed body. It arrives in pieces of pieceBytes, one
	// every piecePause.
	streamedBytes = 100 << 10
	pieceBytes    = 1 << 10
	piecePause    = time.Millisecond
	// writeDelay is how long the first write returns after it has sent its bytes.
	writeDelay = 80 * time.Millisecond
)

// pacedSource is a body that arrives in pieces. It is safe for concurrent use, as the bodies
// of package net/http are.
type pacedSource struct {
	mutex sync.Mutex
	rest  []byte
}

func (p *pacedSource) Read(buffer []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(piecePause)
	count := copy(buffer, p.rest[:min(pieceBytes, len(p.rest))])
	p.rest = p.rest[count:]
	return count, nil
}

// streamedContent returns a body in which no two pieces are the same.
func streamedContent() []byte {
	content := make([]byte, streamedBytes)
	for i := range content {
		content[i] = byte(i / pieceBytes)
	}
	return content
}

// lateConn is a connection whose first write returns late, as that of a thread that is not
// scheduled.
type lateConn struct {
	net.Conn
	written atomic.Bool
}

func (l *lateConn) Write(p []byte) (int, error) {
	count, err := l.Conn.Write(p)
	if l.written.CompareAndSwap(false, true) {
		time.Sleep(writeDelay)
	}
	return count, err
}

// dialLate dials connections of which the first one is late.
func dialLate() func(context.Context, string, string) (net.Conn, error) {
	var dialed atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || !dialed.CompareAndSwap(false, true) {
			return conn, err
		}
		return &lateConn{
			Conn: conn,
		}, nil
	}
}

// refusingOnce is an upstream that refuses the first request, or fails, when its head has
// arrived, and runs all others.
type refusingOnce struct {
	target  Target
	refusal string
	mutex   sync.Mutex
	// bodies holds the bodies of the requests that have arrived whole and were run.
	bodies [][]byte
}

// newRefusingOnce starts an upstream that refuses with an answer.
func newRefusingOnce(t *testing.T, refusal string) *refusingOnce {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &refusingOnce{
		target: Target{
			Name:    "upstream",
			Address: listener.Addr().String(),
		},
		refusal: refusal,
	}
	var group errgroup.Group
	group.Go(func() error {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				upstream.serve(conn, number == 0)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	return upstream
}

// serve serves one connection.
func (u *refusingOnce) serve(conn net.Conn, refuses bool) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if refuses {
		_, _ = io.WriteString(conn, u.refusal)
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	u.mutex.Lock()
	u.bodies = append(u.bodies, content)
	u.mutex.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 204 Done\r\n\r\n")
}

// runs returns the bodies of the requests that were run.
func (u *refusingOnce) runs() [][]byte {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.bodies
}

// TestStreamedBodyIsNotDivided guards against a request that is sent again without a part of its body, which the attempt before has read.
func TestStreamedBodyIsNotDivided(t *testing.T) {
	cases := []struct {
		name    string
		refusal string
		length  int64
		verdict arbiter.Verdict
	}{
		{
			name:    "known length",
			refusal: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 1\r\n\r\n.",
			length:  streamedBytes,
			verdict: arbiter.NotRun,
		},
		{
			name:    "chunks",
			refusal: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 1\r\n\r\n.",
			length:  -1,
			verdict: arbiter.NotRun,
		},
		{
			name:    "known length, refused without a body",
			refusal: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n",
			length:  streamedBytes,
			verdict: arbiter.NotRun,
		},
		{
			name:    "chunks, refused without a body",
			refusal: "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n",
			length:  -1,
			verdict: arbiter.NotRun,
		},
		{
			name:    "known length, a failure",
			refusal: "HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\n.",
			length:  streamedBytes,
			verdict: arbiter.MayHaveRun,
		},
		{
			name:    "chunks, a failure",
			refusal: "HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\n.",
			length:  -1,
			verdict: arbiter.MayHaveRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := newRefusingOnce(t, c.refusal)
			sender := New()
			t.Cleanup(sender.Close)
			sender.singleUse.DialContext = dialLate()
			outbound := newStreamedOutbound(t, c.length)
			answer, err := sender.Send(t.Context(), upstream.target, outbound)
			if got := arbiter.VerdictOf(err); got != c.verdict {
				t.Fatalf("got verdict %s (%v), want %s", got, err, c.verdict)
			}
			if err == nil {
				answer.Response.Body.Close()
			}
			if !outbound.Body().Replayable() {
				return
			}
			answer, err = sender.Send(t.Context(), upstream.target, outbound)
			if err == nil {
				answer.Response.Body.Close()
			}
			for _, run := range upstream.runs() {
				if !bytes.Equal(run, streamedContent()) {
					t.Errorf("got a run with %d bytes of the body, want all %d (error %v)", len(run), streamedBytes, err)
				}
			}
			if err != nil {
				t.Errorf("got error %v of a request that was sent again, want an answer", err)
			}
		})
	}
}

// newStreamedOutbound returns a request with a streamed body, which gets a connection of its own.
func newStreamedOutbound(t *testing.T, length int64) Outbound {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://shopfront/orders", nil)
	if err != nil {
		t.Fatal(err)
	}
	body, refusal := ReadBody(&pacedSource{
		rest: streamedContent(),
	}, length)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return NewOutbound(request, body, "quilters", false, time.Now().Add(5*time.Second))
}
