package configurer

import "fmt"

// Capacity states what the machine of the instance offers. The instance bounds what it
// holds for callers, look-ups and readiness checks by it (see bounder.Machine.Bounds). A
// field that is 0, the default, sets no bound.
type Capacity struct {
	// MemoryMB is the memory in megabytes of 1048576 bytes. 0, or 64 to 1000000.
	MemoryMB int
	// Descriptors is the number of file descriptors, with those that the platform reserves
	// for files. 0, or 300 to 1000000.
	Descriptors int
}

const (
	// minMemoryMB leaves room for the program itself and for one request with the largest
	// head that is legal.
	minMemoryMB = 64
	// minDescriptors leaves some descriptors beside the 200 that are reserved for files.
	minDescriptors = 300
)

func (v *validation) checkCapacity(capacity Capacity) {
	v.checkZeroOrRange("Capacity.MemoryMB", capacity.MemoryMB, minMemoryMB)
	v.checkZeroOrRange("Capacity.Descriptors", capacity.Descriptors, minDescriptors)
}

// checkZeroOrRange checks that a value is 0 or between a minimum and maxCount.
func (v *validation) checkZeroOrRange(field string, value, minimum int) {
	ok := value == 0 || value >= minimum && value <= maxCount
	v.require(ok, field, fmt.Sprint(value), fmt.Sprintf("0, or %d to %d", minimum, maxCount))
}
