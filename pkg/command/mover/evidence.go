package mover

import (
	"math"
	"slices"
	"strings"
)

// Count holds the numbers of attempts to send requests of one route to one or several
// versions. A request that is sent twice counts twice.
type Count struct {
	// Sent counts the attempts that have begun.
	Sent int `cbor:",omitempty"`
	// Requests counts the attempts that were answered or failed through a fault of the
	// version, and Failures those that failed.
	Requests int
	Failures int
	// Timed counts the attempts whose duration was compared with a limit, once the limit had
	// passed, and Slow those that had not been answered by then.
	Timed int `cbor:",omitempty"`
	Slow  int `cbor:",omitempty"`
}

// Plus returns the sum of two counts.
func (c Count) Plus(other Count) Count {
	return Count{
		Sent:     c.Sent + other.Sent,
		Requests: c.Requests + other.Requests,
		Failures: c.Failures + other.Failures,
		Timed:    c.Timed + other.Timed,
		Slow:     c.Slow + other.Slow,
	}
}

// Evidence holds the counts of one route's attempts at the new version and at all other
// versions of the service together.
type Evidence struct {
	Route string
	New   Count
	Old   Count
}

// Merge adds up evidence from several sources by route and returns the sums in the
// order of the routes' names.
func Merge(sources ...[]Evidence) []Evidence {
	byRoute := map[string]Evidence{}
	for _, source := range sources {
		for _, entry := range source {
			sum := byRoute[entry.Route]
			sum.Route = entry.Route
			sum.New = sum.New.Plus(entry.New)
			sum.Old = sum.Old.Plus(entry.Old)
			byRoute[entry.Route] = sum
		}
	}
	merged := make([]Evidence, 0, len(byRoute))
	for _, sum := range byRoute {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, func(a, b Evidence) int { return strings.Compare(a.Route, b.Route) })
	return merged
}

// since returns the evidence with what is known of the new version from an earlier time left
// out, so that a fault that appears late is not hidden by good answers from before. What is
// known of the other versions is kept whole.
func since(before, evidence []Evidence) []Evidence {
	known := map[string]Count{}
	for _, entry := range before {
		known[entry.Route] = entry.New
	}
	late := make([]Evidence, 0, len(evidence))
	for _, entry := range evidence {
		entry.New = entry.New.minus(known[entry.Route])
		late = append(late, entry)
	}
	return late
}

// routeBeyond returns the first route on which the failures of the new version exceed those of
// the others by a threshold, or false if there is none.
func routeBeyond(evidence []Evidence, threshold threshold) (route string, found bool) {
	for _, entry := range evidence {
		if entry.failures().exceeds(threshold) {
			return entry.Route, true
		}
	}
	return "", false
}

// minus returns the difference of two counts, and at least zero of each: an instance that
// has restarted counts from zero again.
func (c Count) minus(earlier Count) Count {
	return Count{
		Sent:     max(c.Sent-earlier.Sent, 0),
		Requests: max(c.Requests-earlier.Requests, 0),
		Failures: max(c.Failures-earlier.Failures, 0),
		Timed:    max(c.Timed-earlier.Timed, 0),
		Slow:     max(c.Slow-earlier.Slow, 0),
	}
}

// total returns the sums over all routes.
func total(evidence []Evidence) Evidence {
	var sum Evidence
	for _, entry := range evidence {
		sum.New = sum.New.Plus(entry.New)
		sum.Old = sum.Old.Plus(entry.Old)
	}
	return sum
}

// threshold says from when on a difference between the new and the other versions counts.
type threshold struct {
	// attempts and bad are the least numbers of attempts at the new version, and of bad ones
	// among them: fewer may be by chance.
	attempts int
	bad      int
	// excess is the least part of the attempts that would not be bad at the other versions but
	// is at the new one.
	excess float64
	// deviations is by how many standard deviations the bad attempts must exceed the expected
	// number.
	deviations float64
}

var (
	// failing is the threshold of a faulty version's failures. Its deviations are many because
	// the sums are tested many times during a move.
	failing = threshold{
		bad:        5,
		excess:     0.12,
		deviations: 4,
	}
	// maybeFailing is the threshold of a doubtful version's failures.
	maybeFailing = threshold{
		bad:        2,
		excess:     0.12,
		deviations: 4,
	}
	// failingLately is the threshold of the failures in one stage of a faulty version. There
	// are several stages, each with few attempts at first.
	failingLately = threshold{
		bad:        5,
		excess:     0.2,
		deviations: 5,
	}
	// maybeFailingLately is the same for a version that may be faulty.
	maybeFailingLately = threshold{
		bad:        2,
		excess:     0.1,
		deviations: 3,
	}
	// slow is the threshold of a faulty version's slow answers. Its excess is large because
	// objects that have just moved are new to the new version's upstreams, which serve them
	// slower at first.
	slow = threshold{
		attempts:   25,
		bad:        5,
		excess:     0.3,
		deviations: 4,
	}
	// slowLately is the threshold of a faulty version's slow answers once it gets all requests.
	// All objects have moved then, most of them just before.
	slowLately = threshold{
		attempts:   25,
		bad:        5,
		excess:     0.5,
		deviations: 4,
	}
	// maybeSlow is the threshold of a doubtful version's slow answers on all routes. It is
	// low, as doubt that passes costs a good version only time.
	maybeSlow = threshold{
		bad:        2,
		excess:     0.18,
		deviations: 1.5,
	}
	// maybeSlowOnRoute is the same for one of several routes.
	maybeSlowOnRoute = threshold{
		attempts:   20,
		bad:        5,
		excess:     0.25,
		deviations: 3,
	}
)

