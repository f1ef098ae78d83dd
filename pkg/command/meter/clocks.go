package meter

import (
	"maps"
	"slices"
	"time"
)

const (
	// sampleValidity is how long the clock of a peer counts after it was last reported.
	sampleValidity = 20 * time.Second
	// minSamples is the number of clocks, including the instance's own, from which the median
	// is taken. With fewer, a wrong clock cannot be told from a right one.
	minSamples = 3
	// maxDrift is how far the instance's own clock may be from the estimate to correct it
	// while there are fewer clocks. A larger difference is taken for a jump.
	maxDrift = 250 * time.Millisecond
)

// Clocks estimates true time: the median of the clocks that this instance and its peers report,
// advanced by a clock of this machine that does not jump. It is immutable.
type Clocks struct {
	// offset is the estimate: true time since 1970 less the instant of the own machine.
	offset time.Duration
	// samples are the offsets by the source that reported them.
	samples map[string]clockSample
}

// clockSample is the offset that a clock has shown.
type clockSample struct {
	offset time.Duration
	// until is the instant from which it no longer counts.
	until time.Duration
}

// NewClocks returns the estimate by the own clock alone, which shows wall at an instant.
func NewClocks(wall time.Time, at time.Duration) Clocks {
	return Clocks{
		offset: time.Duration(wall.UnixNano()) - at,
	}
}

// ownClock is the source of the instance's own clock.
const ownClock = ""

// WithPeer returns the estimate after a peer has reported what its clock shows.
func (c Clocks) WithPeer(peer string, wall time.Time, at time.Duration) Clocks {
	return c.withSample(peer, wall, at)
}

// WithOwn returns the estimate after the own clock was read. The median is taken here.
func (c Clocks) WithOwn(wall time.Time, at time.Duration) Clocks {
	c = c.withSample(ownClock, wall, at)
	offsets := make([]time.Duration, 0, len(c.samples))
	for _, sample := range c.samples {
		offsets = append(offsets, sample.offset)
	}
	if len(offsets) < minSamples {
		own := c.samples[ownClock].offset
		if (own - c.offset).Abs() <= maxDrift {
			c.offset = own
		}
		return c
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	c.offset = offsets[middle]
	if len(offsets)%2 == 0 {
		c.offset = (offsets[middle-1] + offsets[middle]) / 2
	}
	return c
}

func (c Clocks) withSample(source string, wall time.Time, at time.Duration) Clocks {
	next := maps.Clone(c.samples)
	if next == nil {
		next = map[string]clockSample{}
	}
	maps.DeleteFunc(next, func(_ string, sample clockSample) bool { return at >= sample.until })
	next[source] = clockSample{
		offset: time.Duration(wall.UnixNano()) - at,
		until:  at + sampleValidity,
	}
	c.samples = next
	return c
}

// At returns the true time of an instant.
func (c Clocks) At(at time.Duration) time.Time {
	return time.Unix(0, int64(c.offset+at))
}

// Anchor ties true time to a reading of the monotonic clock, so that the path of a request
// needs no other clock. It is immutable.
type Anchor struct {
	// Read is a reading of the monotonic clock, and True the true time of that moment.
	Read time.Time
	True time.Time
}

// At returns the true time of a reading of the monotonic clock.
func (a Anchor) At(reading time.Time) time.Time {
	return a.True.Add(reading.Sub(a.Read))
}
