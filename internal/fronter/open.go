package fronter

import (
	"crypto/tls"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/binder"
	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// Spec describes a listener to open.
type Spec struct {
	// Name names the listener in log lines and metrics.
	Name string
	// Setting is the name of the setting that holds Address, a TCP address.
	Setting string
	Address string
	// Share is what the listener may hold.
	Share bounder.Share
	// TLS is the configuration of TLS, or nil to serve without it.
	TLS *tls.Config
}

// WithTLS returns a copy with a configuration of TLS, or nil to serve without it.
func (s Spec) WithTLS(config *tls.Config) Spec {
	s.TLS = config
	return s
}

// CallersSpec describes the listener for callers.
func CallersSpec(settings configurer.Settings, bounds bounder.Bounds) Spec {
	return Spec{
		Name:    "callers",
		Setting: "Callers.Listen",
		Address: settings.Callers.Listen,
		Share:   bounds.Callers,
	}
}

// LookupsSpec describes the listener for look-ups.
func LookupsSpec(settings configurer.Settings, bounds bounder.Bounds) Spec {
	return Spec{
		Name:    "lookups",
		Setting: "Lookups.Listen",
		Address: settings.Lookups.Listen,
		Share:   bounds.Lookups,
	}
}

// ReadinessSpec describes the listener for checks of the readiness.
func ReadinessSpec(settings configurer.Settings, bounds bounder.Bounds) Spec {
	return Spec{
		Name:    "readiness",
		Setting: "Readiness.Listen",
		Address: settings.Readiness.Listen,
		Share:   bounds.Readiness,
	}
}

// PeersSpec describes the listener for peers.
func PeersSpec(settings configurer.Settings, bounds bounder.Bounds) Spec {
	return Spec{
		Name:    "peers",
		Setting: "Peers.Listen",
		Address: settings.Peers.Listen,
		Share:   bounds.Peers,
	}
}

// OperatorsSpec describes the listener for operators and metrics.
func OperatorsSpec(settings configurer.Settings, bounds bounder.Bounds) Spec {
	return Spec{
		Name:    "operators",
		Setting: "Operators.Listen",
		Address: settings.Operators.Listen,
		Share:   bounds.Operators,
	}
}

// Open opens all listeners or none, and returns them in the order of their specs. They report to a
// registry and a log.
func Open(registry metrics.Registry, log zerolog.Logger, specs ...Spec) ([]*Listener, error) {
	bindings := make([]binder.Binding, 0, len(specs))
	for _, spec := range specs {
		bindings = append(bindings, binder.Binding{
			Setting:     spec.Setting,
			Address:     spec.Address,
			BufferBytes: spec.Share.BufferBytes,
			Backlog:     spec.Share.Backlog,
		})
	}
	opened, err := binder.Open(bindings...)
	if err != nil {
		return nil, err
	}
	listeners := make([]*Listener, 0, len(specs))
	for i, spec := range specs {
		listeners = append(listeners, newListener(opened[i], spec, newEvents(spec.Name, registry, log)))
	}
	return listeners, nil
}

// Close closes listeners that are not served.
func Close(listeners ...*Listener) {
	for _, listener := range listeners {
		listener.served.Close()
	}
}