// minComparable is how many timed attempts the other versions must have on a route for the
// new version to be compared with them.
const minComparable = 10

// AllRoutes stands for all routes of a service in what Faulty returns.
const AllRoutes = "all routes"

// Faulty returns the first route on which the new version fails, or is slow, more often
// than the others, or false if there is none. The route is AllRoutes if only the sums over
// all routes show it.
func Faulty(evidence []Evidence) (route string, faulty bool) {
	return faultyBeyond(evidence, slow)
}

// faultyInWhole is Faulty for a new version that gets all requests.
func faultyInWhole(evidence []Evidence) (route string, faulty bool) {
	return faultyBeyond(evidence, slowLately)
}

// faultyBeyond is Faulty with a threshold for slow answers.
func faultyBeyond(evidence []Evidence, slow threshold) (route string, faulty bool) {
	if route, found := routeBeyond(evidence, failing); found {
		return route, true
	}
	for _, entry := range evidence {
		if entry.slowness().exceeds(slow) {
			return entry.Route, true
		}
	}
	if slownessOf(evidence).exceeds(slow) {
		return AllRoutes, true
	}
	return "", false
}

// minRequests is the number of attempts below which a new version counts as doubtful. The
// rule holds once the other versions have had so many that the first stage should have
// brought the new one 2*minRequests.
const minRequests = 10

// Doubtful reports whether the new version fails, or is slow, more often than the others,
// even if too little shows it to call it faulty, or gets hardly any requests. A doubtful
// move keeps its share: it goes to no further stage and is not done.
func Doubtful(evidence []Evidence) bool {
	if underexposed(evidence) || maybeFails(evidence) || slownessOf(evidence).exceeds(maybeSlow) {
		return true
	}
	return slices.ContainsFunc(evidence, func(entry Evidence) bool {
		return entry.slowness().exceeds(maybeSlowOnRoute)
	})
}

// maybeFails reports whether the new version fails more often than the others on some route.
func maybeFails(evidence []Evidence) bool {
	_, found := routeBeyond(evidence, maybeFailing)
	return found
}

// underexposed reports whether the new version has received far fewer requests than
// the first stage should have brought to it.
func underexposed(evidence []Evidence) bool {
	sum := total(evidence)
	return sum.New.Requests < minRequests && float64(sum.Old.Requests)*minShare >= 2*minRequests
}

// comparison holds how many attempts at the new version were bad in one respect, and how
// far that is from what would be expected if it were like the other versions.
type comparison struct {
	attempts int
	bad      int
	// expected is the expected number of bad attempts.
	expected float64
	// deviations is how unlikely at least so many are by chance, as the number of standard
	// deviations of a normal distribution.
	deviations float64
}

// exceeds reports whether bad attempts exceed the expected number by a threshold.
func (c comparison) exceeds(threshold threshold) bool {
	return c.attempts >= threshold.attempts &&
		c.bad >= threshold.bad &&
		float64(c.bad)-c.expected >= threshold.excess*(float64(c.attempts)-c.expected) &&
		c.deviations > threshold.deviations
}

// failures compares the failures of a route. The rate of the other versions counts as known.
func (e Evidence) failures() comparison {
	rate := fraction(e.Old.Failures, e.Old.Requests)
	return comparison{
		attempts:   e.New.Requests,
		bad:        e.New.Failures,
		expected:   float64(e.New.Requests) * rate,
		deviations: likelihoodDeviations(e.New.Failures, e.New.Requests, rate),
	}
}

// likelihoodDeviations returns how unlikely it is that so many attempts are bad at a rate, by
// the likelihood ratio: with few attempts or a rate near 0, a normal approximation would call
// too much unlikely. It returns 0 if no more are bad than expected.
func likelihoodDeviations(bad, attempts int, rate float64) float64 {
	share := fraction(bad, attempts)
	if share <= rate {
		return 0
	}
	if rate == 0 {
		return math.Inf(1)
	}
	divergence := share * math.Log(share/rate)
	if share < 1 {
		divergence += (1 - share) * math.Log((1-share)/(1-rate))
	}
	return math.Sqrt(2 * float64(attempts) * divergence)
}

// slowness compares the slow answers of a route (see slownessOf).
func (e Evidence) slowness() comparison {
	return slownessOf([]Evidence{e})
}

// slownessOf compares the slow answers of routes, each with the others' on the same route. A
// route on which the other versions have too few is left out. The variance allows for their
// rate being known from few attempts only.
func slownessOf(routes []Evidence) comparison {
	var sum comparison
	variance := 0.0
	for _, route := range routes {
		if route.Old.Timed < minComparable {
			continue
		}
		both := route.New.Plus(route.Old)
		rate := fraction(both.Slow, both.Timed)
		attempts := float64(route.New.Timed)
		sum.attempts += route.New.Timed
		sum.bad += route.New.Slow
		sum.expected += attempts * fraction(route.Old.Slow, route.Old.Timed)
		variance += attempts * rate * (1 - rate) * (1 + attempts/float64(route.Old.Timed))
	}
	if variance > 0 {
		sum.deviations = (float64(sum.bad) - sum.expected) / math.Sqrt(variance)
	}
	return sum
}

// fraction returns part/whole, or 0 if whole is 0.
func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
