package steerer

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// linesPerSecond bounds the lines on requests of one kind of outcome, so that an
// overload does not drown all else. What is left out is counted in the next line.
const linesPerSecond = 20

// journal writes one line for each request that has ended. Safe for many
// goroutines; takes no lock.
type journal struct {
	log zerolog.Logger
	// refused holds the line budget of each reason, answered that of requests that
	// were answered, and failed that of answers in which the upstream says that it
	// failed.
	refused  map[arbiter.Reason]*lineBudget
	answered *lineBudget
	failed   *lineBudget
}

func newJournal(log zerolog.Logger, registry metrics.Registry) *journal {
	j := &journal{
		log:      log,
		refused:  map[arbiter.Reason]*lineBudget{},
		answered: newLineBudget("Answered", registry),
		failed:   newLineBudget("AnsweredFailure", registry),
	}
	for _, reason := range arbiter.Reasons() {
		j.refused[reason] = newLineBudget(string(reason), registry)
	}
	return j
}

// ended writes the line of a request. A request that may have run without an
// answer always has one.
func (j *journal) ended(outcome receiver.Outcome) {
	refusal := outcome.Refusal
	if refusal == nil {
		j.answer(outcome)
		return
	}
	budget, found := j.refused[refusal.Reason]
	left, ok := int64(0), true
	if found {
		left, ok = budget.take(outcome.Ended)
	}
	if !ok && refusal.Verdict != arbiter.MayHaveRun {
		return
	}
	write(j.log.Info(), outcome, left).
		Str("Verdict", refusal.Verdict.String()).
		Str("Reason", string(refusal.Reason)).
		Str("Detail", refusal.Detail).
		AnErr("Cause", refusal.Unwrap()).
		Msg("Refused")
}

// answer writes the line of a request that was answered.
func (j *journal) answer(outcome receiver.Outcome) {
	budget := j.answered
	if outcome.Status >= http.StatusInternalServerError {
		budget = j.failed
	}
	if left, ok := budget.take(outcome.Ended); ok {
		write(j.log.Info(), outcome, left).Msg("Answered")
	}
}

// write adds what decided a request to a line.
func write(line *zerolog.Event, outcome receiver.Outcome, left int64) *zerolog.Event {
	line = line.
		Str("Request", outcome.ID).
		Str("Route", outcome.Route).
		Str("Service", outcome.Service).
		Str("Team", outcome.Team).
		Str("Upstream", outcome.Upstream).
		Int("Attempts", outcome.Attempts).
		Int("Status", outcome.Status).
		Uint64("Revision", outcome.Revision).
		Uint64("Plan", outcome.Generation).
		Int64("TookMillis", outcome.Ended.Sub(outcome.Arrived).Milliseconds())
	if !outcome.Deadline.IsZero() {
		line = line.Int64("LimitMillis", outcome.Deadline.Sub(outcome.Arrived).Milliseconds())
	}
	if left > 0 {
		line = line.Int64("LeftOut", left)
	}
	return line
}

// lineBudget bounds the lines of one kind a second. Safe for many goroutines.
type lineBudget struct {
	// second is the Unix second that count is for.
	second atomic.Int64
	count  atomic.Int64
	// leftOut counts the lines left out since the last one written.
	leftOut atomic.Int64
	total   metrics.Counter
}

func newLineBudget(kind string, registry metrics.Registry) *lineBudget {
	return &lineBudget{
		total: metrics.GetOrRegisterCounter("hemlockport_log_lines_left_out_total{kind=\""+kind+"\"}", registry),
	}
}

// take says whether a line may be written now, and how many were left out before
// it.
func (b *lineBudget) take(now time.Time) (int64, bool) {
	second := now.Unix()
	if before := b.second.Load(); before != second && b.second.CompareAndSwap(before, second) {
		b.count.Store(0)
	}
	if b.count.Add(1) > linesPerSecond {
		b.leftOut.Add(1)
		b.total.Inc(1)
		return 0, false
	}
	return b.leftOut.Swap(0), true
}
