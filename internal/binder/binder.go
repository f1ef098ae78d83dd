// Package binder opens all listeners of an instance or none.
package binder

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// Binding describes a TCP listener to open.
type Binding struct {
	// Setting is the name of the setting that holds the address.
	Setting string
	// Address is the TCP address to listen on.
	Address string
	// BufferBytes is the size of the kernel's receive buffer and of its send buffer of each
	// connection, in bytes; 0 leaves them to the kernel. It holds from the start of a connection, also
	// before it is accepted.
	BufferBytes int
	// Backlog is the number of connections that the kernel accepts before the process does; 0 leaves it
	// to the system.
	Backlog int
}

// Open opens all listeners and returns them in the order of their bindings. If one of them can't be
// opened, it closes those that it has opened and returns an error with the name of the setting.
func Open(bindings ...Binding) ([]net.Listener, error) {
	opened := make([]net.Listener, 0, len(bindings))
	for _, binding := range bindings {
		listener, err := binding.open()
		if err != nil {
			Close(opened)
			return nil, eris.Wrap(err, binding.Setting)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}

// Close closes listeners.
func Close(opened []net.Listener) {
	for _, listener := range opened {
		listener.Close()
	}
}

func (b Binding) open() (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			if b.BufferBytes == 0 {
				return nil
			}
			return setBuffers(raw, b.BufferBytes)
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", b.Address)
	if err != nil || b.Backlog == 0 {
		return listener, err
	}
	if raw, err := listener.(syscall.Conn).SyscallConn(); err == nil {
		setBacklog(raw, b.Backlog)
	}
	return listener, nil
}
