package steerer

import (
	"context"
	"time"
)

// sleepMeasured waits for a time, as sleep does, and records how late the timer has fired. An
// instance that states its capacity reports in its heartbeats when it is saturated.
func (s *Steerer) sleepMeasured(ctx context.Context, wait time.Duration) bool {
	begun := time.Now()
	if !sleep(ctx, wait) {
		return false
	}
	if !s.self.Capacity.IsKnown() {
		return true
	}
	now := time.Now()
	s.saturation = s.saturation.WithSample(now.Sub(begun)-wait, now)
	if s.saturated.Swap(s.saturation.IsSaturated()) == s.saturation.IsSaturated() {
		return true
	}
	s.log.Info().
		Bool("Saturated", s.saturation.IsSaturated()).
		Int64("LatenessMillis", s.saturation.Lateness().Milliseconds()).
		Msg("SaturationChanged")
	s.locatorUpdates.Request()
	return true
}
