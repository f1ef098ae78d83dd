package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
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
	cutAt    time.Duration
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
	// turns is how often a fraction has changed its direction.
	turns int
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

// play runs the model. Adjust, if false, leaves the fractions as they are.
func (m *model) play(adjust bool) outcome {
	random := rand.New(rand.NewPCG(m.seed, 1))
	start := time.Unix(1_000_000, 0)
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
		if !adjust {
			continue
		}
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
	var deliveries []func(time.Time) bool
	for _, member := range m.others(from, now.Sub(time.Unix(1_000_000, 0))) {
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
		if last >= 2 && (history[last]-history[last-1])*(history[last-1]-history[last-2]) < 0 {
			result.turns++
		}
		for _, other := range m.instance[i/perRegion*perRegion : i] {
			if other.requests > 0 && instance.requests > 0 {
				result.largestSpread = max(result.largestSpread, math.Abs(other.fraction-instance.fraction))
			}
		}
	}
}

// unevenRegions are regions with 43, 9 and 36 upstreams in each of two failure domains, at 4
// slots each, and with these weights. The fractions at the start are those for equal demand.
func unevenRegions(east, south, west float64) []modelRegion {
	return []modelRegion{
		{
			name:   "east",
			slots:  344,
			weight: east,
		},
		{
			name:    "south",
			slots:   72,
			initial: 0.77,
			weight:  south,
		},
		{
			name:   "west",
			slots:  288,
			weight: west,
		},
	}
}

// TestWavesAreServed guards against a region with few upstreams that refuses requests while
// others have room, against a part that jumps, at the start and at the end of the traffic too,
// and against instances of one region that disagree.
func TestWavesAreServed(t *testing.T) {
	// maxSpread is what a part may move within a second, and two steps.
	const maxSpread = perWindow/2 + 2*perWindow/9
	cases := []struct {
		name string
		// load is the mean load of all slots.
		load            float64
		begin, end      time.Duration
		restartLeaderAt time.Duration
		cutAt           time.Duration
		// weights are those of the regions; all 1 if they are 0.
		weights [3]float64
		// minServed is the least part of the work of each region that must find a slot.
		minServed float64
		// maxAway, unless zero, is the most of the south's work that may run elsewhere.
		maxAway float64
	}{
		{
			name:      "a short day",
			load:      0.45,
			begin:     6 * time.Second,
			end:       36 * time.Second,
			minServed: 0.99,
		},
		{
			name:      "many waves",
			load:      0.45,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			minServed: 0.98,
		},
		{
			name:      "little room",
			load:      0.75,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			minServed: 0.93,
		},
		{
			name:            "the leaders restart",
			load:            0.45,
			begin:           6 * time.Second,
			end:             200 * time.Second,
			restartLeaderAt: 60 * time.Second,
			minServed:       0.98,
		},
		{
			name:      "the region with few upstreams has few requests",
			load:      0.45,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			weights:   [3]float64{1.6, 0.3, 1.1},
			minServed: 0.98,
			maxAway:   0.35,
		},
		{
			name:      "one region is cut off",
			load:      0.45,
			begin:     6 * time.Second,
			end:       200 * time.Second,
			cutAt:     60 * time.Second,
			minServed: 0.98,
		},
	}
	const seeds = 5
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			weights := c.weights
			if weights == [3]float64{} {
				weights = [3]float64{1, 1, 1}
			}
			for seed := range uint64(seeds) {
				newModel := func() *model {
					const work = 0.4
					return &model{
						regions:         unevenRegions(weights[0], weights[1], weights[2]),
						perSecond:       c.load * (344 + 72 + 288) / 3 / work,
						work:            work,
						begin:           c.begin,
						end:             c.end,
						length:          c.end + 10*time.Second,
						restartLeaderAt: c.restartLeaderAt,
						cutAt:           c.cutAt,
						seed:            seed,
					}
				}
				got := newModel().play(true)
				fixed := newModel().play(false)
				t.Logf("seed %d: served %.3f, away %.3f, shift %.3f, spread %.3f, turns %d; fixed parts: served %.3f, away %.3f",
					seed, got.served, got.away, got.largestShift, got.largestSpread, got.turns, fixed.served, fixed.away)
				if lowest := slices.Min(got.served); lowest < c.minServed {
					t.Errorf("seed %d: got %.3f of a region's work served, want %.2f", seed, lowest, c.minServed)
				}
				if c.maxAway > 0 && got.away[1] > c.maxAway {
					t.Errorf("seed %d: got %.3f of the south's work elsewhere, want at most %.2f", seed, got.away[1], c.maxAway)
				}
				if got.largestShift > perWindow+1e-9 {
					t.Errorf("seed %d: got a part that moved by %.3f in %v, want at most %v", seed, got.largestShift, window, perWindow)
				}
				if got.largestSpread > maxSpread && c.restartLeaderAt == 0 {
					t.Errorf("seed %d: got parts %.3f apart in one region, want at most %.3f", seed, got.largestSpread, maxSpread)
				}
			}
		})
	}
}
