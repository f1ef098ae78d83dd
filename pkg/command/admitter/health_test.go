package admitter_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// TestLoadedUpstreamIsNotTakenForAFailedOne records deadlines that pass at an upstream, with
// answers in between or without.
func TestLoadedUpstreamIsNotTakenForAFailedOne(t *testing.T) {
	const (
		timeout = iota
		answer
		failedAnswer
		expiredAnswer
		shed
	)
	cases := []struct {
		name     string
		unprobed bool
		events   []int
		want     admitter.Health
	}{
		{
			name:   "two deadlines",
			events: []int{timeout, timeout},
			want:   admitter.Live,
		},
		{
			name:   "three deadlines in a row",
			events: []int{timeout, timeout, timeout},
			want:   admitter.Suspect,
		},
		{
			name:   "an answer in between",
			events: []int{timeout, timeout, answer, timeout, timeout},
			want:   admitter.Live,
		},
		{
			name:   "a shed request in between",
			events: []int{timeout, timeout, shed, timeout, timeout},
			want:   admitter.Live,
		},
		{
			name:   "a failed answer of a probed upstream in between",
			events: []int{timeout, timeout, failedAnswer, timeout, timeout},
			want:   admitter.Live,
		},
		{
			name:     "a failed answer",
			unprobed: true,
			events:   []int{failedAnswer},
			want:     admitter.Suspect,
		},
		{
			name:     "answers that deadlines have passed",
			unprobed: true,
			events:   []int{expiredAnswer, expiredAnswer, expiredAnswer, expiredAnswer},
			want:     admitter.Live,
		},
		{
			name:     "such an answer between deadlines",
			unprobed: true,
			events:   []int{timeout, timeout, expiredAnswer, timeout, timeout},
			want:     admitter.Live,
		},
		{
			name:   "three deadlines in a row after an answer",
			events: []int{timeout, answer, timeout, timeout, timeout},
			want:   admitter.Suspect,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			plan := admitter.InitialPlan("derby", "derby-1")
			if c.unprobed {
				plan = plan.WithAffinity(admitter.Affinity{
					Choices: 1,
				})
			}
			plan = plan.WithTable(router.New(1, runningVersion("shopfront-v1")), now)
			upstream := onlyUpstream(t, plan)
			for _, event := range c.events {
				switch event {
				case timeout:
					upstream.RecordRefusal(arbiter.Fail(arbiter.DeadlineExceeded, "late"), registrar.Report{}, false, now)
				case answer:
					upstream.RecordSuccess(now)
				case failedAnswer:
					upstream.RecordFailedAnswer(now)
				case expiredAnswer:
					upstream.RecordExpiredAnswer(false, now)
				case shed:
					upstream.RecordRefusal(arbiter.Refuse(arbiter.UpstreamShed, "shed"), registrar.Report{}, false, now)
				}
			}
			if got := upstream.Health(); got != c.want {
				t.Fatalf("got health %s, want %s", got, c.want)
			}
		})
	}
}
