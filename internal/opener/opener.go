// Package opener opens the listeners of an instance, all or none, and serves HTTP on
// them.
package opener

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Wanted is a listener to open.
type Wanted struct {
	// Field is the setting that holds the address.
	Field   string
	Address string
	// Into is where the listener goes.
	Into *net.Listener
}

// Open opens all listeners, or none. Its error names the setting at fault.
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

// Serve serves HTTP on a listener in a group, until the server is closed.
func Serve(group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
