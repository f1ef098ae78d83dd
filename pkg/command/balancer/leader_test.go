package balancer_test

import (
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// TestOnlyACompleteSumIsTold guards against a sum of a region's demand that lacks most of its
// instances: other regions would take it for room, and move their parts there.
func TestOnlyACompleteSumIsTold(t *testing.T) {
	member := func(name, region string) balancer.Member {
		return balancer.Member{
			Name:   name,
			Region: region,
			Linked: true,
		}
	}
	self, home, other := member("east-1", "east"), member("east-2", "east"), member("south-1", "south")
	cases := []struct {
		name string
		// lead brings the instance into the state, from start on.
		lead func(subject *balancer.Balancer)
		// after is the time from start at which it sends its messages.
		after time.Duration
		told  bool
	}{
		{
			name: "a leader that has led for long",
			lead: func(subject *balancer.Balancer) {
				subject.SetMembers([]balancer.Member{home, other}, start)
				subject.Adjust(nil, start)
			},
			after: time.Minute,
			told:  true,
		},
		{
			name: "a leader that the region does not report to yet",
			lead: func(subject *balancer.Balancer) {
				subject.SetMembers([]balancer.Member{member("east-0", "east"), home, other}, start)
				subject.SetMembers([]balancer.Member{home, other}, start)
			},
			after: time.Second,
		},
		{
			name: "a leader that leaves, which the region reports to no more",
			lead: func(subject *balancer.Balancer) {
				subject.SetMembers([]balancer.Member{home, other}, start)
				subject.Leave()
				subject.SetMembers([]balancer.Member{home, other}, start)
			},
			after: time.Minute,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			subject := balancer.New(self, perWindow)
			c.lead(subject)
			if _, told := subject.MessageTo(other, nil, start.Add(c.after)); told != c.told {
				t.Errorf("told another region: %v, want %v", told, c.told)
			}
		})
	}
}
