package sharer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
)

// overload is a steady load on one limiter, played in virtual time.
type overload struct {
	// ratePerSecond is the instance's own part, and lentPerSecond what a lender adds.
	ratePerSecond float64
	lentPerSecond int
	// arrivalsPerSecond is the rate of requests, and wait how long each may wait.
	arrivalsPerSecond int
	wait              time.Duration
}

// overloadResult counts the requests that arrived after settleTime.
type overloadResult struct {
	admitted int
	// refusedAtOnce counts the requests that did not wait, and refusedLate those that
	// waited in vain.
	refusedAtOnce int
	refusedLate   int
}

const (
	// settleTime is how long an overload lasts before its requests are counted, and
	// countedTime for how long they are counted.
	settleTime  = 2 * time.Second
	countedTime = 10 * time.Second
)

// play sends the load to a new limiter, whose lender answers each ask after one poll.
func (o overload) play() overloadResult {
	start := time.Now()
	l := sharer.NewLimiter("team", sharer.NewBorrower("borrower/1"), start)
	l.Bucket.SetLimit(limiter.Limit{
		RatePerSecond: o.ratePerSecond,
		Burst:         sharer.MinHolderBurst,
	}, start)
	if o.lentPerSecond > 0 {
		l.SetHolders([]string{"lender"}, float64(o.lentPerSecond)+o.ratePerSecond)
	} else {
		l.SetHolders(nil, o.ratePerSecond)
	}
	var result overloadResult
	arrived := 0
	lent := 0
	for at := time.Duration(0); at < settleTime+countedTime; at += sharer.PollInterval {
		now := start.Add(at)
		counted := at >= settleTime
		for ; arrived < int(at.Seconds()*float64(o.arrivalsPerSecond)); arrived++ {
			o.arrive(l, now, counted, &result)
		}
		for _, directed := range l.Poll(now).Asks {
			units := min(directed.Ask.Units, int(at.Seconds()*float64(o.lentPerSecond))-lent)
			lent += units
			l.Receive(directed.Holder, sharer.Grant{
				Serial: directed.Ask.Serial,
				Units:  units,
			}, now)
		}
	}
	return result
}

// arrive lets one request arrive, which waits if it is not admitted immediately.
func (o overload) arrive(l *sharer.Limiter, now time.Time, counted bool, result *overloadResult) {
	weight := 0
	if counted {
		weight = 1
	}
	if _, ok := l.Take(now); ok {
		result.admitted += weight
		return
	}
	waits := l.Enqueue(now, now.Add(o.wait), func(admitted bool) {
		if admitted {
			result.admitted += weight
		} else {
			result.refusedLate += weight
		}
	})
	if !waits {
		result.refusedAtOnce += weight
	}
}

// TestOverloadRefusesAtOnce guards against requests of a team far beyond its limit that wait
// for as long as they may and are refused then: once the rate at which waiters are served is
// known, a request that will not be served in time is refused immediately. All that the rate
// admits must still be used.
func TestOverloadRefusesAtOnce(t *testing.T) {
	cases := []struct {
		name string
		load overload
	}{
		{
			name: "own part only, 10 times the rate",
			load: overload{
				ratePerSecond:     10,
				arrivalsPerSecond: 100,
				wait:              200 * time.Millisecond,
			},
		},
		{
			name: "own part and a lender, 4 times the rate",
			load: overload{
				ratePerSecond:     10,
				lentPerSecond:     40,
				arrivalsPerSecond: 200,
				wait:              260 * time.Millisecond,
			},
		},
		{
			name: "large team, twice the rate",
			load: overload{
				ratePerSecond:     200,
				arrivalsPerSecond: 400,
				wait:              200 * time.Millisecond,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.load.play()
			allowed := (c.load.ratePerSecond + float64(c.load.lentPerSecond)) * countedTime.Seconds()
			if float64(got.admitted) < 0.95*allowed {
				t.Errorf("got %d admitted, want at least 0.95 of %v", got.admitted, allowed)
			}
			if refused := got.refusedAtOnce + got.refusedLate; got.refusedLate*10 > refused {
				t.Errorf("got %d of %d refusals after a wait, want at most a tenth", got.refusedLate, refused)
			}
		})
	}
}

// TestQueueWaitsWithinRate checks that no request is refused while the load stays within the
// rate, however unevenly it arrives.
func TestQueueWaitsWithinRate(t *testing.T) {
	got := overload{
		ratePerSecond:     100,
		arrivalsPerSecond: 95,
		wait:              200 * time.Millisecond,
	}.play()
	if refused := got.refusedAtOnce + got.refusedLate; refused > 0 {
		t.Fatalf("got %d refusals at 0.95 of the rate, want none", refused)
	}
}

// TestOverloadIsForgotten guards against requests that are refused because of an overload that has
// ended: the rate at which waiters were served then says nothing about now.
func TestOverloadIsForgotten(t *testing.T) {
	const (
		perSecond = 10
		wait      = time.Second
	)
	now := time.Now()
	l := sharer.NewLimiter("team", sharer.NewBorrower("borrower/1"), now)
	l.SetHolders([]string{"lender"}, perSecond)
	for range 3 * time.Second / sharer.PollInterval {
		now = now.Add(sharer.PollInterval)
		l.Take(now)
		l.Enqueue(now, now.Add(wait), func(bool) {})
		l.Poll(now)
	}
	now = now.Add(time.Hour)
	for i := range perSecond / 2 {
		l.Take(now)
		if !l.Enqueue(now, now.Add(wait), func(bool) {}) {
			t.Fatalf("got request %d refused an hour after the overload, want it to wait", i)
		}
	}
}
