package steerer

import "github.com/rcrowley/go-metrics"

// lookupCounters counts look-ups by their outcome. The counters are safe for concurrent use.
type lookupCounters struct {
	answered metrics.Counter
	// notReady counts look-ups before the first declaration was known, and empty those for
	// which no instance was available. Both are refused.
	notReady metrics.Counter
	empty    metrics.Counter
	// shared counts look-ups from addresses that several callers share, which are answered
	// with all of the nearest instances.
	shared metrics.Counter
}

func newLookupCounters(registry metrics.Registry) lookupCounters {
	counter := func(outcome string) metrics.Counter {
		return metrics.GetOrRegisterCounter("hemlockport_lookups_total{outcome=\""+outcome+"\"}", registry)
	}
	return lookupCounters{
		answered: counter("answered"),
		notReady: counter("not_ready"),
		empty:    counter("no_instance"),
		shared:   metrics.GetOrRegisterCounter("hemlockport_lookups_shared_address_total", registry),
	}
}
