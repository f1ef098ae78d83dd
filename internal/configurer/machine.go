package configurer

// The sources of the values of Machine.
const (
	// SourceSettings is a value that Capacity states, and SourceDefault one that nothing states.
	SourceSettings = "Settings"
	SourceDefault  = "Default"
	// SourceControlGroup and SourceSystem are the memory of the process's control group and of
	// the system, and SourceProcess is a limit of the process.
	SourceControlGroup = "ControlGroup"
	SourceSystem       = "System"
	SourceProcess      = "Process"
)

// Machine is what bounds the memory and the descriptors of the instance: what Capacity states or
// else what the process may use. The program sets it; values in the settings file are ignored.
type Machine struct {
	// MemoryMB is the memory in megabytes of 1048576 bytes, and MemorySource says where the value
	// comes from.
	MemoryMB     float64
	MemorySource string
	// Descriptors is the number of files and connections, and DescriptorsSource says where the value
	// comes from.
	Descriptors       float64
	DescriptorsSource string
}

// WithMachine returns a copy in which Machine holds what Capacity states, and for the rest what the
// process may use.
func (s Settings) WithMachine(process Machine) Settings {
	stated := s.Capacity
	if stated.MemoryMB > 0 {
		process.MemoryMB = stated.MemoryMB
		process.MemorySource = SourceSettings
	}
	if stated.Descriptors > 0 {
		process.Descriptors = stated.Descriptors
		process.DescriptorsSource = SourceSettings
	}
	s.Machine = process
	return s
}

// MachineInForce returns what bounds the instance: Machine or, where WithMachine has not set it, what
// Capacity states.
func (s Settings) MachineInForce() Machine {
	if s.Machine.MemorySource != "" {
		return s.Machine
	}
	return s.WithMachine(Machine{}).Machine
}
