package coalescer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/coalescer"
)

// TestBurstsAreServedByFewRuns checks how often the task runs for bursts of requests, and that
// each request is followed by a run within the interval.
func TestBurstsAreServedByFewRuns(t *testing.T) {
	const intervalMillis = 100
	cases := []struct {
		name string
		// requests are the times of the requests, in milliseconds.
		requests []int
		// runs are the times of the runs that they lead to, in milliseconds.
		runs []int
	}{
		{
			name:     "no request",
			requests: nil,
			runs:     nil,
		},
		{
			name:     "one request",
			requests: []int{30},
			runs:     []int{30},
		},
		{
			name:     "a burst",
			requests: []int{30, 31, 40, 90, 129},
			runs:     []int{30, 130},
		},
		{
			name:     "requests with pauses",
			requests: []int{0, 150, 400},
			runs:     []int{0, 150, 400},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := runTimes(c.requests, intervalMillis)
				if len(got) != len(c.runs) {
					t.Fatalf("got runs at %v ms, want %v", got, c.runs)
				}
				for i, want := range c.runs {
					if got[i] != want {
						t.Fatalf("got runs at %v ms, want %v", got, c.runs)
					}
				}
			})
		})
	}
}

// runTimes makes the requests and returns the times of the runs, in milliseconds.
func runTimes(requests []int, intervalMillis int) []int {
	start := time.Now()
	var runs []int
	tested := coalescer.New(intervalMillis, func() { runs = append(runs, int(time.Since(start).Milliseconds())) })
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return tested.Run(ctx) })
	for _, at := range requests {
		time.Sleep(time.Duration(at)*time.Millisecond - time.Since(start))
		tested.Request()
		synctest.Wait()
	}
	time.Sleep(time.Second)
	cancel()
	_ = group.Wait()
	return runs
}
