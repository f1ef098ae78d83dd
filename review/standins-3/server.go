package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is one request as a server has seen it.
type arrival struct {
	id      string
	at      time.Time
	ended   time.Time
	outcome string
}

// backend is a sound server, but for the answers that it is told to cut short.
type backend struct {
	id       string
	listener net.Listener
	// work is how long it works on a request, and body the size of its answers.
	work time.Duration
	body int
	// pieces is how many writes an answer takes, with pause between them.
	pieces int
	pause  time.Duration
	// cuts reports whether the answer to a request is cut short; nil for none.
	cuts func(id string) bool

	mutex    sync.Mutex
	arrivals map[string]*arrival
}

func newBackend(id string) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &backend{id: id, listener: listener, pieces: 1, arrivals: map[string]*arrival{}}, nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

// get returns a copy of an arrival.
func (b *backend) get(id string) (arrival, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found, ok := b.arrivals[id]
	if !ok {
		return arrival{}, false
	}
	return *found, true
}

func (b *backend) begin(id string) *arrival {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := &arrival{id: id, at: time.Now(), outcome: "at work"}
	b.arrivals[id] = next
	return next
}

func (b *backend) end(a *arrival, outcome string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.ended, a.outcome = time.Now(), outcome
}

// serveConn serves one request at a time. It drops a request when its connection closes.
func (b *backend) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if request.Header.Get(headerExpected) != b.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id, id)
			continue
		}
		entry := b.begin(id)
		gone, stopWatch := watchClose(conn, reader)
		select {
		case <-gone.Done():
			stopWatch()
			b.end(entry, "dropped: its connection closed")
			return
		case <-time.After(b.work):
		}
		stopWatch()
		if gone.Err() != nil {
			b.end(entry, "dropped: its connection closed")
			return
		}
		if !b.answer(conn, id, entry) {
			return
		}
	}
}

// answer writes the answer, and reports whether the connection stays open.
func (b *backend) answer(conn net.Conn, id string, entry *arrival) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: 1.2\r\n%s: 1,0,5\r\nContent-Length: %d\r\n\r\n",
		id, headerSignature, headerLoad, b.body)
	if err != nil {
		b.end(entry, "the answer could not be written")
		return false
	}
	piece := strings.Repeat("x", b.body/b.pieces)
	for i := range b.pieces {
		if b.cuts != nil && i == b.pieces-1 && b.cuts(id) {
			b.end(entry, "answer cut short")
			return false
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			b.end(entry, "the answer could not be written")
			return false
		}
		time.Sleep(b.pause)
	}
	b.end(entry, "answered")
	return true
}

// watchClose returns a context that ends when the peer closes the connection, and the function
// that ends the watch, after which the connection can be read again.
func watchClose(conn net.Conn, reader *bufio.Reader) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := reader.Peek(1)
		var timeout interface{ Timeout() bool }
		if err == nil {
			return
		}
		if t, ok := err.(interface{ Timeout() bool }); ok {
			timeout = t
		}
		if timeout == nil || !timeout.Timeout() {
			cancel()
		}
	}()
	return ctx, func() {
		_ = conn.SetReadDeadline(time.Now())
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}
