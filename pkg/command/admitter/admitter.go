// Package admitter decides whether a request may run, and at which upstream. It is
// independent of protocols and connections: a front end passes it a Request and acts
// on the Admission that it returns.
//
// The package also keeps what this instance knows of each upstream: the slots in use, the
// health, by what failed attempts show, and the load. It leaves to others which route and
// key a request has (router), how rates and slots are counted (limiter, sharer), the choice
// among usable upstreams (picker), and whether a failed request is sent again (retrier).
//
// All decisions follow the Plan in force. An instance's parts of the teams' limits come
// from its seats, or from Apportion in a plan with affinity. A seat is the right to one
// part of every limit, held by one incarnation. A move is the canary rollout of a
// service's new version. An upstream that has just started or was unreachable can serve
// only a few requests per second for a while; during that time it is cold.
package admitter

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/sharer"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/hasher"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
)

const (
	// NoRoomRetryMillis is the retry delay, in milliseconds, that a refusal names when no
	// upstream has a free slot.
	NoRoomRetryMillis = 1000
	// NoShareRetryMillis is the retry delay, in milliseconds, that a refusal names when
	// the instance holds no part of the team's rate or has no configuration yet.
	NoShareRetryMillis = 1000
)

// Request describes a request before it runs.
type Request struct {
	// Host is the host name that the caller requested, with or without port.
	Host string
	// Path is the decoded path. EscapedPath is the escaped path if it differs.
	Path        string
	EscapedPath string
	// Method is the HTTP method, or the equivalent of another protocol.
	Method string
	// Key is the key that the caller presented, or empty.
	Key string
	// Object names the object that the request concerns, or is empty. Requests for
	// the same object prefer the same upstreams.
	Object string
	// Random distributes requests over the services of a route.
	Random uint64
	// Now is the present time. ArrivedAt is when the request began to arrive, from which its
	// route's timeout counts; the zero value means Now.
	Now       time.Time
	ArrivedAt time.Time
	// Deadline is the deadline that the caller set, or zero.
	Deadline time.Time
}

// Admission is an admitted request. It holds no slot until Acquire.
type Admission struct {
	// Plan is the plan that admitted the request.
	Plan *Plan
	// Route is the route that the request matched, and Service is the one of its
	// services that serves the request.
	Route   *router.Route
	Service string
	// Key is the caller's key, or nil on an open route.
	Key *router.Key
	// Idempotent reports that the request may be repeated after MayHaveRun.
	Idempotent bool
	// Deadline is the time at which the request ends; never zero.
	Deadline time.Time
	// DeadlineFromCaller reports that the caller set the deadline and that it is earlier than
	// the route's. Exceeding such a deadline is not evidence against the upstream.
	DeadlineFromCaller bool

	// objectHash is the hash of Request.Object, or 0.
	objectHash uint64
	// plans holds the plan in force, which may be newer than Plan.
	plans *holder.Cell[Plan]
	// limiter limits the team's rate; nil on an open route and for an unlimited team.
	limiter *sharer.Limiter
}

// Admitter admits requests by the plan in force. It is safe for concurrent use, and
// admitting a request takes no lock.
type Admitter struct {
	plans     *holder.Cell[Plan]
	freshness *Freshness
}

// New returns an admitter that decides by the newest plan in plans. It uses freshness to
// tell whether the keys of a team with KeysStopAfterMillis still work.
func New(plans *holder.Cell[Plan], freshness *Freshness) *Admitter {
	return &Admitter{
		plans:     plans,
		freshness: freshness,
	}
}

// Admit decides whether a request may run. The verdict of every refusal is NotRun.
// After a refusal because of the team's rate, Wait can be called on the returned
// admission.
func (a *Admitter) Admit(request Request) (Admission, *arbiter.Refusal) {
	admission, refusal := a.match(request)
	if refusal != nil {
		return Admission{}, refusal
	}
	if admission.Route.Declared.Open {
		return admission, nil
	}
	refusal = a.authenticate(&admission, request)
	if refusal != nil {
		return Admission{}, refusal
	}
	return admission.charge(request.Now)
}

