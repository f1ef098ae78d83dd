//go:build !linux

package pipeliner

import (
	"net"
	"time"
)

// ageOfLastBytes returns 0, as only Linux tells how long ago the last bytes have arrived.
func ageOfLastBytes(net.Conn) time.Duration {
	return 0
}
