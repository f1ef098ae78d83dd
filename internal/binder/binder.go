// Package binder opens all listeners of an instance or none.
package binder

import (
	"net"

	"github.com/rotisserie/eris"
)

// Binding describes a TCP listener to open.
type Binding struct {
	// Setting is the name of the setting that holds the address.
	Setting string
	// Address is the TCP address to listen on.
	Address string
}

// Open opens all listeners and returns them in the order of their bindings. If one of them can't be
// opened, it closes those that it has opened and returns an error with the name of the setting.
func Open(bindings ...Binding) ([]net.Listener, error) {
	opened := make([]net.Listener, 0, len(bindings))
	for _, binding := range bindings {
		listener, err := net.Listen("tcp", binding.Address)
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
