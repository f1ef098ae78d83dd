package configurer

import "fmt"

// Capacity is what the instance's machine can bear. Look-ups name the instances of a failure
// domain to callers in proportion to it, and an instance with a known capacity reports when its
// processor is used up. Each field is 0 to 1000000; 0, the default, means that it is not known.
// If no instance of a failure domain states a capacity, look-ups name all of them to each
// caller. The fields are fractional because platforms also write whole numbers as 136.0. Only
// AdapterThimblegate uses it.
type Capacity struct {
	// Cores is the processor time that the instance may use, in cores.
	Cores float64
	// LinkMbits is the rate of the network link, in Mbit/s.
	LinkMbits float64
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64
	// Descriptors is the number of files and connections that the process may open.
	Descriptors float64
}

func (v *validation) checkCapacity(capacity Capacity) {
	v.checkQuantity("Capacity.Cores", capacity.Cores)
	v.checkQuantity("Capacity.LinkMbits", capacity.LinkMbits)
	v.checkQuantity("Capacity.MemoryMB", capacity.MemoryMB)
	v.checkQuantity("Capacity.Descriptors", capacity.Descriptors)
}

// checkQuantity checks that a value is a number from 0 to maxCount.
func (v *validation) checkQuantity(field string, value float64) {
	v.require(value >= 0 && value <= maxCount, field, fmt.Sprint(value), "0 to 1000000")
}
