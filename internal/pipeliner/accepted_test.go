package pipeliner_test

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// lateListener returns a connection that it has accepted before it is closed only after that.
type lateListener struct {
	net.Listener
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	<-l.closed
	time.Sleep(stopPause)
	return accepted, nil
}

func (l *lateListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// TestShutdownWaitsForAcceptedConnections guards against a process that ends before it serves a connection that it has just accepted.
func TestShutdownWaitsForAcceptedConnections(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &lateListener{
		Listener: opened,
		closed:   make(chan struct{}),
	}
	server := pipeliner.New(http.HandlerFunc(answerPath), limits, func(reason any) { t.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	caller, err := net.Dial("tcp", opened.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
	send(t, caller, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(stopPause)
	if err = server.Shutdown(t.Context()); err != nil {
		t.Error("Shutdown:", err)
	}
	want := result{
		status: http.StatusOK,
		body:   "/1",
		closes: true,
	}
	if got := receive(t, bufio.NewReader(caller), http.MethodPost); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	_ = group.Wait()
}
