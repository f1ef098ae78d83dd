package sharer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// A holder that had nothing again and again is asked anew before a request has waited
// for long, and the fewer holders there are the sooner: all together are asked in vain
// no more often than one would be.
func TestEmptyHoldersAreAskedAgain(t *testing.T) {
	cases := []struct {
		name    string
		holders int
		// longest is the longest time until some holder is asked again.
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
			desk := sharer.NewDesk("team", "borrower/1", now)
			var holders []string
			for i := range c.holders {
				holders = append(holders, "holder-"+strconv.Itoa(i))
			}
			desk.SetHolders(holders, 4)
			for range 10 {
				now = now.Add(askedAgain(t, desk, now, time.Minute))
			}
			if got := askedAgain(t, desk, now, time.Minute); got > c.longest {
				t.Fatalf("asked again after %v, want at most %v", got, c.longest)
			}
		})
	}
}

// askedAgain lets a request wait, answers all asks with nothing, and returns how long
// it takes until the next ones.
func askedAgain(t *testing.T, desk *sharer.Desk, now time.Time, limit time.Duration) time.Duration {
	t.Helper()
	for wait := time.Duration(0); wait < limit; wait += sharer.PumpEvery {
		at := now.Add(wait)
		desk.Take(at)
		desk.Join(at.Add(time.Second), func(bool) {})
		asked := desk.Pump(at).Asks
		for _, directed := range asked {
			desk.Receive(directed.Holder, sharer.Grant{
				Serial: directed.Ask.Serial,
			}, at)
		}
		if len(asked) > 0 && wait > 0 {
			return wait
		}
	}
	t.Fatalf("nobody was asked for %v", limit)
	return limit
}
