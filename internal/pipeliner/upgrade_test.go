package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/pipeliner"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

const upgradeRequest = "GET /link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n"

// keeper is a response whose connection can be kept.
type keeper interface {
	Keep() bool
}

// echo upgrades a connection and returns what it receives. It keeps the connection after the first
// byte, which shows that the peer may use it.
func echo(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Upgrade", "echo")
	w.WriteHeader(http.StatusSwitchingProtocols)
	connection, buffers, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	first, err := buffers.ReadByte()
	if err != nil || !w.(keeper).Keep() {
		return
	}
	_, _ = connection.Write([]byte{first})
	_, _ = io.Copy(connection, buffers)
}

// serveUpgrades starts a server that upgrades connections to /link and answers others.
func serveUpgrades(t *testing.T, budget *bounder.Budget) (*pipeliner.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/link", echo)
	mux.HandleFunc("/refused", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "refused", http.StatusForbidden) })
	server := pipeliner.New(mux, limits, func(reason any) { t.Error("handler panicked:", reason) },
		pipeliner.WithUpgrades(), pipeliner.WithBudget(budget))
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		_ = group.Wait()
	})
	return server, listener.Addr().String()
}

func dialUpgrade(t *testing.T, address, sent string) (net.Conn, *bufio.Reader) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = io.WriteString(connection, sent); err != nil {
		t.Fatal(err)
	}
	return connection, bufio.NewReader(connection)
}

// TestUpgrades guards against a handler that gets no connection, loses bytes that came with the
// request, or whose refusal does not reach the caller.
func TestUpgrades(t *testing.T) {
	cases := []struct {
		name string
		sent string
		want string
	}{
		{
			name: "bytes behind the request",
			sent: upgradeRequest + "hello",
			want: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: echo\r\n\r\nhello",
		},
		{
			name: "behind an answer",
			sent: "GET /refused HTTP/1.1\r\nHost: a\r\n\r\n" + upgradeRequest + "hello",
			want: "HTTP/1.1 403 Forbidden\r\nContent-Length: 8\r\nContent-Type: text/plain; charset=utf-8\r\n" +
				"X-Content-Type-Options: nosniff\r\n\r\nrefused\nHTTP/1.1 101 Switching Protocols\r\nUpgrade: echo\r\n\r\nhello",
		},
		{
			name: "refused",
			sent: strings.Replace(upgradeRequest, "/link", "/refused", 1),
			want: "HTTP/1.1 403 Forbidden\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n" +
				"X-Content-Type-Options: nosniff\r\n\r\nrefused\n",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, address := serveUpgrades(t, nil)
			_, reader := dialUpgrade(t, address, c.sent)
			got := make([]byte, len(c.want))
			if _, err := io.ReadFull(reader, got); err != nil || string(got) != c.want {
				t.Errorf("got %q and error %v, want %q", got, err, c.want)
			}
		})
	}
}

// TestUpgradesGiveWayUntilKept guards against peers that have shown nothing and keep others out, and
// against links that a crowd closes.
func TestUpgradesGiveWayUntilKept(t *testing.T) {
	budget := bounder.NewBudget(1 << 20)
	server, address := serveUpgrades(t, budget)
	kept, keptReader := dialUpgrade(t, address, upgradeRequest+"k")
	if _, err := http.ReadResponse(keptReader, nil); err != nil {
		t.Fatal(err)
	}
	if first, err := keptReader.ReadByte(); err != nil || first != 'k' {
		t.Fatalf("got %q and error %v, want the first byte back", first, err)
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("a link that is kept holds %d bytes of the budget, want 0", held)
	}
	_, unprovedReader := dialUpgrade(t, address, upgradeRequest)
	if _, err := http.ReadResponse(unprovedReader, nil); err != nil {
		t.Fatal(err)
	}
	if held := budget.Held(); held == 0 {
		t.Error("a peer that has shown nothing holds nothing of the budget, want what its head costs")
	}
	deadline := time.Now().Add(10 * time.Second)
	for !server.CloseWaiting() {
		if time.Now().After(deadline) {
			t.Fatal("the connection of a peer that has shown nothing does not give way")
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := unprovedReader.ReadByte(); err == nil {
		t.Error("the connection of a peer that has shown nothing is open, want it closed")
	}
	time.Sleep(bounder.FreshMillis * time.Millisecond)
	if server.CloseWaiting() {
		t.Error("a link that is kept gives way")
	}
	if _, err := kept.Write([]byte("!")); err != nil {
		t.Fatal(err)
	}
	if next, err := keptReader.ReadByte(); err != nil || next != '!' {
		t.Fatalf("got %q and error %v on the link that is kept, want the byte back", next, err)
	}
}
