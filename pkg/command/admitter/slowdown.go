package admitter

import (
	"math"
	"time"

	"github.com/hemlockport/hemlockport/pkg/registrar"
)

const (
	// shortSlowdownTime and longSlowdownTime are the time constants of the two averages of
	// what an upstream tells of its slowdown. It changes many times a second, so that one value
	// says little for longer than the short time.
	shortSlowdownTime = 200 * time.Millisecond
	longSlowdownTime  = 5 * time.Second
	// minSlowdown and maxSlowdown bound what an upstream can tell. The lower bound keeps one
	// that tells too low a value from attracting the requests for all of its objects, the
	// upper one lets one that tells too high a value be noticed again.
	minSlowdown = 0.5
	maxSlowdown = 8.0
)

// slowdown holds averages of how long work takes at an upstream, as a multiple of what is
// usual there. It is immutable.
type slowdown struct {
	short float64
	long  float64
	at    time.Time
}

// clampSlowdown returns the value that counts for a told slowdown.
func clampSlowdown(told float64) float64 {
	return min(max(told, minSlowdown), maxSlowdown)
}

// with returns the averages after the upstream has told another slowdown. The averages move
// towards it by more the longer ago the last one was told.
func (s *slowdown) with(told float64, now time.Time) *slowdown {
	told = clampSlowdown(told)
	if s == nil {
		return &slowdown{
			short: told,
			long:  told,
			at:    now,
		}
	}
	age := now.Sub(s.at)
	return &slowdown{
		short: told + (s.short-told)*fading(age, shortSlowdownTime),
		long:  told + (s.long-told)*fading(age, longSlowdownTime),
		at:    now,
	}
}

// fading returns what remains of a weight of 1 after an age.
func fading(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age, time.Millisecond).Seconds() / timeConstant.Seconds())
}

// expectedAt returns the expected slowdown: the short average, which fades to the long one, which
// fades to mean, the mean of all instances or 1.
func (s *slowdown) expectedAt(mean float64, now time.Time) float64 {
	if s == nil {
		return mean
	}
	age := now.Sub(s.at)
	long := mean + (s.long-mean)*fading(age, longSlowdownTime)
	return long + (s.short-long)*fading(age, shortSlowdownTime)
}

// recordSlowdown records the slowdown that a report tells.
func (u *Upstream) recordSlowdown(report registrar.Report, now time.Time) {
	if !report.HasLoad || report.Load.Slowdown <= 0 {
		return
	}
	u.slowdown.Store(u.slowdown.Load().with(report.Load.Slowdown, now))
}

// slowdownAt returns the expected slowdown of the upstream.
func (u *Upstream) slowdownAt(now time.Time) float64 {
	mean := 1.0
	if shared := u.sharedLoad.Load(); shared != nil && now.Before(shared.until) && shared.slowdown > 0 {
		mean = clampSlowdown(shared.slowdown)
	}
	return u.slowdown.Load().expectedAt(mean, now)
}

// expectedTimeAt returns the expected time to an answer (see candidate.ExpectedTime).
func (u *Upstream) expectedTimeAt(now time.Time) float64 {
	wait := max(u.meanLoadAt(now)-waitFreeLoad, 0)
	return u.slowdownAt(now) * (1 + wait)
}
