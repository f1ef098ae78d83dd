package applier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/applier"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/registrar"
)

// scale is the size of a deployment.
type scale struct {
	places    int
	instances int
	teams     int
	upstreams int
}

// document declares a configuration of this size.
func (s scale) document() declarer.Document {
	var document declarer.Document
	for i := range s.places {
		document.Place = append(document.Place, declarer.Place{
			Name:   fmt.Sprintf("place-%03d", i),
			Region: fmt.Sprintf("region-%02d", i/3),
			Seats:  s.instances / s.places,
		})
	}
	for i := range s.teams {
		document.Team = append(document.Team, declarer.Team{
			Name:          fmt.Sprintf("team-%03d", i),
			RatePerSecond: 1000,
			Burst:         200,
		})
	}
	upstreams := make([]declarer.Upstream, 0, s.upstreams)
	for i := range s.upstreams {
		upstreams = append(upstreams, declarer.Upstream{
			Name:    fmt.Sprintf("u%d", i),
			Place:   fmt.Sprintf("place-%03d", i%s.places),
			Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			Slots:   4,
		})
	}
	document.Service = []declarer.Service{
		{
			Name:    "shop",
			Version: "v1",
		},
	}
	document.Version = []declarer.Version{
		{
			Name:      "v1",
			Service:   "shop",
			Upstreams: upstreams,
		},
	}
	return document
}

// members returns the instances of a deployment of this size.
func (s scale) members() []registrar.Member {
	var members []registrar.Member
	for i := range s.instances {
		members = append(members, registrar.Member{
			Incarnation: fmt.Sprintf("instance-%05d", i),
			Place:       fmt.Sprintf("place-%03d", i%s.places),
			Seat:        i / s.places,
		})
	}
	return members
}

var scales = []scale{
	{
		places:    6,
		instances: 12,
		teams:     8,
		upstreams: 36,
	},
	{
		places:    24,
		instances: 240,
		teams:     32,
		upstreams: 360,
	},
	{
		places:    76,
		instances: 1976,
		teams:     100,
		upstreams: 5700,
	},
}

// BenchmarkApply measures the cost of a configuration change at one instance.
func BenchmarkApply(b *testing.B) {
	for _, size := range scales {
		b.Run(fmt.Sprintf("%+v", size), func(b *testing.B) {
			document := size.document()
			a := applier.New(size.members()[0], holder.New[admitter.Plan]())
			a.SetOthers(size.members()[1:])
			b.ReportAllocs()
			revision := uint64(0)
			for b.Loop() {
				revision++
				a.Apply(publisher.Bundle{
					Head: publisher.Head{
						Revision: revision,
					},
					Document: document,
				}, time.Now())
			}
		})
	}
}

// BenchmarkSetOthers measures the cost of a membership change at one instance.
func BenchmarkSetOthers(b *testing.B) {
	for _, size := range scales {
		b.Run(fmt.Sprintf("%+v", size), func(b *testing.B) {
			members := size.members()
			a := applier.New(members[0], holder.New[admitter.Plan]())
			a.Apply(publisher.Bundle{
				Head: publisher.Head{
					Revision: 1,
				},
				Document: size.document(),
			}, time.Now())
			b.ReportAllocs()
			for b.Loop() {
				a.SetOthers(members[1:])
			}
		})
	}
}
