// Package splitter splits a limit on all instances together into parts whose sum never
// exceeds the limit (the escrow method, O'Neil 1986).
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
	// Index is the number of the seat, from 0 to Count-1.
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

// Part returns the part of a limit that belongs to a seat. A burst is split into whole
// requests. One that is too small for all seats is split over some of them, which
// depend on the resource, so that small bursts do not all go to the same seats. The
// rate is proportional to the burst.
func Part(whole limiter.Limit, resource string, seat Seat) limiter.Limit {
	if seat.Count <= 0 || whole.IsZero() {
		return limiter.Limit{}
	}
	burst := burstOfSeat(whole.Burst, resource, seat)
	rate := whole.RatePerSecond * float64(burst) / float64(whole.Burst)
	return whole.WithBurst(burst).WithRate(rate * (1 - clockMargin))
}

// burstOfSeat returns the burst of a seat's part.
func burstOfSeat(burst int, resource string, seat Seat) int {
	holders := min(max(burst/max(seat.MinBurst, 1), 1), seat.Count)
	position := (seat.Index + rotation(resource, seat.Count)) % seat.Count
	if position >= holders {
		return 0
	}
	if position < burst%holders {
		return burst/holders + 1
	}
	return burst / holders
}

// rotation returns by how many positions the seats are rotated for a resource, so that
// each resource prefers other seats.
func rotation(resource string, seatCount int) int {
	hash := fnv.New32a()
	hash.Write([]byte(resource))
	return int(hash.Sum32() % uint32(seatCount))
}
