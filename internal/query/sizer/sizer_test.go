package sizer_test

import (
	"testing"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/query/sizer"
)

// TestProcessIsBounded guards against settings without a machine that set no bound, or one that hides
// where it comes from.
func TestProcessIsBounded(t *testing.T) {
	process := sizer.Process()
	if process.MemoryMB <= 0 || process.MemoryMB > sizer.DefaultMemoryMB || process.MemorySource == "" {
		t.Errorf("got %v MB from %q, want at most %d MB and their source", process.MemoryMB, process.MemorySource, sizer.DefaultMemoryMB)
	}
	if process.Descriptors <= 0 || process.DescriptorsSource == "" {
		t.Errorf("got %v descriptors from %q, want some and their source", process.Descriptors, process.DescriptorsSource)
	}
}

// TestStatedMachineIsInForce guards against a default that replaces what the settings state.
func TestStatedMachineIsInForce(t *testing.T) {
	process := configurer.Machine{
		MemoryMB:          256,
		MemorySource:      configurer.SourceDefault,
		Descriptors:       1024,
		DescriptorsSource: configurer.SourceProcess,
	}
	cases := []struct {
		name   string
		stated configurer.Capacity
		want   configurer.Machine
	}{
		{
			name: "nothing",
			want: process,
		},
		{
			name: "memory",
			stated: configurer.Capacity{
				MemoryMB: 1000,
			},
			want: configurer.Machine{
				MemoryMB:          1000,
				MemorySource:      configurer.SourceSettings,
				Descriptors:       1024,
				DescriptorsSource: configurer.SourceProcess,
			},
		},
		{
			name: "both",
			stated: configurer.Capacity{
				MemoryMB:    64,
				Descriptors: 300,
			},
			want: configurer.Machine{
				MemoryMB:          64,
				MemorySource:      configurer.SourceSettings,
				Descriptors:       300,
				DescriptorsSource: configurer.SourceSettings,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := configurer.Defaults()
			settings.Capacity = c.stated
			if got := settings.WithMachine(process).Machine; got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestDivide guards against instances in one process that together use more than it may.
func TestDivide(t *testing.T) {
	whole := configurer.Machine{
		MemoryMB:    256,
		Descriptors: 1024,
	}
	const instances = 4
	each := sizer.Divide(whole, instances)
	// The program's own memory is part of each and is taken once.
	const programMB = 24
	if total := programMB + instances*(each.MemoryMB-programMB); total > whole.MemoryMB {
		t.Errorf("got %v MB for all instances, want at most %v", total, whole.MemoryMB)
	}
	if total := instances * each.Descriptors; total > whole.Descriptors {
		t.Errorf("got %v descriptors for all instances, want at most %v", total, whole.Descriptors)
	}
	if got := sizer.Divide(configurer.Machine{}, instances); got != (configurer.Machine{}) {
		t.Errorf("got %+v for a machine that states nothing, want the same", got)
	}
}
