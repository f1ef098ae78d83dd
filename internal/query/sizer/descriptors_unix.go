//go:build unix

package sizer

import "golang.org/x/sys/unix"

// descriptorLimit returns how many descriptors the process may open, or 0 if the system does not tell.
// The Go runtime has raised the limit as far as it may.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return uint64(limit.Cur)
}
