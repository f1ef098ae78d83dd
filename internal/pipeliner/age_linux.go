package pipeliner

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ageOfLastBytes returns how long ago the last bytes have arrived on a connection, read or not; 0
// if the system does not tell.
func ageOfLastBytes(connection net.Conn) time.Duration {
	holder, ok := underlying(connection).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	// An error means that the connection is closed.
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
