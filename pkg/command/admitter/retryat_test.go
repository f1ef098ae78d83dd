package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestUpstreamThatTurnedAwayIsLeftAloneUntilItsTime lets the only upstream of a service turn a
// request away until a time, and asks for it at other times.
func TestUpstreamThatTurnedAwayIsLeftAloneUntilItsTime(t *testing.T) {
	cases := []struct {
		name string
		// retries are the times that the upstream names, and asked is when it is asked for;
		// all are counted from its answers.
		retries []time.Duration
		asked   time.Duration
		// wait is how long the caller is told to wait; 0 if the upstream is used.
		wait time.Duration
	}{
		{
			name:  "no time is named",
			asked: time.Millisecond,
		},
		{
			name:    "before the time",
			retries: []time.Duration{5 * time.Second},
			asked:   2 * time.Second,
			wait:    3 * time.Second,
		},
		{
			name:    "shortly before the time",
			retries: []time.Duration{5 * time.Second},
			asked:   4900 * time.Millisecond,
			wait:    admitter.NoRoomRetryMillis * time.Millisecond,
		},
		{
			name:    "at the time",
			retries: []time.Duration{5 * time.Second},
			asked:   5 * time.Second,
		},
		{
			name:    "an earlier time does not shorten it",
			retries: []time.Duration{5 * time.Second, time.Second},
			asked:   2 * time.Second,
			wait:    3 * time.Second,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plans, admit := newAdmitter(openSet(true, false), now)
			upstream := onlyUpstream(t, plans.Load())
			for _, retry := range c.retries {
				upstream.RecordAdvertisement(registrar.Report{}.WithRetryAt(now.Add(retry)), now, now)
			}
			asked := now.Add(c.asked)
			admission, refusal := admit.Admit(admitter.Request{
				Host:   "shopfront",
				Path:   "/patterns/1",
				Method: "GET",
				Now:    asked,
			})
			if refusal != nil {
				t.Fatal(refusal)
			}
			_, refusal = admission.Acquire(asked, 1, nil)
			switch {
			case (refusal == nil) != (c.wait == 0):
				t.Fatalf("got refusal %v, want one: %t", refusal, c.wait != 0)
			case refusal != nil && !refusal.RetryAt.Equal(asked.Add(c.wait)):
				t.Fatalf("got a wait of %v, want %v", refusal.RetryAt.Sub(asked), c.wait)
			}
		})
	}
}
