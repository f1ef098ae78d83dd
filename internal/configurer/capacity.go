package configurer

import "fmt"

// Capacity states what the machine of the instance offers. Memory and descriptors bound what
// the instance holds for what its listeners receive (see bounder.Machine.Bounds); where one of
// them is not stated, the process's own limits do (see Machine). If Cores or LinkMbits is known,
// the instance states its capacity to the others: look-ups then name the instances of a failure
// domain to callers in proportion to their capacities, and the instance reports when its
// processor is used up. Each field is 0 to 1000000; 0, the default, means that it is not stated.
// The fields are fractional because platforms also write whole numbers as 136.0.
type Capacity struct {
	// Cores is the processor time that the instance may use, in cores. Only
	// AdapterThimblegate uses it.
	Cores float64
	// LinkMbits is the rate of the network link, in Mbit/s. Only AdapterThimblegate uses it.
	LinkMbits float64
	// MemoryMB is the memory that the process may use, in megabytes of 1048576 bytes. 0, or
	// 64 to 1000000.
	MemoryMB float64
	// Descriptors is the number of files and connections that the process may open, with
	// those that the platform reserves for files. 0, or 300 to 1000000.
	Descriptors float64
}

const (
	// minMemoryMB leaves room for the program itself and for one request with the largest
	// head that is legal.
	minMemoryMB = 64
	// minDescriptors leaves some descriptors beside the 200 that are reserved for files.
	minDescriptors = 300
)

// StatesCapacity reports whether the instance states its capacity to the others.
func (c Capacity) StatesCapacity() bool {
	return c.Cores > 0 || c.LinkMbits > 0
}

func (v *validation) checkCapacity(capacity Capacity) {
	v.checkZeroOrRange("Capacity.Cores", capacity.Cores, 0)
	v.checkZeroOrRange("Capacity.LinkMbits", capacity.LinkMbits, 0)
	v.checkZeroOrRange("Capacity.MemoryMB", capacity.MemoryMB, minMemoryMB)
	v.checkZeroOrRange("Capacity.Descriptors", capacity.Descriptors, minDescriptors)
}

// checkZeroOrRange checks that a value is 0 or between a minimum and maxCount.
func (v *validation) checkZeroOrRange(field string, value, minimum float64) {
	rule := fmt.Sprintf("0, or %v to %d", minimum, maxCount)
	if minimum == 0 {
		rule = fmt.Sprintf("0 to %d", maxCount)
	}
	v.require(value == 0 || value >= minimum && value <= maxCount, field, fmt.Sprint(value), rule)
}
