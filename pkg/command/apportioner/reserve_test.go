package apportioner_test

import (
	"math"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
)

// TestOddReservationsChangeNothing guards against a reservation that makes no sense or never ends, and against one for an instance that is there.
func TestOddReservationsChangeNothing(t *testing.T) {
	cases := []struct {
		name     string
		member   string
		fraction float64
		until    time.Duration
		// after is when the fraction is looked at, and want that of this instance's half.
		after time.Duration
		want  float64
	}{
		{
			name:     "a sound one",
			member:   "gone",
			fraction: 0.5,
			until:    time.Minute,
			want:     0.5,
		},
		{
			name:     "no number",
			member:   "gone",
			fraction: math.NaN(),
			until:    time.Minute,
			want:     1,
		},
		{
			name:     "negative",
			member:   "gone",
			fraction: -3,
			until:    time.Minute,
			want:     1,
		},
		{
			name:     "above the whole",
			member:   "gone",
			fraction: 1.5,
			until:    time.Minute,
			want:     1,
		},
		{
			name:     "far too long",
			member:   "gone",
			fraction: 0.5,
			until:    24 * time.Hour,
			after:    11 * time.Minute,
			want:     1,
		},
		{
			name:     "for this instance",
			member:   "entry-0",
			fraction: 0.5,
			until:    time.Minute,
			want:     1,
		},
	}
	for _, c := range cases {
		s := newSimulation(2)
		for range 48 {
			s.advance([]float64{10, 10})
		}
		s.instances[0].Reserve(apportioner.Reservation{
			Member: c.member,
			Until:  s.now.Add(c.until),
			Parts: []apportioner.ReservedPart{
				{
					Resource: resource,
					Fraction: c.fraction,
				},
			},
		}, s.now)
		if got := s.instances[0].Fraction(resource, s.now.Add(c.after)); math.Abs(2*got-c.want) > 0.001 {
			t.Errorf("%s: got fraction %v of a half, want %v", c.name, 2*got, c.want)
		}
	}
}
