// Package splitter splits a limit of the whole fleet into parts whose sum never
// exceeds it (the escrow method, O'Neil 1986).
package splitter

import (
	"hash/fnv"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
)

// clockMargin is taken off each part's rate: the clocks of instances may run
// fast by 200 parts per million.
const clockMargin = 200e-6

// Seat is an entry instance's place among all parts.
type Seat struct {
	// Index is from 0 to Of-1.
	Index int
	// Of is the number of seats; 0 means that there is no seat, and no part.
	Of int
	// PerHolder is the least burst that a seat's part has, if it has any; 0 means 1.
	PerHolder int
}

// Spread returns the seat with another least burst. A large one concentrates
// small limits on few seats.
func (s Seat) Spread(perHolder int) Seat {
	s.PerHolder = perHolder
	return s
}

// Part returns the part of a limit that belongs to a seat. A burst too small for
// all seats goes to some of them only, as whole requests; resource decides which,
// so that small bursts do not all fall to the same seats. The rate follows the
// burst.
func Part(whole limiter.Limit, resource string, seat Seat) limiter.Limit {
	if seat.Of <= 0 || whole.IsZero() {
		return limiter.Limit{}
	}
	burst := partOfBurst(whole.Burst, resource, seat)
	rate := whole.RatePerSecond * float64(burst) / float64(whole.Burst)
	return whole.WithBurst(burst).WithRate(rate * (1 - clockMargin))
}

func partOfBurst(burst int, resource string, seat Seat) int {
	holders := min(max(burst/max(seat.PerHolder, 1), 1), seat.Of)
	turn := (seat.Index + offset(resource, seat.Of)) % seat.Of
	if turn >= holders {
		return 0
	}
	if turn < burst%holders {
		return burst/holders + 1
	}
	return burst / holders
}

// offset turns the seats, so that each resource favours others.
func offset(resource string, of int) int {
	hash := fnv.New32a()
	hash.Write([]byte(resource))
	return int(hash.Sum32() % uint32(of))
}
