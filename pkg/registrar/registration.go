package registrar

import "github.com/hemlockport/hemlockport/pkg/declarer"

// Registration is what an upstream says of itself to the platform.
type Registration struct {
	// Service names the service that the upstream serves.
	Service string
	// Version names the build of the service that it runs.
	Version string
	// Upstream lacks its name, which is that of the registration.
	Upstream declarer.Upstream
}

// WithName returns a copy whose upstream has that name.
func (r Registration) WithName(name string) Registration {
	r.Upstream.Name = name
	return r
}
