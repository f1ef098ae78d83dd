package sharer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// TestEmptyHoldersAreAskedAgain guards against a backoff that keeps a request waiting
// for long after repeated empty grants: the longest backoff is emptyGrantBackoff times
// the number of holders. All holders together are thus asked in vain about as often as a
// single one would be.
func TestEmptyHoldersAreAskedAgain(t *testing.T) {
	cases := []struct {
		name    string
		holders int
		// longest is the maximum time until some holder is asked again.
		longest time.Duration
	}{
		{
			name:    "the only holder",
			holders: 1,
			longest: 70 * time.Millisecond,
		},
		{
			name:    "eleven holders",
			holders: 11,
			longest: 570 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			limiter := sharer.NewLimiter("team", sharer.NewBorrower("borrower/1"), now)
			var holders []string
			for i := range c.holders {
				holders = append(holders, "holder-"+strconv.Itoa(i))
			}
			limiter.SetHolders(holders, 4)
			for range 10 {
				now = now.Add(timeToNextAsk(t, limiter, now, time.Minute))
			}
			if got := timeToNextAsk(t, limiter, now, time.Minute); got > c.longest {
				t.Fatalf("got %v until the next ask, want at most %v", got, c.longest)
			}
		})
	}
}

// timeToNextAsk adds a waiting request at each poll, answers all asks with empty grants
// and returns the time until the next ask.
func timeToNextAsk(t *testing.T, limiter *sharer.Limiter, now time.Time, timeout time.Duration) time.Duration {
	t.Helper()
	for wait := time.Duration(0); wait < timeout; wait += sharer.PollInterval {
		at := now.Add(wait)
		limiter.Take(at)
		limiter.Enqueue(at, at.Add(time.Second), func(bool) {})
		asks := limiter.Poll(at).Asks
		for _, directed := range asks {
			limiter.Receive(directed.Holder, sharer.Grant{
				Serial: directed.Ask.Serial,
			}, at)
		}
		if len(asks) > 0 && wait > 0 {
			return wait
		}
	}
	t.Fatalf("got no ask within %v, want at least one", timeout)
	return timeout
}
