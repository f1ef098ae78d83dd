// Package reserver reserves loopback addresses for tests that start instances which
// listen on an address from their settings.
package reserver

import (
	"fmt"
	"syscall"
	"testing"
)

// Address reserves a free TCP port of the loopback interface until the test ends, and
// returns its address, such as "127.0.0.1:41234".
//
// The port is held by a socket that is bound with SO_REUSEADDR and never listens. While it
// is bound, the kernel gives the port to no connection and to no listener that asks for
// any free port. A listener that names the port and sets SO_REUSEADDR, as net.Listen does,
// can open and close it any number of times.
func Address(t testing.TB) string {
	t.Helper()
	socket, port, err := reserve()
	if err != nil {
		t.Fatalf("reserve a loopback port: %v", err)
	}
	t.Cleanup(func() {
		if err := syscall.Close(socket); err != nil {
			t.Errorf("release loopback port %d: %v", port, err)
		}
	})
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// reserve returns a socket that is bound to a free port of the loopback interface.
func reserve() (socket, port int, err error) {
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, 0, err
	}
	port, err = bind(socket)
	if err != nil {
		syscall.Close(socket)
		return 0, 0, err
	}
	return socket, port, nil
}

// bind binds a socket to a free port of the loopback interface, which it returns.
func bind(socket int) (int, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}