// match finds the route and the service of a request. It changes nothing.
func (a *Admitter) match(request Request) (Admission, *arbiter.Refusal) {
	plan := a.plans.Load()
	if plan == nil || plan.table.RevisionNumber() == 0 {
		refusal := arbiter.Refuse(arbiter.NotReady, "no configuration is in force yet")
		return Admission{}, refusal.WithRetryAt(request.Now.Add(NoShareRetryMillis * time.Millisecond))
	}
	if !router.IsUnambiguousPath(request.Path, request.EscapedPath) {
		return Admission{}, arbiter.Refuse(arbiter.RequestMalformed, "the path has dot segments, empty segments or escaped slashes")
	}
	route, found := plan.table.Route(request.Host, request.Path)
	if !found {
		return Admission{}, arbiter.Refuse(arbiter.UnknownService, "no route has this host name and path")
	}
	deadline, fromCaller := effectiveDeadline(request, route.Declared)
	service := route.Service(request.Random)
	admission := Admission{
		Plan:               plan,
		Route:              route,
		Service:            service,
		Idempotent:         route.Idempotent(request.Method),
		Deadline:           deadline,
		DeadlineFromCaller: fromCaller,
		objectHash:         hashObject(request.Object),
		plans:              a.plans,
	}
	if !request.Now.Before(admission.Deadline) {
		return Admission{}, arbiter.Refuse(arbiter.DeadlineExceeded, "the deadline has passed")
	}
	return admission, nil
}

// IsIdempotent reports whether a request may be repeated after MayHaveRun, by the plan in
// force. It returns false if no route matches.
func (a *Admitter) IsIdempotent(host, path, method string) bool {
	plan := a.plans.Load()
	if plan == nil {
		return false
	}
	route, found := plan.table.Route(host, path)
	return found && route.Idempotent(method)
}

// currentPlan returns the plan whose upstreams the request may be sent to. That is the
// plan in force, so that a request that is sent late does not go to an upstream that is
// leaving or no longer declared by then. If the service is no longer declared, it is the
// plan that admitted the request.
func (a Admission) currentPlan() *Plan {
	plan := a.plans.Load()
	if _, found := plan.pools[a.Service]; !found {
		return a.Plan
	}
	return plan
}

// Acquire takes a slot at an upstream of the plan in force. The upstream is chosen by the
// hash of the request's object, or by random for a request without an object. The
// upstream to avoid, which may be nil, is used only if no other one is usable. The caller
// must call Release on the upstream.
func (a Admission) Acquire(now time.Time, random uint64, avoid *Upstream) (*Upstream, *arbiter.Refusal) {
	random, pools, wanted := a.choice(now, random, avoid)
	upstream, refusal := pools.acquireAny(random, wanted)
	if refusal == nil {
		// A request that waits tries again and again, so only a success counts as demand.
		a.currentPlan().spillovers[a.Service].countRequest()
	}
	return upstream, refusal
}

// criteriaAt returns which upstreams the request may use at a time. The hash is that of its
// object, or a random number.
func (a Admission) criteriaAt(plan *Plan, now time.Time, hash uint64) criteria {
	return criteria{
		now:          now,
		routeRegions: a.Route.Declared.Homes,
		teamRegions:  a.teamRegions(),
		anyRegion:    plan.spillovers[a.Service].includes(hash),
		anyChoice:    !a.hasCopies(),
	}
}

// acquireAny takes a slot at the best upstream for an object, given by its hash, if need be at
// the one to avoid.
func (p versionPools) acquireAny(random uint64, wanted criteria) (*Upstream, *arbiter.Refusal) {
	if upstream, found := p.acquire(random, wanted); found {
		return upstream, nil
	}
	if wanted.avoid != nil {
		// No other upstream is available, so the avoided one may serve the request.
		wanted.avoid = nil
		if upstream, found := p.acquire(random, wanted); found {
			return upstream, nil
		}
	}
	retryAt := wanted.now.Add(NoRoomRetryMillis * time.Millisecond)
	if next := p.nextRetryAt(random, wanted); next.After(retryAt) {
		retryAt = next
	}
	return nil, arbiter.Refuse(arbiter.NoRoom, "no upstream has a free slot").WithRetryAt(retryAt)
}

// LoadBound returns the load, in requests for each slot, from which on this instance sends
// the upstreams of the request's service no more requests; 0 if the service has none.
func (a Admission) LoadBound() float64 {
	bound, found := a.currentPlan().loadBounds[a.Service]
	if !found {
		return 0
	}
	return bound.value()
}

// teamRegions returns the regions in which the team's requests may run. An empty list
// means all.
func (a Admission) teamRegions() []string {
	if a.Key == nil {
		return nil
	}
	return a.Key.Team.Homes
}

// ObjectPosition returns the position of the request's object among all objects, from 0 up
// to but not including 1, or false if the request has no object. During a move, the objects
// whose position is below the move's share have moved to the new version.
func (a Admission) ObjectPosition() (float64, bool) {
	return hashFraction(a.objectHash), a.objectHash != 0
}

