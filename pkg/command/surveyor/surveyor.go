// Package surveyor sums what the instances of a deployment find out about objects and loads.
// In each failure domain one instance, the leader, sums what the members of the domain tell,
// exchanges the sums with the leaders of the other domains, and tells the members what all
// have found. So the number of messages grows with the instances, not with their square. A
// Surveyor keeps the state of one instance, whether it leads or not. It does no I/O, takes
// the time as an argument, and is not safe for concurrent use.
package surveyor

import (
	"math"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

const (
	// Interval is the time between two messages on a link.
	Interval = time.Second
	// lifetime is how long what a sender has told counts: the next messages may be late.
	lifetime = 4 * time.Second
	// meanTime is the time constant of the mean loads. Shorter means hold too few reports of
	// an upstream that answers a few requests a second.
	meanTime = 2 * time.Second
)

// Survey is what one instance has found, or the instances of one failure domain together.
type Survey struct {
	// Caches are cumulative: each survey of a sender replaces the one before. But their Popular
	// counts, as Loads do, what has been found since the sender's survey before.
	Caches []admitter.CacheDigest
	// Loads are what has been found since the sender's survey before.
	Loads []admitter.LoadSum
}

// Findings is what all instances have found together.
type Findings struct {
	Caches []admitter.CacheNotice
	Loads  []admitter.LoadNotice
}

// told is the caches that a sender has told.
type told struct {
	caches []admitter.CacheDigest
	until  time.Time
}

// Surveyor sums the surveys of members and of other leaders.
type Surveyor struct {
	// members and domains hold what has been told, by sender.
	members map[string]told
	domains map[string]told
	// memberLoads and domainLoads are the loads told since the last call of Sum.
	memberLoads []admitter.LoadSum
	domainLoads []admitter.LoadSum
	// memberCounts and domainCounts are the counts of popular objects told since then.
	memberCounts objectSum
	domainCounts objectSum
	// rates holds the demand for objects.
	rates rates
	// means holds the mean load of each upstream, by its seed.
	means map[uint64]mean
	// summedAt is when Sum was called last.
	summedAt time.Time
}

// mean is the means over reports, of which older ones count less.
type mean struct {
	sum           float64
	count         float64
	slowdowns     float64
	slowdownCount float64
}

// fade returns the mean in which the reports so far count as the fraction kept.
func (m mean) fade(kept float64) mean {
	m.sum *= kept
	m.count *= kept
	m.slowdowns *= kept
	m.slowdownCount *= kept
	return m
}

// with returns the mean with the reports of a sum.
func (m mean) with(load admitter.LoadSum) mean {
	m.sum += load.Sum
	m.count += float64(load.Count)
	m.slowdowns += load.Slowdowns
	m.slowdownCount += float64(load.SlowdownCount)
	return m
}

// notice returns the means of an upstream.
func (m mean) notice(upstream uint64) admitter.LoadNotice {
	notice := admitter.LoadNotice{
		Upstream: upstream,
		Load:     m.sum / m.count,
	}
	if m.slowdownCount >= minReports {
		notice.Slowdown = m.slowdowns / m.slowdownCount
	}
	return notice
}

// minReports is the weight of reports below which a mean is forgotten.
const minReports = 0.05

// New returns a surveyor that has been told nothing.
func New() *Surveyor {
	return &Surveyor{
		members:      map[string]told{},
		domains:      map[string]told{},
		memberCounts: objectSum{},
		domainCounts: objectSum{},
		rates:        rates{},
		means:        map[uint64]mean{},
	}
}

// ReceiveMember receives the survey of a member of this instance's failure domain.
func (s *Surveyor) ReceiveMember(sender string, survey Survey, now time.Time) {
	s.members[sender] = newTold(survey, now)
	s.memberLoads = append(s.memberLoads, survey.Loads...)
	s.memberCounts.add(survey.Caches)
}

// ReceiveDomain receives the survey of another failure domain from its leader.
func (s *Surveyor) ReceiveDomain(sender string, survey Survey, now time.Time) {
	s.domains[sender] = newTold(survey, now)
	s.domainLoads = append(s.domainLoads, survey.Loads...)
	s.domainCounts.add(survey.Caches)
}

func newTold(survey Survey, now time.Time) told {
	return told{
		caches: survey.Caches,
		until:  now.Add(lifetime),
	}
}

// Sum returns the survey of this instance's failure domain, from its own survey and those of
// the members, and what all domains have found together. A leader must call it every Interval.
func (s *Surveyor) Sum(own Survey, now time.Time) (Survey, Findings) {
	dropLapsed(s.members, now)
	dropLapsed(s.domains, now)
	domainCaches := newCacheSum()
	domainCaches.add(own.Caches)
	domainCaches.addAll(s.members)
	domainLoads := sumLoads(own.Loads, s.memberLoads)
	s.memberCounts.add(own.Caches)
	survey := Survey{
		Caches: domainCaches.digests(s.memberCounts),
		Loads:  domainLoads,
	}
	domainCaches.addAll(s.domains)
	s.domainCounts.add(survey.Caches)
	elapsed := now.Sub(s.summedAt)
	if s.summedAt.IsZero() || elapsed <= 0 {
		elapsed = Interval
	}
	s.summedAt = now
	s.rates.update(s.domainCounts, elapsed)
	findings := Findings{
		Caches: domainCaches.notices(s.rates),
		Loads:  s.updateMeans(sumLoads(domainLoads, s.domainLoads), elapsed),
	}
	s.memberLoads = nil
	s.domainLoads = nil
	s.memberCounts = objectSum{}
	s.domainCounts = objectSum{}
	return survey, findings
}

// updateMeans adds loads to the means, and returns the means of the upstreams that have told
// their load.
func (s *Surveyor) updateMeans(loads []admitter.LoadSum, elapsed time.Duration) []admitter.LoadNotice {
	kept := math.Exp(-elapsed.Seconds() / meanTime.Seconds())
	for upstream, before := range s.means {
		after := before.fade(kept)
		if after.count < minReports {
			delete(s.means, upstream)
			continue
		}
		s.means[upstream] = after
	}
	notices := make([]admitter.LoadNotice, 0, len(loads))
	for _, load := range loads {
		after := s.means[load.Upstream].with(load)
		s.means[load.Upstream] = after
		notices = append(notices, after.notice(load.Upstream))
	}
	return notices
}

// sumLoads returns the sums of loads by upstream, sorted by upstream.
func sumLoads(parts ...[]admitter.LoadSum) []admitter.LoadSum {
	sums := map[uint64]admitter.LoadSum{}
	for _, part := range parts {
		for _, load := range part {
			if load.Count == 0 {
				continue
			}
			sum := sums[load.Upstream]
			sum.Upstream = load.Upstream
			sum.Sum += load.Sum
			sum.Count += load.Count
			sum.Slowdowns += load.Slowdowns
			sum.SlowdownCount += load.SlowdownCount
			sums[load.Upstream] = sum
		}
	}
	return sortedValues(sums, func(a, b uint64) bool { return a < b })
}

func dropLapsed(all map[string]told, now time.Time) {
	for sender, told := range all {
		if !now.Before(told.until) {
			delete(all, sender)
		}
	}
}
