package registrar

// Capacity is what the machine of an entry instance can bear. A field is 0 if it is not known.
// It is immutable.
type Capacity struct {
	// Cores is the processor time that the instance may use, in cores.
	Cores float64 `cbor:",omitempty"`
	// LinkMbits is the rate of the machine's network link, in Mbit/s.
	LinkMbits float64 `cbor:",omitempty"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64 `cbor:",omitempty"`
	// Descriptors is the number of files and connections that the process may open.
	Descriptors float64 `cbor:",omitempty"`
}

// IsKnown reports whether any field is known.
func (c Capacity) IsKnown() bool {
	return c != Capacity{}
}

// Resources returns the fields in a fixed order.
func (c Capacity) Resources() [4]float64 {
	return [4]float64{c.Cores, c.LinkMbits, c.MemoryMB, c.Descriptors}
}

// WithCapacity returns a copy with that capacity.
func (m Member) WithCapacity(capacity Capacity) Member {
	m.Capacity = capacity
	return m
}
