//go:build unix

package binder

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setBuffers sets the size of the kernel's buffers of a listener, which its connections inherit.
func setBuffers(raw syscall.RawConn, size int) error {
	var setErr error
	err := raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		if setErr == nil {
			setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		}
	})
	if err != nil {
		return err
	}
	return setErr
}

// setBacklog sets the backlog of an open listener. If the system does not allow it, the listener keeps
// the one that it has.
func setBacklog(raw syscall.RawConn, backlog int) {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.Listen(int(descriptor), backlog)
	})
}
