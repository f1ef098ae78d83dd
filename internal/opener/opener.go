// Package opener opens all listeners of an instance or none, and serves HTTP on them.
package opener

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Wanted describes a TCP listener to open.
type Wanted struct {
	// Field is the name of the setting that holds the address.
	Field string
	// Address is the TCP address to listen on.
	Address string
	// Into is set to the open listener.
	Into *net.Listener
}

// Open opens all listeners. If one of them can't be opened, it closes those that it has
// opened and returns an error with the name of the setting.
func Open(wanted ...Wanted) error {
	for i, want := range wanted {
		listener, err := net.Listen("tcp", want.Address)
		if err != nil {
			for _, opened := range wanted[:i] {
				(*opened.Into).Close()
			}
			return eris.Wrap(err, want.Field)
		}
		*want.Into = listener
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
