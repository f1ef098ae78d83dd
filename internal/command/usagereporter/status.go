package usagereporter

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hemlockport/hemlockport/pkg/command/leaser"
	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

// status logs and counts what happens to the duty. Reporter.mu guards its fields that are not
// counters.
type status struct {
	log zerolog.Logger
	// holds is 1 while this instance holds the duty, token the fencing token of the holder that
	// it knows, since when that was first seen, in seconds since the Unix epoch, and lastWindow
	// the latest window that was decided.
	holds      metrics.Gauge
	token      metrics.Gauge
	since      metrics.Gauge
	lastWindow metrics.Gauge
	// The counters of calls to the store and to the platform, and of windows by what became
	// of them.
	reads         metrics.Counter
	writes        metrics.Counter
	storeFailures metrics.Counter
	calls         metrics.Counter
	callFailures  metrics.Counter
	recordedCount metrics.Counter
	incomplete    metrics.Counter
	skipped       metrics.Counter
	inTime        metrics.Counter
	late          metrics.Counter
	rejected      metrics.Counter
	// loggedToken is the token of the last line DutyHolder, and held is whether this instance
	// held the duty at the last update.
	loggedToken uint64
	held        bool
}

func newStatus(log zerolog.Logger, registry metrics.Registry) *status {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, registry) }
	return &status{
		log:           log,
		holds:         gauge("hemlockport_duty_holds"),
		token:         gauge("hemlockport_duty_token"),
		since:         gauge("hemlockport_duty_since_seconds"),
		lastWindow:    gauge("hemlockport_usage_last_window"),
		reads:         counter(`hemlockport_duty_store_calls_total{kind="read"}`),
		writes:        counter(`hemlockport_duty_store_calls_total{kind="write"}`),
		storeFailures: counter("hemlockport_duty_store_failures_total"),
		calls:         counter(`hemlockport_usage_calls_total{result="accepted"}`),
		callFailures:  counter(`hemlockport_usage_calls_total{result="failed"}`),
		recordedCount: counter(`hemlockport_usage_windows_total{state="recorded"}`),
		incomplete:    counter(`hemlockport_usage_windows_total{state="incomplete"}`),
		skipped:       counter(`hemlockport_usage_windows_total{state="skipped"}`),
		inTime:        counter(`hemlockport_usage_windows_total{state="in_time"}`),
		late:          counter(`hemlockport_usage_windows_total{state="late"}`),
		rejected:      counter(`hemlockport_usage_windows_total{state="rejected"}`),
	}
}

// update sets the gauges, and logs a change of the holder.
func (s *status) update(state leaser.State[meter.Ledger]) {
	record := state.View().Record
	s.token.Update(int64(record.Token))
	s.lastWindow.Update(record.Value.Last)
	s.holds.Update(0)
	if state.Holds() {
		s.holds.Update(1)
	}
	if s.held && !state.Holds() && !record.Released {
		s.log.Warn().Uint64("Token", record.Token).Str("Holder", record.Name).Msg("DutyLost")
	}
	s.held = state.Holds()
	if record.Token != s.loggedToken {
		s.loggedToken = record.Token
		s.since.Update(time.Now().Unix())
		s.log.Info().Str("Holder", record.Name).Str("Machine", record.Machine).Uint64("Token", record.Token).Msg("DutyHolder")
	}
}

// acquired logs that this instance has taken the duty over.
func (s *status) acquired(state, before leaser.State[meter.Ledger], untilFirst time.Duration) {
	view, previous := state.View(), before.View().Record
	s.log.Info().
		Uint64("Token", state.Token()).
		Uint64("Era", view.Position.Era).
		Uint64("Revision", view.Position.Revision).
		Str("Previous", previous.Name).
		Uint64("PreviousToken", previous.Token).
		Bool("PreviousReleased", previous.Released).
		Int64("LastWindow", view.Record.Value.Last).
		Int("Pending", len(view.Record.Value.Reports)).
		Int64("FirstCallMillis", untilFirst.Milliseconds()).
		Msg("DutyAcquired")
}

func (s *status) released(token uint64, reason string, lastErr error) {
	s.log.Info().Uint64("Token", token).Str("Reason", reason).AnErr("LastError", lastErr).Msg("DutyReleased")
}

// recordedWindows are the windows that a write of the record has decided.
type recordedWindows struct {
	before meter.Ledger
	record leaser.Record[meter.Ledger]
	now    time.Time
	length time.Duration
	// incomplete is a window whose counts were not complete.
	incomplete int64
	// progress says which reports were accepted.
	progress meter.Progress
}

// recorded logs the windows that a write has decided.
func (s *status) recorded(decided recordedWindows) {
	ledger, token := decided.record.Value, decided.record.Token
	for _, window := range ledger.GivenUp(decided.before, decided.progress) {
		s.skip(window, window, token)
	}
	next := decided.before.Last + 1
	for _, report := range ledger.Reports {
		if report.Window <= decided.before.Last {
			continue
		}
		s.skip(next, report.Window-1, token)
		next = report.Window + 1
		s.recordedCount.Inc(1)
		complete := report.Window != decided.incomplete
		if !complete {
			s.incomplete.Inc(1)
		}
		s.log.Info().
			Int64("Window", report.Window).
			Uint64("Token", token).
			Int64("Requests", report.Counts.Total()).
			Int("Teams", len(report.Counts)).
			Bool("Complete", complete).
			Int64("AgeMillis", decided.now.Sub(meter.EndOf(report.Window, decided.length)).Milliseconds()).
			Msg("WindowRecorded")
	}
	s.skip(next, ledger.Last, token)
}

// skip logs windows that are given up. Nothing is logged at the first take-over of a deployment.
func (s *status) skip(from, through int64, token uint64) {
	if from > through || from == 1 {
		return
	}
	s.skipped.Inc(through - from + 1)
	s.log.Warn().Int64("From", from).Int64("Through", through).Uint64("Token", token).Msg("WindowsSkipped")
}

// reported logs that the platform has accepted a report, or has rejected it for good.
func (s *status) reported(report meter.WindowCounts, token uint64, done term, err error, age, late time.Duration) {
	isLate := age > late
	line := s.log.Info()
	switch {
	case err != nil:
		s.rejected.Inc(1)
		line = s.log.Warn()
	case isLate:
		s.late.Inc(1)
		line = s.log.Warn()
	default:
		s.inTime.Inc(1)
	}
	if err == nil {
		s.calls.Inc(1)
	}
	line.
		Int64("Window", report.Window).
		Uint64("Token", token).
		Int64("AgeMillis", age.Milliseconds()).
		Bool("Late", isLate).
		Int("Attempts", done.attempts).
		AnErr("LastError", done.lastErr).
		Err(err).
		Msg("WindowReported")
}

func (s *status) callFailed(window int64, token uint64, err error) {
	s.callFailures.Inc(1)
	s.log.Warn().Int64("Window", window).Uint64("Token", token).Err(err).Msg("ReportFailed")
}

func (s *status) storeFailed(call string, err error) {
	s.storeFailures.Inc(1)
	s.log.Info().Str("Call", call).Err(err).Msg("DutyStoreFailed")
}