// Attempts returns the maximum number of attempts to send the request. A route that
// declares no number uses defaultAttempts.
func (a Admission) Attempts(defaultAttempts int) int {
	if a.Route.Declared.Attempts == 0 {
		return defaultAttempts
	}
	return a.Route.Declared.Attempts
}

// Refund gives the request's token back to the team's limiter. The request must be
// proved not to have run.
func (a Admission) Refund(now time.Time) {
	if a.limiter != nil {
		a.limiter.Bucket.Deposit(1, now)
	}
}

// objectiveDivisor limits how long a request waits for its team's rate: at most the
// route's objective divided by this number.
const objectiveDivisor = 3

// Wait queues a request that was refused because of its team's rate. The request
// waits until sharer.MaxWait, its route's objective divided by objectiveDivisor, or
// its deadline has passed, whichever is first. Wait returns false if the request cannot
// wait. Otherwise admitted is called once: with true when the team's rate admits the
// request, or with false when the wait has ended without that. The team's limiter must
// be polled while requests wait.
func (a Admission) Wait(now time.Time, admitted func(bool)) bool {
	if a.limiter == nil {
		return false
	}
	wait := sharer.MaxWait
	if objective := a.Route.Declared.ObjectiveMillis; objective > 0 {
		wait = min(wait, time.Duration(objective)*time.Millisecond/objectiveDivisor)
	}
	deadline := now.Add(wait)
	if a.Deadline.Before(deadline) {
		deadline = a.Deadline
	}
	return a.limiter.Enqueue(now, deadline, admitted)
}

// Team returns the name of the caller's team, or "" on an open route.
func (a Admission) Team() string {
	if a.Key == nil {
		return ""
	}
	return a.Key.Declared.Team
}

// authenticate looks up the key that a request presents, stores it in the admission
// and checks that it may be used for the service.
func (a *Admitter) authenticate(admission *Admission, request Request) *arbiter.Refusal {
	if request.Key == "" {
		return arbiter.Refuse(arbiter.KeyMissing, "show a key as Authorization: Bearer KEY")
	}
	key, found := admission.Plan.table.Key(declarer.HashKey(request.Key))
	if !found {
		return arbiter.Refuse(arbiter.KeyUnknown, "no such key")
	}
	admission.Key = key
	return a.authorize(key, admission.Service, request.Now)
}

// authorize returns a refusal if a declared key may not be used for a service, and nil
// otherwise.
func (a *Admitter) authorize(key *router.Key, service string, now time.Time) *arbiter.Refusal {
	switch {
	case key.Declared.Withdrawn:
		return refuseWithdrawn()
	case !key.MayUse(service):
		return arbiter.Refuse(arbiter.TeamNotAllowed, "the key's team may not use this service")
	case a.keysStopped(key.Team, now):
		return refuseUnconfirmed()
	default:
		return nil
	}
}

// keysStopped reports whether the team's keys have stopped working because the
// configuration has not been confirmed for too long.
func (a *Admitter) keysStopped(team declarer.Team, now time.Time) bool {
	if team.KeysStopAfterMillis == 0 {
		return false
	}
	maxAge := time.Duration(team.KeysStopAfterMillis) * time.Millisecond
	return now.Sub(a.freshness.ConfirmedAt()) > maxAge
}

// charge takes one token of the team's rate. If there is none, it returns a refusal
// together with an admission that can still Wait.
func (a Admission) charge(now time.Time) (Admission, *arbiter.Refusal) {
	if a.Key.Team.IsUnlimited() {
		return a, nil
	}
	a.limiter = a.Plan.limiters[a.Key.Team.Name]
	retryAt, ok := a.limiter.Take(now)
	if ok {
		return a, nil
	}
	if retryAt.IsZero() {
		retryAt = now.Add(NoShareRetryMillis * time.Millisecond)
	}
	return a, arbiter.Refuse(arbiter.TeamOverRate, "the team's rate is used up").WithRetryAt(retryAt)
}

// effectiveDeadline returns the earlier of the caller's deadline and the route's.
// fromCaller reports that it is the caller's and earlier than the route's.
func effectiveDeadline(request Request, route declarer.Route) (deadline time.Time, fromCaller bool) {
	arrivedAt := request.ArrivedAt
	if arrivedAt.IsZero() {
		arrivedAt = request.Now
	}
	routeDeadline := arrivedAt.Add(time.Duration(route.EffectiveTimeoutMillis()) * time.Millisecond)
	if request.Deadline.IsZero() || !request.Deadline.Before(routeDeadline) {
		return routeDeadline, false
	}
	return request.Deadline, true
}

// hashObject returns the hash of an object's name, or 0 for an empty name.
func hashObject(object string) uint64 {
	if object == "" {
		return 0
	}
	return hasher.Sum(object)
}
