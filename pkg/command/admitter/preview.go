package admitter

import (
	"slices"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

// Preview is what would be decided on a request, and by which inputs. It is immutable.
type Preview struct {
	// Revision and Generation are those of the configuration and of the plan in force.
	Revision   uint64
	Generation uint64
	// Route, Service and the fields up to Position are set if a route matches. Idempotent
	// reports that the request may be sent again after MayHaveRun. TimeoutMillis is the time
	// from its arrival to its deadline.
	Route         string
	Service       string
	Idempotent    bool
	TimeoutMillis int64
	// Position is the position of the object among all objects, from 0 to 1, and HasObject
	// reports that there is one. MovedShare is the fraction of objects that the service's new
	// version serves.
	Position   float64
	HasObject  bool
	MovedShare float64
	// AnyRegion reports that the request is part of the spillover, for which the distance of
	// an upstream costs nothing.
	AnyRegion bool
	// Regions are the regions in which the request may run by its route and its team; empty
	// for all.
	RouteRegions []string
	TeamRegions  []string
	// LoadBound is the load from which on upstreams of the service get no more requests.
	LoadBound float64
	// Rate is the state of the team's rate limit; nil if it has none.
	Rate *RatePreview
	// Upstream is the name of the upstream that the first attempt would choose; empty after a
	// refusal.
	Upstream string
	// Refusal is why the request would be refused; nil if it would be sent.
	Refusal *RefusalPreview
	// Candidates are the upstreams among which it would choose, in the order in which the
	// object prefers them.
	Candidates []CandidatePreview
}

// RatePreview is the state of the part of a team's rate limit that this instance has.
type RatePreview struct {
	// PerSecond and Burst are the instance's part, and Admits reports that it would admit the
	// request now. Otherwise it might wait for it.
	PerSecond float64
	Burst     int
	Admits    bool
}

// RefusalPreview is a refusal with which a request would end.
type RefusalPreview struct {
	Reason  arbiter.Reason
	Detail  string
	RetryAt time.Time
}

// Preview returns what would be decided on a request of a team now, by the functions that
// decide on requests. It takes no token and no slot, and changes nothing. The team takes the
// place of a key, which the request needs not have; it may be empty.
func (a *Admitter) Preview(request Request, team string) Preview {
	var preview Preview
	if plan := a.plans.Load(); plan != nil {
		preview.Revision = plan.table.RevisionNumber()
		preview.Generation = plan.RevisionNumber()
	}
	admission, refusal := a.match(request)
	if refusal != nil {
		return preview.withRefusal(refusal)
	}
	if refusal = a.assumeTeam(&admission, team, request.Now); refusal != nil {
		return preview.withAdmission(admission, request.Now).withRefusal(refusal)
	}
	preview = preview.withAdmission(admission, request.Now)
	if refusal = preview.addRate(admission, request.Now); refusal != nil {
		preview = preview.withRefusal(refusal)
	}
	return preview.withChoice(admission, request)
}

// assumeTeam gives an admission a key of a team, and checks that it may be used for the
// service.
func (a *Admitter) assumeTeam(admission *Admission, name string, now time.Time) *arbiter.Refusal {
	if admission.Route.Declared.Open {
		return nil
	}
	if name == "" {
		return arbiter.Refuse(arbiter.KeyMissing, "the route needs a key; name a team")
	}
	team, found := admission.Plan.table.Set().Teams.Get(name)
	if !found {
		return arbiter.Refuse(arbiter.KeyUnknown, "no such team")
	}
	key := &router.Key{
		Declared: declarer.Key{
			Team: name,
		},
		Team: team,
	}
	if refusal := a.authorize(key, admission.Service, now); refusal != nil {
		return refusal
	}
	admission.Key = key
	return nil
}

// withRefusal returns a copy with a refusal, unless there is one already.
func (p Preview) withRefusal(refusal *arbiter.Refusal) Preview {
	if p.Refusal == nil {
		p.Refusal = &RefusalPreview{
			Reason:  refusal.Reason,
			Detail:  refusal.Detail,
			RetryAt: refusal.RetryAt,
		}
	}
	return p
}

// withAdmission returns a copy with what an admission says.
func (p Preview) withAdmission(admission Admission, now time.Time) Preview {
	p.Route = admission.Route.Declared.Name
	p.Service = admission.Service
	p.Idempotent = admission.Idempotent
	p.TimeoutMillis = admission.Deadline.Sub(now).Milliseconds()
	p.Position, p.HasObject = admission.ObjectPosition()
	p.RouteRegions = admission.Route.Declared.Homes
	p.TeamRegions = admission.teamRegions()
	p.LoadBound = admission.LoadBound()
	return p
}

// addRate adds the state of the team's rate limit, and returns a refusal if it does not admit
// the request now.
func (p *Preview) addRate(admission Admission, now time.Time) *arbiter.Refusal {
	if admission.Key == nil || admission.Key.Team.IsUnlimited() {
		return nil
	}
	limiter := admission.Plan.limiters[admission.Key.Team.Name]
	part := limiter.Bucket.Limit()
	retryAt, admits := limiter.Peek(now)
	p.Rate = &RatePreview{
		PerSecond: part.RatePerSecond,
		Burst:     part.Burst,
		Admits:    admits,
	}
	if admits {
		return nil
	}
	return arbiter.Refuse(arbiter.TeamOverRate, "the team's rate is used up; the request would wait for it").WithRetryAt(retryAt)
}

// withChoice returns a copy with the upstream that an attempt would choose now and the
// candidates for it.
func (p Preview) withChoice(admission Admission, request Request) Preview {
	hash := admission.objectHash
	if hash == 0 {
		hash = request.Random
	}
	plan := admission.currentPlan()
	pools := plan.pools[admission.Service]
	wanted := admission.criteriaAt(plan, request.Now, hash)
	wanted.preview = true
	p.MovedShare = pools.share
	p.AnyRegion = wanted.anyRegion
	chosen, refusal := pools.acquireAny(hash, wanted)
	if refusal != nil {
		p = p.withRefusal(refusal)
	}
	if p.Refusal == nil {
		p.Upstream = chosen.Declared().Name
	}
	primary, fallback := pools.poolsForObject(hash)
	p.Candidates = append(primary.previews(hash, wanted, false), fallback.previews(hash, wanted, true)...)
	return p
}

// previews returns the upstreams of a pool, which may be nil, in the order in which an object
// prefers them.
func (p *Pool) previews(hash uint64, wanted criteria, fallback bool) []CandidatePreview {
	if p == nil {
		return nil
	}
	var all []CandidatePreview
	for _, tier := range p.tiers {
		begin := len(all)
		for _, member := range tier {
			next := member.preview(wanted)
			next.Fallback = fallback
			next.Rank = p.rankOf(member.Upstream, hash, wanted)
			all = append(all, next)
		}
		slices.SortStableFunc(all[begin:], func(a, b CandidatePreview) int { return a.Rank - b.Rank })
	}
	return all
}
