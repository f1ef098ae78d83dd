package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// pausedConn is a connection whose writer is not scheduled for a time after it has sent bytes.
type pausedConn struct {
	net.Conn
	pause time.Duration
}

func (p *pausedConn) Write(bytes []byte) (int, error) {
	count, err := p.Conn.Write(bytes)
	time.Sleep(p.pause)
	return count, err
}

// TestShedBeforeTheBodyWasReadLeavesItWhole guards against an order that is sent again with a part of its body missing.
func TestShedBeforeTheBodyWasReadLeavesItWhole(t *testing.T) {
	const (
		pause  = 40 * time.Millisecond
		parts  = 20
		pieces = "0123456789"
	)
	shedding, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := shedding.Accept()
		if err != nil {
			return nil
		}
		defer conn.Close()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		_, err = io.WriteString(conn, "HTTP/1.1 503 Shed\r\nHemlockport-Verdict: NotRun\r\nContent-Length: 4\r\n\r\nshed")
		return err
	})
	ran := make(chan string, 1)
	working := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if body, err := io.ReadAll(request.Body); err == nil {
			ran <- string(body)
		}
	}))
	source, sink := io.Pipe()
	group.Go(func() error {
		for range parts {
			if _, err := io.WriteString(sink, pieces); err != nil {
				return nil
			}
			time.Sleep(pause / 10)
		}
		return sink.Close()
	})
	sender := New()
	t.Cleanup(func() {
		sender.Close()
		source.Close()
		shedding.Close()
		working.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	dial := sender.singleUse.DialContext
	sender.singleUse.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != shedding.Addr().String() {
			return conn, err
		}
		return &pausedConn{
			Conn:  conn,
			pause: pause,
		}, nil
	}
	request := httptest.NewRequest(http.MethodPost, "/orders/1", source)
	body, refusal := ReadBody(source, -1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	outbound := NewOutbound(request, body, "", false, time.Now().Add(5*time.Second))
	_, err = sender.Send(t.Context(), Target{
		Name:    "shedding",
		Address: shedding.Addr().String(),
	}, outbound)
	if arbiter.VerdictOf(err) != arbiter.NotRun {
		t.Fatalf("got %v, want the verdict %s", err, arbiter.NotRun)
	}
	if !body.Replayable() {
		return
	}
	answer, err := sender.Send(t.Context(), Target{
		Name:    "working",
		Address: working.Listener.Addr().String(),
	}, outbound)
	if err == nil {
		answer.Response.Body.Close()
	}
	select {
	case got := <-ran:
		if want := strings.Repeat(pieces, parts); got != want {
			t.Errorf("got %d bytes of the order, want all %d", len(got), len(want))
		}
	default:
	}
}
