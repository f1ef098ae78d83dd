package pipeliner_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/certifier"
	"github.com/hemlockport/hemlockport/internal/pipeliner"
)

// TestHandshakesEnd guards against a handshake that has begun and does not end: it has the time for a
// head, not the time that a connection may be idle.
func TestHandshakesEnd(t *testing.T) {
	certificateFile, keyFile := certifier.Write(t)
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	patient := limits
	patient.IdleMillis = 3_600_000
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server := pipeliner.New(answer, patient, func(reason any) { t.Error("handler panicked:", reason) })
	var group errgroup.Group
	group.Go(func() error {
		return server.Serve(tls.NewListener(listener, &tls.Config{
			Certificates: []tls.Certificate{certificate},
		}))
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		_ = group.Wait()
	})
	cases := []struct {
		name string
		sent string
	}{
		{
			name: "nothing sent",
		},
		{
			name: "a part of a hello",
			sent: "\x16\x03\x01\x40\x00\x01\x00\xff\xfc",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			_ = connection.SetDeadline(time.Now().Add(time.Minute))
			if _, err = io.WriteString(connection, c.sent); err != nil {
				t.Fatal(err)
			}
			if _, err = io.Copy(io.Discard, connection); err != nil {
				t.Errorf("got error %v, want the connection closed", err)
			}
		})
	}
	config := &tls.Config{
		RootCAs:    certifier.Pool(t, certificateFile),
		ServerName: "127.0.0.1",
	}
	secured, err := tls.Dial("tcp", listener.Addr().String(), config)
	if err != nil {
		t.Fatal(err)
	}
	defer secured.Close()
	_ = secured.SetDeadline(time.Now().Add(time.Minute))
	// The time for the handshake is over before the request comes.
	time.Sleep(time.Duration(patient.HeaderMillis)*time.Millisecond + 100*time.Millisecond)
	if _, err = io.WriteString(secured, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("HTTP/1.1 204"))
	if _, err = io.ReadFull(secured, got); err != nil || string(got) != "HTTP/1.1 204" {
		t.Errorf("got %q and error %v on a connection whose handshake has ended, want status 204", got, err)
	}
}
