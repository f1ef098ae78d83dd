//go:build !linux

package usagereporter

import "time"

// readBootTime returns false: the clock is known on Linux only.
func readBootTime() (time.Duration, bool) {
	return 0, false
}
