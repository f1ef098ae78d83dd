package fronter

import (
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// MaxInFlight returns how many requests run at the same time: as many as the settings say,
// and no more than the machine has descriptors for.
func MaxInFlight(settings configurer.Settings) int {
	limit := settings.Callers.MaxInFlight
	if bound := BoundsOf(settings).InFlight; bound > 0 {
		limit = min(limit, bound)
	}
	return limit
}

// BoundsOf returns the bounds for the machine in the settings, and the listeners that they name.
func BoundsOf(settings configurer.Settings) bounder.Bounds {
	capacity := settings.MachineInForce()
	machine := bounder.Machine{
		MemoryMB:    int(capacity.MemoryMB),
		Descriptors: int(capacity.Descriptors),
		Listeners: bounder.Listeners{
			Callers:   kindOf(settings.Callers.CertificateFile),
			Peers:     kindOf(settings.Peers.CertificateFile),
			Operators: kindOf(settings.Operators.CertificateFile),
		},
	}
	if settings.Platform.Adapter == configurer.AdapterOwn {
		machine.Listeners.Lookups = bounder.Absent
		machine.Listeners.Readiness = bounder.Absent
	}
	return machine.Bounds()
}

// kindOf returns the kind of a listener by the file of its certificate.
func kindOf(certificateFile string) bounder.Kind {
	if certificateFile == "" {
		return bounder.Plain
	}
	return bounder.Secured
}
