// Package bounder decides how much an instance holds for callers that are not under its
// control: how many connections, how many bytes of requests, and which connection is
// closed first when there are too many. It does no I/O and knows no protocol but the cost
// of its heads.
package bounder

const (
	// megabyte is the unit of Machine.MemoryMB, in bytes.
	megabyte = 1 << 20
	// reservedDescriptors is how many descriptors the platform keeps for files.
	reservedDescriptors = 200
	// ConnectionBytes is what an open connection costs without its requests, in bytes: two
	// goroutines, two buffers of 4 KB and the connection's own state.
	ConnectionBytes = 24 << 10
	// unmanagedBytes is the memory that Go's memory limit does not count, in bytes: mostly
	// the pages of the program itself.
	unmanagedBytes = 24 * megabyte
)

// Machine is what the machine of an instance offers. 0 means that it is not known.
type Machine struct {
	// MemoryMB is the memory in megabytes of 1048576 bytes.
	MemoryMB int
	// Descriptors is the number of file descriptors, among them those that the platform
	// reserves for files.
	Descriptors int
}

// Bounds is how much an instance holds. 0 means that there is no bound.
type Bounds struct {
	// Callers bounds the listener for callers. Lookups and Readiness bound those listeners;
	// they are apart, so that a crowd at one listener does not close the others.
	Callers   Share
	Lookups   Share
	Readiness Share
	// InFlight is the number of callers' requests that run at the same time: each may need a
	// connection to an upstream. IdleUpstream is the number of connections to upstreams that
	// are kept without a request.
	InFlight     int
	IdleUpstream int
	// ReceiveBytes is the size of the kernel's receive buffer of a connection, in bytes:
	// bytes that wait there count as memory too.
	ReceiveBytes int
	// RuntimeBytes is the memory that the Go runtime should stay under, in bytes.
	RuntimeBytes int64
}

// Share is what one listener may hold. 0 means that there is no bound.
type Share struct {
	// Connections is the number of open connections.
	Connections int
	// HeldBytes is how many bytes the requests of all connections may hold together.
	HeldBytes int64
}

// receiveBytes is the kernel's receive buffer of a connection, in bytes. It takes two full
// heads, and with a round trip of 3 ms some 80 Mbit/s a connection.
const receiveBytes = 32 << 10

// part is a fraction of the descriptors that are not reserved for files.
type part struct {
	numerator   int
	denominator int
}

// The parts of the descriptors. Together they are 0.86; the rest is for links to other
// instances, calls to the platform and the listeners of peers and operators.
var (
	callersPart = part{
		numerator:   3,
		denominator: 8,
	}
	inFlightPart = part{
		numerator:   1,
		denominator: 4,
	}
	idleUpstreamPart = part{
		numerator:   1,
		denominator: 8,
	}
	lookupsPart = part{
		numerator:   1,
		denominator: 12,
	}
	readinessPart = part{
		numerator:   1,
		denominator: 48,
	}
)

// Bounds returns the bounds for a machine. Connections of callers get at most a quarter of
// the memory, and requests at most five sixteenths of it. The rest is for the instance
// itself, its links, garbage that has not been collected, and the kernel's buffers.
func (m Machine) Bounds() Bounds {
	memory := int64(m.MemoryMB) * megabyte
	bounds := Bounds{
		Callers: Share{
			Connections: m.connections(callersPart, memory/4),
			HeldBytes:   memory * 5 / 16,
		},
		Lookups: Share{
			Connections: m.connections(lookupsPart, memory/16),
			HeldBytes:   memory / 32,
		},
		Readiness: Share{
			Connections: m.connections(readinessPart, memory/64),
			HeldBytes:   memory / 32,
		},
		InFlight:     m.descriptors(inFlightPart),
		IdleUpstream: m.descriptors(idleUpstreamPart),
	}
	if memory > 0 {
		bounds.ReceiveBytes = receiveBytes
		bounds.RuntimeBytes = max(memory*7/8-unmanagedBytes, memory/4)
	}
	return bounds
}

// descriptors returns a part of the descriptors, at least 1, or 0 if they are not known.
func (m Machine) descriptors(part part) int {
	if m.Descriptors == 0 {
		return 0
	}
	return max(1, (m.Descriptors-reservedDescriptors)*part.numerator/part.denominator)
}

// connections returns how many connections a listener may have that gets a part of the
// descriptors and some bytes for its connections.
func (m Machine) connections(part part, bytes int64) int {
	byMemory := int(bytes / ConnectionBytes)
	byDescriptors := m.descriptors(part)
	switch {
	case m.Descriptors == 0:
		return byMemory
	case m.MemoryMB == 0:
		return byDescriptors
	default:
		return min(byMemory, byDescriptors)
	}
}
