// Package bounder decides how much an instance holds for callers that are not under its
// control: how many connections, how many bytes of requests, and which connection is
// closed first when there are too many. It does no I/O and knows no protocol but the cost
// of its heads.
package bounder

const (
	kilobyte = 1 << 10
	// megabyte is the unit of Machine.MemoryMB, in bytes.
	megabyte = 1 << 20
	// reservedDescriptors is how many descriptors the platform keeps for files.
	reservedDescriptors = 200
	// ConnectionBytes is what an open connection costs the process without its requests, in
	// bytes: two goroutines, two buffers of 4 KB and the connection's own state.
	ConnectionBytes = 24 * kilobyte
	// TLSBytes is what a connection with TLS costs the process in addition, in bytes: a hello of
	// up to 64 KB while it arrives, a record of 16 KB, and the state of the session.
	TLSBytes = 96 * kilobyte
	// IdleUpstreamBytes is what a kept connection to an upstream costs, in bytes.
	IdleUpstreamBytes = 20 * kilobyte
	// ProgramBytes is what the program takes without connections and requests, in bytes: its pages
	// and the heap that it starts with.
	ProgramBytes = 24 * megabyte
	// SlackPart is the part of the runtime's memory that garbage takes which has not been
	// collected: one in SlackPart.
	SlackPart = 8
)

// Machine is what the machine of an instance offers, and what its listeners need of it. 0 means
// that it is not known.
type Machine struct {
	// MemoryMB is the memory in megabytes of 1048576 bytes.
	MemoryMB int
	// Descriptors is the number of file descriptors, among them those that the platform
	// reserves for files.
	Descriptors int
	// Listeners says which listeners the instance opens.
	Listeners Listeners
}

// Listeners says of each listener whether the instance opens it.
type Listeners struct {
	Callers   Kind
	Lookups   Kind
	Readiness Kind
	Peers     Kind
	Operators Kind
}

// Kind is how a listener is opened.
type Kind int

// The kinds of listeners.
const (
	// Plain is a listener without TLS, and Secured one with TLS.
	Plain Kind = iota
	Secured
	// Absent is a listener that the instance does not open.
	Absent
)

// Bounds is how much an instance holds. 0 means that there is no bound.
type Bounds struct {
	// Callers bounds the listener for callers, and the others theirs. They are apart, so that a
	// crowd at one listener does not close the others.
	Callers   Share
	Lookups   Share
	Readiness Share
	Peers     Share
	Operators Share
	// InFlight is the number of callers' requests that run at the same time: each may need a
	// connection to an upstream. IdleUpstream is the number of connections to upstreams that
	// are kept without a request.
	InFlight     int
	IdleUpstream int
	// FrameBytes is how many bytes the frames of all links to peers may hold together.
	FrameBytes int64
	// ChangeBytes is how many bytes the operators' changes may hold together.
	ChangeBytes int64
	// RuntimeBytes is the memory that the Go runtime should stay under, in bytes.
	RuntimeBytes int64
}

// Share is what one listener may hold. 0 means that there is no bound.
type Share struct {
	// Connections is the number of open connections.
	Connections int
	// Backlog is the number of connections that the kernel has accepted and the instance has not.
	Backlog int
	// HeldBytes is how many bytes the requests of all connections may hold together.
	HeldBytes int64
	// BufferBytes is the size of the kernel's receive buffer and of its send buffer of a connection,
	// in bytes, as it is set on the listener: bytes that wait there count as memory too. The
	// kernel doubles it.
	BufferBytes int
}

// KernelFactor is how many times the size set of a buffer the kernel takes for it.
const KernelFactor = 2

// KernelBytes returns what the kernel's buffers of all connections hold at most, in bytes, also of
// those that the instance has not accepted.
func (s Share) KernelBytes() int64 {
	buffer := int64(s.BufferBytes) * KernelFactor
	return int64(s.Connections)*2*buffer + int64(s.Backlog)*buffer
}

// The sizes of the kernel's buffers, in bytes. The smallest passes a head of 16 KB in two round trips.
const (
	minBufferBytes = 8 * kilobyte
	maxBufferBytes = 32 * kilobyte
	// bufferPart is the part of the memory that is the size of a buffer: one in bufferPart.
	bufferPart = 32 * kilobyte
)

// part is a fraction of the descriptors that are not reserved for files, or of the memory.
type part struct {
	numerator   int
	denominator int
}

// of returns the part of a number of bytes.
func (p part) of(bytes int64) int64 {
	return bytes * int64(p.numerator) / int64(p.denominator)
}

