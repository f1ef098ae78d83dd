// Package splitter splits a limit on all instances together into fixed parts, one for
// each seat, whose sum never exceeds the limit (the escrow method, O'Neil 1986). The
// parts depend on the limit and on the seats only. Package sharer lends units between
// them.
//
// Instances of package server split all limits by seat. Those of package steerer split
// the teams' limits by demand (package apportioner), and by seat only the rate at which
// cold upstreams can serve.
package splitter

import (
	"hash/fnv"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

// clockMargin is the fraction by which each part's rate is reduced, because the clocks
// of instances may run fast by 200 parts per million.
const clockMargin = 200e-6

// Seat selects the part of every limit that an entry instance owns. A seat is the right
// to one part of every limit, held by one incarnation.
type Seat struct {
	// Index is the seat's position among all seats, from 0 to Count-1. It is not the
	// number of registrar.Seat, which counts within one failure domain.
	Index int
	// Count is the number of all seats; 0 means that there is no seat and hence no part.
	Count int
	// MinBurst is the smallest burst of a part that is not empty; 0 means 1.
	MinBurst int
}

// WithMinBurst returns a copy of the seat with another smallest burst. A large value
// concentrates small limits on few seats.
func (s Seat) WithMinBurst(minBurst int) Seat {
	s.MinBurst = minBurst
	return s
}

// Part returns the part of a limit that belongs to a seat. The burst is split into whole
// requests: evenly over all seats or, if each would get less than MinBurst, over as many
// as get that much, but at least one. Which seats these are depends on the resource, so
// that small bursts do not all go to the same ones. The rate is proportional to the
// burst, less clockMargin.
func Part(whole limiter.Limit, resource string, seat Seat) limiter.Limit {
	if seat.Count <= 0 || whole.IsZero() {
		return limiter.Limit{}
	}
	burst := burstOfSeat(whole.Burst, resource, seat)
	rate := whole.RatePerSecond * float64(burst) / float64(whole.Burst)
	return whole.WithBurst(burst).WithRate(rate * (1 - clockMargin))
}

// burstOfSeat returns the burst of a seat's part, which is 0 if the seat gets none.
func burstOfSeat(burst int, resource string, seat Seat) int {
	parts := min(max(burst/max(seat.MinBurst, 1), 1), seat.Count)
	position := (seat.Index + rotation(resource, seat.Count)) % seat.Count
	if position >= parts {
		return 0
	}
	if position < burst%parts {
		return burst/parts + 1
	}
	return burst / parts
}

// rotation returns by how many positions the seats are rotated for a resource, so that
// each resource prefers other seats.
func rotation(resource string, seatCount int) int {
	hash := fnv.New32a()
	hash.Write([]byte(resource))
	return int(hash.Sum32() % uint32(seatCount))
}
