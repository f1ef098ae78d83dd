//go:build unix

package binder_test

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/hemlockport/hemlockport/internal/binder"
)

// TestBuffersHoldForConnections guards against connections whose buffers the kernel sizes itself, up to
// megabytes, and against a buffer that is bounded only once the connection has been accepted.
func TestBuffersHoldForConnections(t *testing.T) {
	const size = 16 << 10
	opened, err := binder.Open(binder.Binding{
		Setting:     "Callers.Listen",
		Address:     "127.0.0.1:0",
		BufferBytes: size,
		Backlog:     4,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer binder.Close(opened)
	caller, err := net.Dial("tcp", opened[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := opened[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
		// The kernel may double the size, and tells the doubled one.
		if got := bufferSize(t, accepted, option); got < size || got > 2*size {
			t.Errorf("got a buffer of %d bytes for option %d, want %d or twice as much", got, option, size)
		}
	}
}

// TestOpenOpensAllOrNone guards against a listener that stays open although another one could not be
// opened, and against an error that does not name the setting.
func TestOpenOpensAllOrNone(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	_, err = binder.Open(
		binder.Binding{
			Setting: "Peers.Listen",
			Address: free.Addr().String(),
		},
		binder.Binding{
			Setting: "Operators.Listen",
			Address: taken.Addr().String(),
		},
	)
	if err == nil || !strings.Contains(err.Error(), "Operators.Listen") {
		t.Fatalf("got error %v, want one that names Operators.Listen", err)
	}
	again, err := net.Listen("tcp", free.Addr().String())
	if err != nil {
		t.Fatalf("the listener that was opened first stays open: %v", err)
	}
	again.Close()
}

// bufferSize returns the size of one of the kernel's buffers of a connection.
func bufferSize(t *testing.T, connection net.Conn, option int) int {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var size int
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		size, optionErr = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, option)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return size
}
