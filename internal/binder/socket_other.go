//go:build !unix

package binder

import "syscall"

// setBuffers leaves the buffers to the system.
func setBuffers(syscall.RawConn, int) error {
	return nil
}

// setBacklog leaves the backlog to the system.
func setBacklog(syscall.RawConn, int) {}
