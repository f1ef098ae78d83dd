package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// model plays demand against the balancers of several instances in virtual time. The work of
// requests is a fluid: a region's load is what its staying requests and its part of all roaming
// ones need, relative to its slots.
type model struct {
	regions []modelRegion
	// perSecond is the mean rate of a region of weight 1, and work the slot seconds of a request.
	perSecond float64
	work      float64
	// traffic is when requests begin and end; length is that of the whole play.
	begin, end, length time.Duration
	// restartLeaderAt, unless zero, is when the first instance of each region loses its state.
	restartLeaderAt time.Duration
	// cutAt, unless zero, is when the instances of the first region lose their links to the
	// other regions.
	cutAt time.Duration
	// muteAt, unless zero, is when the messages of the second region's leader are lost.
	muteAt   time.Duration
	seed     uint64
	instance []*modelInstance
}

const (
	perWindow       = 0.075
	wave            = 36 * time.Second
	swing           = 0.55
	perRegion       = 4
	messageLatency  = 60 * time.Millisecond
	service         = "reads"
	window          = 2 * time.Second
	messageInterval = 4
)

// start is when a play begins.
var start = time.Unix(1_000_000, 0)

type modelRegion struct {
	name  string
	slots float64
	// initial is the part of the objects that roams at the start.
	initial float64
	// weight is the rate of requests relative to the mean of the regions.
	weight float64
}

type modelInstance struct {
	member   balancer.Member
	balancer *balancer.Balancer
	region   int
	fraction float64
	requests uint64
	inUse    float64
	// history holds the fraction after each step.
	history []float64
}

// outcome is what a play has shown.
type outcome struct {
	// served is the part of the work that found a slot, by region of the callers.
	served []float64
	// away is the part of a region's work that ran in other regions, by region.
	away []float64
	// largestShift is the largest change of an instance's fraction in any window, and
	// largestSpread the largest difference between two instances of one region.
	largestShift, largestSpread float64
}

// demandAt returns the rate of a region's requests.
func (m *model) demandAt(region int, at time.Duration) float64 {
	if at < m.begin || at >= m.end {
		return 0
	}
	phase := 2*math.Pi*at.Seconds()/wave.Seconds() + 2*math.Pi*float64(region)/float64(len(m.regions))
	return m.perSecond * m.regions[region].weight * (1 + swing*math.Sin(phase))
}

func (m *model) newInstance(region, number int) *modelInstance {
	member := balancer.Member{
		Name:   fmt.Sprintf("%s-%d", m.regions[region].name, number),
		Region: m.regions[region].name,
		Linked: true,
	}
	return &modelInstance{
		member:   member,
		balancer: balancer.New(member, perWindow),
		region:   region,
		fraction: m.regions[region].initial,
	}
}

// others returns the other instances as an instance sees them.
func (m *model) others(self *modelInstance, at time.Duration) []balancer.Member {
	var members []balancer.Member
	for _, other := range m.instance {
		if other == self {
			continue
		}
		member := other.member
		isCut := m.cutAt != 0 && at >= m.cutAt
		member.Linked = !isCut || (other.region == 0) == (self.region == 0)
		members = append(members, member)
	}
	return members
}

// play runs the model.
func (m *model) play() outcome {
	random := rand.New(rand.NewPCG(m.seed, 1))
	for region := range m.regions {
		for number := range perRegion {
			m.instance = append(m.instance, m.newInstance(region, number))
		}
	}
	result := outcome{
		served: make([]float64, len(m.regions)),
		away:   make([]float64, len(m.regions)),
	}
	asked := make([]float64, len(m.regions))
	var pending []func(now time.Time) bool
	for round := 0; ; round++ {
		at := time.Duration(round) * balancer.StepInterval
		if at >= m.length {
			break
		}
		now := start.Add(at)
		if m.restartLeaderAt != 0 && at == m.restartLeaderAt {
			m.restartLeaders()
		}
		m.serve(at, random, &result, asked)
		pending = slices.DeleteFunc(pending, func(deliver func(time.Time) bool) bool { return deliver(now) })
		for number, instance := range m.instance {
			instance.step(m, at, now)
			if (round+number)%messageInterval == 0 {
				pending = append(pending, m.send(instance, now)...)
			}
		}
		m.check(&result)
	}
	for region := range m.regions {
		result.served[region] /= asked[region]
		result.away[region] /= asked[region]
	}
	return result
}

