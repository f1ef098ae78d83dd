package steerer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockport/hemlockport/pkg/storer"
)

const (
	// reportTurnInterval is how long each instance waits for the one before it, in the
	// order of names, to report a move.
	reportTurnInterval = 700 * time.Millisecond
	// reportTimeout bounds the report of a move to the platform.
	reportTimeout = time.Second
)

// reportDue reports whether the state on the platform, which is empty before the first
// report, differs from the move's and it is this instance's turn to report.
func (m *trackedMove) reportDue(now time.Time) bool {
	return m.revision != 0 && m.order.State != m.state && !now.Before(m.nextReportAt)
}

// nextReportTurn returns the time from which it is this instance's turn to report. Each
// linked instance that precedes it by name has reportTurnInterval before.
func (s *Steerer) nextReportTurn(now time.Time) time.Time {
	return now.Add(time.Duration(s.countLinkedBefore(anyHeartbeat)) * reportTurnInterval)
}

// reportMove reports the state of a move to the platform. If another instance has
// reported first, the state on the platform prevails.
func (s *Steerer) reportMove(ctx context.Context, m trackedMove) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.platform.ReportMove(ctx, m.order.Move, m.state, m.revision)
	line := s.log.Info()
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		line = s.log.Warn()
	}
	line.Str("Service", m.order.Move.Service).Str("State", string(m.state)).Err(err).Msg("MoveReported")
}
