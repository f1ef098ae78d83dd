// Package sizer tells how much memory and how many descriptors the process may use, for settings
// that do not state the machine.
package sizer

import (
	"github.com/KimMachineGun/automemlimit/memlimit"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

const (
	// DefaultMemoryMB is the memory that the process uses at most if nothing states less, in megabytes
	// of 1048576 bytes. The process does not take more of a larger machine, whose memory others may
	// use too.
	DefaultMemoryMB = 256
	// DefaultDescriptors is the number of descriptors on systems that do not tell the limit of the
	// process.
	DefaultDescriptors = 4096
	// maxDescriptors is the largest number that the settings can state.
	maxDescriptors = 1_000_000
	megabyte       = 1 << 20
)

// Process returns what the process may use.
func Process() configurer.Machine {
	machine := configurer.Machine{
		MemoryMB:          DefaultMemoryMB,
		MemorySource:      configurer.SourceDefault,
		Descriptors:       DefaultDescriptors,
		DescriptorsSource: configurer.SourceDefault,
	}
	limits := []struct {
		provider memlimit.Provider
		source   string
	}{
		{
			provider: memlimit.FromCgroup,
			source:   configurer.SourceControlGroup,
		},
		{
			provider: memlimit.FromSystem,
			source:   configurer.SourceSystem,
		},
	}
	for _, limit := range limits {
		// An error means that there is no such limit.
		bytes, err := limit.provider()
		if err == nil && bytes/megabyte < uint64(machine.MemoryMB) {
			machine.MemoryMB = float64(bytes / megabyte)
			machine.MemorySource = limit.source
		}
	}
	if descriptors := descriptorLimit(); descriptors > 0 {
		machine.Descriptors = float64(min(descriptors, maxDescriptors))
		machine.DescriptorsSource = configurer.SourceProcess
	}
	return machine
}

// Divide returns what each of several instances in one process may use. They share the memory that
// the program itself takes. A machine that states nothing stays one.
func Divide(machine configurer.Machine, instances int) configurer.Machine {
	if machine == (configurer.Machine{}) {
		return machine
	}
	const programMB = bounder.ProgramBytes / megabyte
	parts := float64(instances)
	machine.MemoryMB = max(programMB, programMB+(machine.MemoryMB-programMB)/parts)
	machine.Descriptors /= parts
	return machine
}