func (m *model) restartLeaders() {
	for i, instance := range m.instance {
		if i%perRegion == 0 {
			fresh := m.newInstance(instance.region, 0)
			fresh.history = nil
			m.instance[i] = fresh
		}
	}
}

// serve plays the requests of one step.
func (m *model) serve(at time.Duration, random *rand.Rand, result *outcome, asked []float64) {
	slots, roaming := 0.0, 0.0
	staying := make([]float64, len(m.regions))
	roamed := make([]float64, len(m.regions))
	for _, region := range m.regions {
		slots += region.slots
	}
	for _, instance := range m.instance {
		mean := m.demandAt(instance.region, at) / perRegion * balancer.StepInterval.Seconds()
		count := max(math.Round(mean+math.Sqrt(mean)*random.NormFloat64()), 0)
		instance.requests += uint64(count)
		need := count / balancer.StepInterval.Seconds() * m.work
		instance.inUse = need
		staying[instance.region] += need * (1 - instance.fraction)
		roamed[instance.region] += need * instance.fraction
		roaming += need * instance.fraction
	}
	loads := make([]float64, len(m.regions))
	for i, region := range m.regions {
		loads[i] = staying[i]/region.slots + roaming/slots
	}
	for i := range m.regions {
		asked[i] += staying[i] + roamed[i]
		result.served[i] += staying[i] * min(1/loads[i], 1)
		for j, region := range m.regions {
			part := roamed[i] * region.slots / slots
			result.served[i] += part * min(1/loads[j], 1)
			if i != j {
				result.away[i] += part
			}
		}
	}
}

// step does at an instance what it does every StepInterval.
func (i *modelInstance) step(m *model, at time.Duration, now time.Time) {
	i.balancer.SetMembers(m.others(i, at), now)
	slots := map[string]float64{}
	for _, region := range m.regions {
		slots[region.name] = region.slots
	}
	decisions := i.balancer.Adjust([]balancer.Service{
		{
			Name:        service,
			Slots:       slots,
			Requests:    i.requests,
			Fraction:    i.fraction,
			FractionFor: func(roaming float64) float64 { return roaming },
		},
	}, now)
	i.fraction = decisions[0].Fraction
	i.history = append(i.history, i.fraction)
}

// send returns the deliveries of the messages that an instance sends now.
func (m *model) send(from *modelInstance, now time.Time) []func(time.Time) bool {
	from.balancer.Observe(service, from.requests, from.inUse, now)
	if m.muteAt != 0 && from == m.instance[perRegion] && now.Sub(start) >= m.muteAt {
		return nil
	}
	var deliveries []func(time.Time) bool
	for _, member := range m.others(from, now.Sub(start)) {
		message, found := from.balancer.MessageTo(member, map[string]float64{service: from.fraction}, now)
		if !found {
			continue
		}
		deliveries = append(deliveries, func(at time.Time) bool {
			if at.Before(now.Add(messageLatency)) {
				return false
			}
			for _, to := range m.instance {
				if to.member.Name == member.Name {
					to.balancer.Receive(from.member.Name, message, at)
				}
			}
			return true
		})
	}
	return deliveries
}

// check records the shifts and the spread after a step.
func (m *model) check(result *outcome) {
	const rounds = int(window / balancer.StepInterval)
	for i, instance := range m.instance {
		history := instance.history
		last := len(history) - 1
		earlier := history[max(last-rounds, 0)]
		if instance.requests > 0 {
			result.largestShift = max(result.largestShift, math.Abs(history[last]-earlier))
		}
		for _, other := range m.instance[i/perRegion*perRegion : i] {
			if other.requests > 0 && instance.requests > 0 {
				result.largestSpread = max(result.largestSpread, math.Abs(other.fraction-instance.fraction))
			}
		}
	}
}
