package drainer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/drainer"
)

// TestRequestsThatDoNotFitAreRefused guards against requests that are sent although their
// answers are not expected before the drain ends, and against refusals of those that fit.
func TestRequestsThatDoNotFitAreRefused(t *testing.T) {
	cases := []struct {
		name string
		// usual is how long attempts on the route have taken; zero if none is known.
		usual time.Duration
		// running says that the instance does not drain.
		running bool
		// arrived and checked are the times since the drain began, and timeout is the
		// request's, since it arrived. Requests are accepted for 3s and finished in 2s more.
		arrived time.Duration
		checked time.Duration
		timeout time.Duration
		refused bool
	}{
		{
			name:    "no drain",
			running: true,
			usual:   time.Minute,
			timeout: time.Minute,
		},
		{
			name:    "the timeout fits",
			timeout: 5 * time.Second,
		},
		{
			name:    "the timeout does not fit and nothing is known",
			arrived: time.Second,
			checked: time.Second,
			timeout: 5 * time.Second,
			refused: true,
		},
		{
			name:    "the usual duration fits",
			usual:   time.Second,
			arrived: 2900 * time.Millisecond,
			checked: 2900 * time.Millisecond,
			timeout: 5 * time.Second,
		},
		{
			name:    "the usual duration does not fit",
			usual:   3500 * time.Millisecond,
			arrived: 2900 * time.Millisecond,
			checked: 2900 * time.Millisecond,
			timeout: 8 * time.Second,
			refused: true,
		},
		{
			name:    "a later attempt does not fit",
			usual:   time.Second,
			arrived: -time.Second,
			checked: 4500 * time.Millisecond,
			timeout: 8 * time.Second,
			refused: true,
		},
		{
			name:    "arrived after the time for requests",
			usual:   time.Millisecond,
			arrived: 3001 * time.Millisecond,
			checked: 3001 * time.Millisecond,
			timeout: time.Second,
			refused: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begun := time.Now()
			d := drainer.New(begun)
			for range 100 {
				if c.usual > 0 {
					d.Record("view", c.usual, begun)
				}
			}
			if !c.running {
				d.Begin(drainer.NewSchedule(begun, 3000, 2000))
			}
			now := begun.Add(c.checked)
			refusal := d.Check(drainer.Request{
				Route:    "view",
				Arrived:  begun.Add(c.arrived),
				Deadline: begun.Add(c.arrived + c.timeout),
			}, now)
			if (refusal != nil) != c.refused {
				t.Fatalf("got refusal %v, want one: %t", refusal, c.refused)
			}
			if refusal == nil {
				return
			}
			if refusal.Verdict != arbiter.NotRun || refusal.Reason != arbiter.InstanceStopping || !refusal.RetryAt.Equal(now) {
				t.Fatalf("got %+v, want InstanceStopping, NotRun and a retry now", refusal)
			}
		})
	}
}

// TestScheduleEndsBeforeTheKill guards against requests that still run when the platform
// kills the process, and against a drain that ends long before the kill.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	cases := []struct {
		name           string
		graceMillis    int
		limitMillis    int
		killSeconds    float64
		wantServeUntil time.Duration
		wantEnd        time.Duration
		// wantCloseBy is zero if connections may stay open.
		wantCloseBy time.Duration
	}{
		{
			name:           "no kill",
			graceMillis:    3000,
			limitMillis:    60_000,
			wantServeUntil: 3 * time.Second,
			wantEnd:        63 * time.Second,
		},
		{
			name:           "killed after 6s",
			graceMillis:    3000,
			limitMillis:    60_000,
			killSeconds:    6,
			wantServeUntil: 2700 * time.Millisecond,
			wantEnd:        5400 * time.Millisecond,
			wantCloseBy:    5800 * time.Millisecond,
		},
		{
			name:           "killed after 2.5s",
			graceMillis:    3000,
			limitMillis:    60_000,
			killSeconds:    2.5,
			wantServeUntil: 950 * time.Millisecond,
			wantEnd:        1900 * time.Millisecond,
			wantCloseBy:    2300 * time.Millisecond,
		},
		{
			name:           "killed after 20s",
			graceMillis:    2700,
			limitMillis:    60_000,
			killSeconds:    20,
			wantServeUntil: 2700 * time.Millisecond,
			wantEnd:        19_400 * time.Millisecond,
			wantCloseBy:    19_800 * time.Millisecond,
		},
		{
			name:           "the limits end the drain before the kill",
			graceMillis:    500,
			limitMillis:    1000,
			killSeconds:    6,
			wantServeUntil: 500 * time.Millisecond,
			wantEnd:        1500 * time.Millisecond,
			wantCloseBy:    5800 * time.Millisecond,
		},
		{
			name:           "killed after 0.6s",
			graceMillis:    3000,
			limitMillis:    60_000,
			killSeconds:    0.6,
			wantServeUntil: 150 * time.Millisecond,
			wantEnd:        300 * time.Millisecond,
			wantCloseBy:    500 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begun := time.Now()
			got := drainer.NewSchedule(begun, c.graceMillis, c.limitMillis).WithKill(begun, c.killSeconds)
			if serveUntil, end := got.ServeUntil.Sub(begun), got.End.Sub(begun); serveUntil != c.wantServeUntil || end != c.wantEnd {
				t.Fatalf("got %v and %v, want %v and %v", serveUntil, end, c.wantServeUntil, c.wantEnd)
			}
			wantCloseBy := time.Time{}
			if c.wantCloseBy != 0 {
				wantCloseBy = begun.Add(c.wantCloseBy)
			}
			if !got.CloseBy.Equal(wantCloseBy) {
				t.Fatalf("got connections closed by %v, want %v", got.CloseBy, wantCloseBy)
			}
		})
	}
}
