package server

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/pkg/command/budgeter"
)

// serverMetrics are the metrics of an instance other than those of its requests.
type serverMetrics struct {
	revision metrics.Gauge
	inFlight metrics.Gauge
	peers    metrics.Gauge
	// storeLost is since when the store has not answered, in seconds since the Unix
	// epoch; 0 while it answers.
	storeLost   metrics.Gauge
	sentFrames  metrics.Gauge
	sentBytes   metrics.Gauge
	lookups     metrics.Counter
	storeFaults metrics.Counter
	fetchFaults metrics.Counter
	// failedChanges counts the operators' changes that were refused, or whose
	// publication failed or is in doubt.
	failedChanges metrics.Counter
	suspicions    metrics.Counter
}

// newCallCounter returns a function that counts the calls to the platform by kind.
func newCallCounter(registry metrics.Registry) func(budgeter.Kind) {
	counters := map[budgeter.Kind]metrics.Counter{}
	for _, kind := range []budgeter.Kind{budgeter.Read, budgeter.Write, budgeter.Watch} {
		name := fmt.Sprintf("hemlockport_store_calls_total{kind=%q}", kind)
		counters[kind] = metrics.GetOrRegisterCounter(name, registry)
	}
	return func(kind budgeter.Kind) { counters[kind].Inc(1) }
}

func newServerMetrics(registry metrics.Registry) serverMetrics {
	return serverMetrics{
		revision:      metrics.GetOrRegisterGauge("hemlockport_config_revision", registry),
		inFlight:      metrics.GetOrRegisterGauge("hemlockport_requests_in_flight", registry),
		peers:         metrics.GetOrRegisterGauge("hemlockport_peers_linked", registry),
		storeLost:     metrics.GetOrRegisterGauge("hemlockport_store_lost_since_seconds", registry),
		sentFrames:    metrics.GetOrRegisterGauge("hemlockport_peer_frames_sent", registry),
		sentBytes:     metrics.GetOrRegisterGauge("hemlockport_peer_bytes_sent", registry),
		lookups:       metrics.GetOrRegisterCounter("hemlockport_lookups_total", registry),
		storeFaults:   metrics.GetOrRegisterCounter("hemlockport_store_faults_total", registry),
		fetchFaults:   metrics.GetOrRegisterCounter("hemlockport_config_fetch_faults_total", registry),
		failedChanges: metrics.GetOrRegisterCounter("hemlockport_changes_refused_total", registry),
		suspicions:    metrics.GetOrRegisterCounter("hemlockport_upstream_suspicions_total", registry),
	}
}
