package reserver

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestReservedPortIsFreeForItsTestAlone opens and closes a listener on a reserved address
// repeatedly, with a connection each time. In between, a listener that shares the address
// with no other socket, which is what the kernel asks of a port that it picks itself, must
// not get it.
func TestReservedPortIsFreeForItsTestAlone(t *testing.T) {
	address := Address(t)
	for range 3 {
		if listener, err := listenExclusively(address); !errors.Is(err, syscall.EADDRINUSE) {
			if err == nil {
				listener.Close()
			}
			t.Fatalf("listen exclusively on %s while it is reserved: %v, want %v", address, err, syscall.EADDRINUSE)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		connectOnce(t, listener)
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// listenExclusively listens on an address that no other socket may be bound to.
func listenExclusively(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, conn syscall.RawConn) error {
			var optionErr error
			err := conn.Control(func(socket uintptr) {
				optionErr = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
			})
			return errors.Join(err, optionErr)
		},
	}
	return config.Listen(context.Background(), "tcp", address)
}

// connectOnce opens a connection to the listener and closes both of its ends.
func connectOnce(t *testing.T, listener net.Listener) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
}
