// Package exporter counts what happens and gives the counts out in the text
// format that common collectors read.
package exporter

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// bucketMillis are the upper bounds of the latency buckets, in milliseconds.
var bucketMillis = [...]int{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000}

// The names of the metrics of requests.
const (
	nameAnswered = "hemlockport_requests_answered_total"
	nameRefused  = "hemlockport_requests_refused_total"
	nameRetries  = "hemlockport_request_retries_total"
	nameLatency  = "hemlockport_request_latency_millis"
)

// Requests counts the requests of callers. Counting takes no lock.
type Requests struct {
	answered metrics.Counter
	retries  metrics.Counter
	// refused holds a counter for each reason.
	refused map[arbiter.Reason]metrics.Counter
	// latency counts the requests that took at most each bound, and all in the end.
	latency [len(bucketMillis) + 1]metrics.Counter
	sum     metrics.Counter
	count   metrics.Counter
}

// NewRequests registers the counters.
func NewRequests(registry metrics.Registry) *Requests {
	requests := &Requests{
		answered: metrics.GetOrRegisterCounter(nameAnswered, registry),
		retries:  metrics.GetOrRegisterCounter(nameRetries, registry),
		refused:  map[arbiter.Reason]metrics.Counter{},
		sum:      metrics.GetOrRegisterCounter(nameLatency+"_sum", registry),
	}
	for _, reason := range arbiter.Reasons() {
		name := fmt.Sprintf("%s{reason=%q}", nameRefused, reason)
		requests.refused[reason] = metrics.GetOrRegisterCounter(name, registry)
	}
	for i, bound := range bucketMillis {
		name := fmt.Sprintf("%s_bucket{le=\"%d\"}", nameLatency, bound)
		requests.latency[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	last := len(bucketMillis)
	requests.latency[last] = metrics.GetOrRegisterCounter(nameLatency+"_bucket{le=\"+Inf\"}", registry)
	requests.count = metrics.GetOrRegisterCounter(nameLatency+"_count", registry)
	return requests
}

// Count counts one request that has ended: answered if refusal is nil.
func (r *Requests) Count(refusal *arbiter.Refusal, arrived time.Time) {
	if refusal != nil {
		if counter, found := r.refused[refusal.Reason]; found {
			counter.Inc(1)
		}
		return
	}
	r.answered.Inc(1)
	taken := time.Since(arrived).Milliseconds()
	r.sum.Inc(taken)
	r.count.Inc(1)
	for i, bound := range bucketMillis {
		if taken <= int64(bound) {
			r.latency[i].Inc(1)
		}
	}
	r.latency[len(bucketMillis)].Inc(1)
}

// CountRetry counts one sending after the first.
func (r *Requests) CountRetry() {
	r.retries.Inc(1)
}
