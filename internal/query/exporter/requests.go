// Package exporter counts the requests of callers and exports metrics in the Prometheus
// text format, which common collectors read.
package exporter

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// latencyBucketMillis are the upper bounds of the latency buckets, in milliseconds.
var latencyBucketMillis = [...]int{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000}

// Names of the metrics of requests.
const (
	nameAnswered = "hemlockport_requests_answered_total"
	nameRefused  = "hemlockport_requests_refused_total"
	// nameRefusedAfterAttempt counts the refusals of requests for which an attempt was made, by
	// their verdict.
	nameRefusedAfterAttempt = "hemlockport_requests_refused_after_attempt_total"

	// nameMalformed counts the malformed answers of upstreams, also those of attempts after which
	// the request was sent again, by the part of the answer that was malformed.
	nameMalformed = "hemlockport_malformed_answers_total"

	nameRetries  = "hemlockport_request_retries_total"
	nameAttempts = "hemlockport_request_attempts_total"
	nameLatency  = "hemlockport_request_latency_millis"
)

// attemptRanks are the values of the label rank: of an attempt without an order of
// preference, at the most preferred upstream, at the second, and at any other.
var attemptRanks = [...]string{"none", "1", "2", "other"}

// RequestCounters counts the requests of callers. Counting takes no lock.
type RequestCounters struct {
	answered metrics.Counter
	retries  metrics.Counter
	// attempts holds a counter for each of attemptRanks.
	attempts [len(attemptRanks)]metrics.Counter
	// refused holds a counter for each reason of a refusal.
	refused map[arbiter.Reason]metrics.Counter
	// refusedAfterAttempt holds a counter for each verdict of a refusal.
	refusedAfterAttempt map[arbiter.Verdict]metrics.Counter
	// malformed holds a counter for each part of an answer.
	malformed map[inspector.Part]metrics.Counter
	// latencyBuckets counts, for each bound in latencyBucketMillis, the requests that
	// took at most that long. The last counter counts all requests.
	latencyBuckets [len(latencyBucketMillis) + 1]metrics.Counter
	latencySum     metrics.Counter
	latencyCount   metrics.Counter
}

// NewRequestCounters returns counters that are registered with a registry.
func NewRequestCounters(registry metrics.Registry) *RequestCounters {
	counters := &RequestCounters{
		answered:            metrics.GetOrRegisterCounter(nameAnswered, registry),
		retries:             metrics.GetOrRegisterCounter(nameRetries, registry),
		refused:             map[arbiter.Reason]metrics.Counter{},
		refusedAfterAttempt: map[arbiter.Verdict]metrics.Counter{},
		malformed:           map[inspector.Part]metrics.Counter{},
		latencySum:          metrics.GetOrRegisterCounter(nameLatency+"_sum", registry),
	}
	for i, rank := range attemptRanks {
		name := fmt.Sprintf("%s{rank=%q}", nameAttempts, rank)
		counters.attempts[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	for _, reason := range arbiter.Reasons() {
		name := fmt.Sprintf("%s{reason=%q}", nameRefused, reason)
		counters.refused[reason] = metrics.GetOrRegisterCounter(name, registry)
	}
	for _, verdict := range []arbiter.Verdict{arbiter.NotRun, arbiter.MayHaveRun} {
		name := fmt.Sprintf("%s{verdict=%q}", nameRefusedAfterAttempt, verdict)
		counters.refusedAfterAttempt[verdict] = metrics.GetOrRegisterCounter(name, registry)
	}
	for _, part := range inspector.Parts() {
		name := fmt.Sprintf("%s{part=%q}", nameMalformed, part)
		counters.malformed[part] = metrics.GetOrRegisterCounter(name, registry)
	}
	for i, bound := range latencyBucketMillis {
		name := fmt.Sprintf("%s_bucket{le=\"%d\"}", nameLatency, bound)
		counters.latencyBuckets[i] = metrics.GetOrRegisterCounter(name, registry)
	}
	infinity := len(latencyBucketMillis)
	counters.latencyBuckets[infinity] = metrics.GetOrRegisterCounter(nameLatency+"_bucket{le=\"+Inf\"}", registry)
	counters.latencyCount = metrics.GetOrRegisterCounter(nameLatency+"_count", registry)
	return counters
}

// Count counts one request that has ended. It was answered if refusal is nil, and refused
// otherwise.
func (r *RequestCounters) Count(refusal *arbiter.Refusal, arrived time.Time) {
	if refusal != nil {
		if counter, found := r.refused[refusal.Reason]; found {
			counter.Inc(1)
		}
		return
	}
	r.answered.Inc(1)
	tookMillis := time.Since(arrived).Milliseconds()
	r.latencySum.Inc(tookMillis)
	r.latencyCount.Inc(1)
	for i, bound := range latencyBucketMillis {
		if tookMillis <= int64(bound) {
			r.latencyBuckets[i].Inc(1)
		}
	}
	r.latencyBuckets[len(latencyBucketMillis)].Inc(1)
}

// CountRefusedAfterAttempt counts one refusal of a request for which an attempt was made.
func (r *RequestCounters) CountRefusedAfterAttempt(verdict arbiter.Verdict) {
	if counter, found := r.refusedAfterAttempt[verdict]; found {
		counter.Inc(1)
	}
}

// CountMalformedAnswer counts one answer of an upstream of which a part was malformed.
func (r *RequestCounters) CountMalformedAnswer(part inspector.Part) {
	if counter, found := r.malformed[part]; found {
		counter.Inc(1)
	}
}

// CountRetry counts one retry of a request.
func (r *RequestCounters) CountRetry() {
	r.retries.Inc(1)
}

// CountAttempt counts one attempt to send a request, by the rank of its upstream in the
// order of preference of the request's object, or 0 without such an order.
func (r *RequestCounters) CountAttempt(rank int) {
	r.attempts[min(rank, len(r.attempts)-1)].Inc(1)
}
