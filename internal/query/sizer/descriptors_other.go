//go:build !unix

package sizer

// descriptorLimit returns 0, as the system does not tell.
func descriptorLimit() uint64 {
	return 0
}
