package steerer

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// maxLinesPerSecond bounds the log lines for requests with the same kind of outcome, so
// that they do not crowd out all other lines under overload. The next line that is
// written holds the number of lines left out.
const maxLinesPerSecond = 20

// requestLog writes one log line for each request that has ended. It is safe for
// concurrent use and takes no lock.
type requestLog struct {
	log zerolog.Logger
	// refused holds a limiter for each reason of a refusal. answered is the limiter of
	// answered requests, and failed that of failed answers, whose status is 500 or above.
	refused  map[arbiter.Reason]*lineLimiter
	answered *lineLimiter
	failed   *lineLimiter
}

func newRequestLog(log zerolog.Logger, registry metrics.Registry) *requestLog {
	l := &requestLog{
		log:      log,
		refused:  map[arbiter.Reason]*lineLimiter{},
		answered: newLineLimiter("Answered", registry),
		failed:   newLineLimiter("AnsweredFailure", registry),
	}
	for _, reason := range arbiter.Reasons() {
		l.refused[reason] = newLineLimiter(string(reason), registry)
	}
	return l
}

// requestEnded writes the line of a request. The line of a request that may have run
// but got no answer is never left out.
func (l *requestLog) requestEnded(outcome receiver.Outcome) {
	refusal := outcome.Refusal
	if refusal == nil {
		l.writeAnswered(outcome)
		return
	}
	limiter, found := l.refused[refusal.Reason]
	leftOut, ok := int64(0), true
	if found {
		leftOut, ok = limiter.allow(outcome.Ended)
	}
	if !ok && refusal.Verdict != arbiter.MayHaveRun {
		return
	}
	addRequestFields(l.log.Info(), outcome, leftOut).
		Str("Verdict", refusal.Verdict.String()).
		Str("Reason", string(refusal.Reason)).
		Str("Detail", refusal.Detail).
		AnErr("Cause", refusal.Unwrap()).
		Msg("Refused")
}

// writeAnswered writes the line of a request that was answered.
func (l *requestLog) writeAnswered(outcome receiver.Outcome) {
	limiter := l.answered
	if outcome.Status >= http.StatusInternalServerError {
		limiter = l.failed
	}
	if leftOut, ok := limiter.allow(outcome.Ended); ok {
		addRequestFields(l.log.Info(), outcome, leftOut).Msg("Answered")
	}
}

// addRequestFields adds the outcome of a request, and what determined it, to a line.
func addRequestFields(line *zerolog.Event, outcome receiver.Outcome, leftOut int64) *zerolog.Event {
	line = line.
		Str("Request", outcome.ID).
		Str("Route", outcome.Route).
		Str("Service", outcome.Service).
		Str("Team", outcome.Team).
		Str("Upstream", outcome.Upstream).
		Int("Attempts", outcome.Attempts).
		Int("Status", outcome.Status).
		Int("CallerStatus", outcome.CallerStatus).
		Uint64("Revision", outcome.Revision).
		Uint64("Plan", outcome.Generation).
		Int64("TookMillis", outcome.Ended.Sub(outcome.Arrived).Milliseconds())
	if !outcome.Deadline.IsZero() {
		line = line.Int64("LimitMillis", outcome.Deadline.Sub(outcome.Arrived).Milliseconds())
	}
	if outcome.Attempts > 0 {
		line = addPlacementFields(line, outcome.Placement)
	}
	if len(outcome.Failures) > 0 {
		line = line.Array("Failures", failures{
			arrived:  outcome.Arrived,
			attempts: outcome.Failures,
		})
	}
	if outcome.Refused.Copies > 0 {
		line = line.
			Int("RefusedCopies", outcome.Refused.Copies).
			Float64("RefusedExpectedTime", roundLoad(outcome.Refused.ExpectedTime))
	}
	if outcome.LoadBound > 0 {
		line = line.Float64("LoadBound", roundLoad(outcome.LoadBound))
	}
	if outcome.Queue.Cause != "" {
		line = addQueueFields(line, outcome)
	}
	if leftOut > 0 {
		line = line.Int64("LeftOut", leftOut)
	}
	return line
}

// failures writes the failed attempts of a request as an array of objects.
type failures struct {
	arrived  time.Time
	attempts []receiver.FailedAttempt
}

// MarshalZerologArray adds an object for each attempt.
func (f failures) MarshalZerologArray(array *zerolog.Array) {
	for _, attempt := range f.attempts {
		fields := zerolog.Dict().
			Str("Upstream", attempt.Upstream).
			Int64("AfterMillis", attempt.SentAt.Sub(f.arrived).Milliseconds()).
			Int64("TookMillis", attempt.EndedAt.Sub(attempt.SentAt).Milliseconds()).
			Int("Status", attempt.Status).
			Str("Reason", string(attempt.Reason)).
			Str("Verdict", attempt.Verdict.String())
		if attempt.Detail != "" {
			fields = fields.Str("Detail", attempt.Detail)
		}
		array.Dict(fields)
	}
}

// addQueueFields adds what the queue did with a request, and what decided it.
func addQueueFields(line *zerolog.Event, outcome receiver.Outcome) *zerolog.Event {
	queue := outcome.Queue
	line = line.
		Str("Queue", string(queue.Cause)).
		Int("Priority", outcome.Priority).
		Int64("WaitedMillis", queue.Waited.Milliseconds())
	if queue.LevelShare > 0 {
		return line.Float64("LevelShare", roundLoad(queue.LevelShare))
	}
	line = line.Int("Ahead", queue.Ahead)
	if !queue.Expected.IsZero() {
		line = line.Int64("ExpectedMillis", queue.Expected.Sub(outcome.Arrived).Milliseconds())
	}
	return line
}

// roundLoad rounds a load to hundredths.
func roundLoad(load float64) float64 {
	const hundredths = 100
	return math.Round(load*hundredths) / hundredths
}

// addPlacementFields adds what the choice of an upstream was based on.
func addPlacementFields(line *zerolog.Event, placement admitter.Placement) *zerolog.Event {
	line = line.
		Int("Rank", placement.Rank).
		Float64("Load", roundLoad(placement.Load))
	if placement.Copies > 0 {
		line = line.
			Int("Copies", placement.Copies).
			Float64("ExpectedTime", roundLoad(placement.ExpectedTime))
	}
	if !placement.LoadObservedAt.IsZero() {
		line = line.Int64("LoadAgeMillis", placement.ChosenAt.Sub(placement.LoadObservedAt).Milliseconds())
	}
	return line
}

// lineLimiter bounds the log lines of one kind per second. It is safe for concurrent
// use.
type lineLimiter struct {
	// second is the Unix second that count applies to.
	second atomic.Int64
	count  atomic.Int64
	// leftOut counts the lines left out since the last one that was written.
	leftOut      atomic.Int64
	totalLeftOut metrics.Counter
}

func newLineLimiter(kind string, registry metrics.Registry) *lineLimiter {
	return &lineLimiter{
		totalLeftOut: metrics.GetOrRegisterCounter("hemlockport_log_lines_left_out_total{kind=\""+kind+"\"}", registry),
	}
}

// allow reports whether a line may be written now, and returns how many lines were left
// out before it.
func (l *lineLimiter) allow(now time.Time) (int64, bool) {
	second := now.Unix()
	if before := l.second.Load(); before != second && l.second.CompareAndSwap(before, second) {
		l.count.Store(0)
	}
	if l.count.Add(1) > maxLinesPerSecond {
		l.leftOut.Add(1)
		l.totalLeftOut.Inc(1)
		return 0, false
	}
	return l.leftOut.Swap(0), true
}
