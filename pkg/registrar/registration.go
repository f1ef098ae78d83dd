package registrar

import "github.com/hemlockport/hemlockport/pkg/declarer"

// Registration is the object with which an upstream registers itself with the platform.
type Registration struct {
	// Service is the name of the service that the upstream serves.
	Service string
	// Version is the name of the service's build that the upstream runs. It is unique
	// within the service only.
	Version string
	// Upstream describes the upstream. Its Name is empty until WithName: the upstream
	// has the name of the registration's object in the store.
	Upstream declarer.Upstream
}

// WithName returns a copy with that name for the upstream.
func (r Registration) WithName(name string) Registration {
	r.Upstream.Name = name
	return r
}
