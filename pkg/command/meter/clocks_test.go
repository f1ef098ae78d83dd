package meter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/meter"
)

// TestClocksBearAJump checks that the estimate of true time follows neither a jump of the own
// clock nor that of one peer, also with too few clocks for a median, and that it corrects drift.
func TestClocksBearAJump(t *testing.T) {
	start := time.Unix(1_767_225_600, 0)
	const later = 10 * time.Second
	cases := []struct {
		name string
		// peers are what the clocks of peers differ from true time by, and own the own clock.
		peers []time.Duration
		own   time.Duration
		want  time.Duration
	}{
		{
			name: "own clock alone jumps forward",
			own:  4 * time.Second,
		},
		{
			name: "own clock alone drifts",
			own:  20 * time.Millisecond,
			want: 20 * time.Millisecond,
		},
		{
			name:  "own clock jumps back beside two peers",
			peers: []time.Duration{0, 0},
			own:   -4 * time.Second,
		},
		{
			name:  "a peer's clock jumps",
			peers: []time.Duration{5 * time.Second, 0, 0},
		},
		{
			name:  "one of two clocks is wrong, but not known which",
			peers: []time.Duration{3 * time.Second},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clocks := meter.NewClocks(start, time.Hour)
			for i, offset := range c.peers {
				clocks = clocks.WithPeer(string(rune('a'+i)), start.Add(later+offset), time.Hour+later)
			}
			clocks = clocks.WithOwn(start.Add(later+c.own), time.Hour+later)
			if got := clocks.At(time.Hour + later).Sub(start.Add(later)); got != c.want {
				t.Fatalf("got an estimate that is off by %v, want %v", got, c.want)
			}
		})
	}
}

// TestStartWithAWrongClock checks that an instance whose own clock is wrong when it starts takes
// true time from its peers.
func TestStartWithAWrongClock(t *testing.T) {
	start := time.Unix(1_767_225_600, 0)
	clocks := meter.NewClocks(start.Add(5*time.Second), 0)
	for _, peer := range []string{"a", "b"} {
		clocks = clocks.WithPeer(peer, start, 0)
	}
	if got := clocks.WithOwn(start.Add(5*time.Second), 0).At(0); !got.Equal(start) {
		t.Fatalf("got %v, want %v", got, start)
	}
}
