package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestLoadFollowsWhatTheUpstreamTells records the answers of an upstream with two slots at
// which this instance has one request.
func TestLoadFollowsWhatTheUpstreamTells(t *testing.T) {
	shed := arbiter.Refuse(arbiter.UpstreamShed, "shed")
	told := func(running, waiting int) registrar.Report {
		return registrar.Report{}.WithLoad(registrar.Load{
			Running: running,
			Waiting: waiting,
		})
	}
	cases := []struct {
		name   string
		record func(upstream *admitter.Upstream, now time.Time)
		want   float64
	}{
		{
			name:   "nothing is told",
			record: func(*admitter.Upstream, time.Time) {},
			want:   0.5,
		},
		{
			name: "an answer tells of three requests of others",
			record: func(upstream *admitter.Upstream, now time.Time) {
				upstream.RecordLoad(told(2, 2), now)
			},
			want: 2,
		},
		{
			name: "an answer that must not be passed on tells of three requests of others",
			record: func(upstream *admitter.Upstream, now time.Time) {
				upstream.RecordRefusal(arbiter.Fail(arbiter.NotRunUnproved, "unproved"), told(2, 2), false, now)
			},
			want: 2,
		},
		{
			name: "a shed request without a load",
			record: func(upstream *admitter.Upstream, now time.Time) {
				upstream.RecordRefusal(shed, registrar.Report{}, false, now)
			},
			want: 4.5,
		},
		{
			name: "a shed request with a load",
			record: func(upstream *admitter.Upstream, now time.Time) {
				upstream.RecordRefusal(shed, told(2, 3), false, now)
			},
			want: 3,
		},
		{
			name: "a shed request at an upstream that tells of no load",
			record: func(upstream *admitter.Upstream, now time.Time) {
				upstream.RecordRefusal(shed, told(0, 0), false, now)
			},
			want: 0.5,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			_, admit := newAdmitter(declaredSet(), now)
			admission, refusal := admit.Admit(admitter.Request{
				Host:   "shopfront",
				Path:   "/patterns/1",
				Method: "GET",
				Now:    now,
			})
			if refusal != nil {
				t.Fatal(refusal)
			}
			upstream, refusal := admission.Acquire(now, 1, nil)
			if refusal != nil {
				t.Fatal(refusal)
			}
			c.record(upstream, now)
			if got := admission.PlacementAt(upstream, now).Load; got != c.want {
				t.Fatalf("got load %v, want %v", got, c.want)
			}
		})
	}
}