// The parts of the descriptors. Together they are 0.94; the rest is for links that the instance
// dials, and for calls to the platform.
var (
	callersPart = part{
		numerator:   5,
		denominator: 16,
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
	peersPart = part{
		numerator:   1,
		denominator: 8,
	}
	operatorsPart = part{
		numerator:   1,
		denominator: 48,
	}
)

// The parts of the memory that the connections of listeners get at most, with the kernel's buffers.
var (
	callersMemory = part{
		numerator:   1,
		denominator: 4,
	}
	lookupsMemory = part{
		numerator:   1,
		denominator: 16,
	}
	readinessMemory = part{
		numerator:   1,
		denominator: 64,
	}
	peersMemory = part{
		numerator:   1,
		denominator: 8,
	}
	operatorsMemory = part{
		numerator:   1,
		denominator: 64,
	}
)

const (
	// minBacklog is the smallest backlog. A few callers at once find room in it.
	minBacklog = 16
	// minHeldBytes takes one request with the largest head that is legal.
	minHeldBytes = 2 * megabyte
	// heldPart is the part of the memory for what the requests of each listener but that for
	// callers hold, and framePart and changePart those for frames and changes: one in so many.
	heldPart   = 64
	framePart  = 32
	changePart = 32
	// idleMemoryPart is the part of the memory that connections to upstreams get at most which are
	// kept without a request: one in so many.
	idleMemoryPart = 16
)

// Bounds returns the bounds for a machine. What is left of the memory by the program, garbage that
// has not been collected, connections with the kernel's buffers, other listeners and links is
// for the requests of callers.
func (m Machine) Bounds() Bounds {
	memory := int64(m.MemoryMB) * megabyte
	buffer := min(max(memory/bufferPart, minBufferBytes), maxBufferBytes)
	bounds := Bounds{
		Callers:      m.share(callersPart, callersMemory, buffer, m.Listeners.Callers),
		Lookups:      m.share(lookupsPart, lookupsMemory, buffer, m.Listeners.Lookups),
		Readiness:    m.share(readinessPart, readinessMemory, buffer, m.Listeners.Readiness),
		Peers:        m.share(peersPart, peersMemory, buffer, m.Listeners.Peers),
		Operators:    m.share(operatorsPart, operatorsMemory, buffer, m.Listeners.Operators),
		InFlight:     m.descriptors(inFlightPart),
		IdleUpstream: m.descriptors(idleUpstreamPart),
	}
	if memory > 0 {
		bounds.IdleUpstream = atMost(bounds.IdleUpstream, int(memory/idleMemoryPart/IdleUpstreamBytes))
		bounds.FrameBytes = memory / framePart
		bounds.ChangeBytes = memory / changePart
		bounds.RuntimeBytes = max(memory*7/8-ProgramBytes, memory/4)
		bounds.Callers.HeldBytes = 0
		bounds.Callers.HeldBytes = max(memory-bounds.Bytes(m.Listeners), minHeldBytes)
	}
	return bounds
}

// Bytes returns what an instance that opens some listeners takes of the memory of its machine when
// all bounds are reached, in bytes.
func (b Bounds) Bytes(listeners Listeners) int64 {
	bytes := ProgramBytes + b.RuntimeBytes/SlackPart + b.FrameBytes + b.ChangeBytes
	bytes += int64(b.IdleUpstream) * IdleUpstreamBytes
	bytes += b.Callers.bytes(listeners.Callers)
	bytes += b.Lookups.bytes(listeners.Lookups)
	bytes += b.Readiness.bytes(listeners.Readiness)
	bytes += b.Peers.bytes(listeners.Peers)
	bytes += b.Operators.bytes(listeners.Operators)
	return bytes
}

// bytes returns what a listener takes when its bounds are reached, in bytes.
func (s Share) bytes(kind Kind) int64 {
	return s.HeldBytes + s.KernelBytes() + int64(s.Connections)*kind.connectionBytes()
}

// connectionBytes returns what an open connection costs the process, in bytes.
func (k Kind) connectionBytes() int64 {
	if k == Secured {
		return ConnectionBytes + TLSBytes
	}
	return ConnectionBytes
}

// share returns the share of a listener that gets parts of the descriptors and of the memory for its
// connections, whose buffers have a size in bytes.
func (m Machine) share(descriptors, memory part, buffer int64, kind Kind) Share {
	bytes := int64(m.MemoryMB) * megabyte
	switch {
	case kind == Absent:
		return Share{}
	case bytes == 0:
		return Share{
			Connections: m.descriptors(descriptors),
		}
	}
	// Two buffers of the connection, and the receive buffer of one in the backlog.
	cost := kind.connectionBytes() + 3*KernelFactor*buffer
	connections := int(memory.of(bytes) / cost)
	connections = atMost(m.descriptors(descriptors), connections)
	return Share{
		Connections: connections,
		Backlog:     max(connections, minBacklog),
		HeldBytes:   max(bytes/heldPart, minHeldBytes),
		BufferBytes: int(buffer),
	}
}

// atMost returns a bound that is at most a limit, where 0 is no bound.
func atMost(bound, limit int) int {
	if bound == 0 {
		return limit
	}
	return min(bound, limit)
}

// descriptors returns a part of the descriptors, at least 1, or 0 if they are not known.
func (m Machine) descriptors(part part) int {
	if m.Descriptors == 0 {
		return 0
	}
	return max(1, (m.Descriptors-reservedDescriptors)*part.numerator/part.denominator)
}
