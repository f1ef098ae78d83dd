// Package binder opens all listeners of an instance or none, and serves HTTP on them.
package binder

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Binding describes a TCP listener to open.
type Binding struct {
	// Setting is the name of the setting that holds the address.
	Setting string
	// Address is the TCP address to listen on.
	Address string
	// Listener is where Open stores the open listener.
	Listener *net.Listener
}

// Open opens all listeners. If one of them can't be opened, it closes those that it has
// opened and returns an error with the name of the setting.
func Open(bindings ...Binding) error {
	for i, binding := range bindings {
		listener, err := net.Listen("tcp", binding.Address)
		if err != nil {
			for _, opened := range bindings[:i] {
				(*opened.Listener).Close()
			}
			return eris.Wrap(err, binding.Setting)
		}
		*binding.Listener = listener
	}
	return nil
}

// Serve serves HTTP on a listener in a goroutine of the group until the server is
// closed.
func Serve(group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
