// Package admitter decides whether a request may run, and where. It knows no
// encoding and no connection: a front end hands it a Request and acts on the
// Admission.
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
	// NoRoomMillis is after how long a request refused for want of room is worth
	// another try, in milliseconds.
	NoRoomMillis = 1000
	// NoShareMillis is the same for a request refused by an instance that holds no
	// part of the team's rate.
	NoShareMillis = 1000
)

// Request is what is known of a request before it runs.
type Request struct {
	// Host is the host name that the caller asked for, with or without port.
	Host string
	// Path is the decoded path; EscapedPath the escaped one if it differs.
	Path        string
	EscapedPath string
	// Method is the HTTP method or its like.
	Method string
	// Key is the key that the caller showed, or empty.
	Key string
	// Object names what the request is about, or is empty.
	Object string
	// Random spreads requests over the services of a route.
	Random uint64
	// Now is the instant of arrival.
	Now time.Time
	// Deadline is the caller's own deadline, or zero.
	Deadline time.Time
}

// Admission is a request that may run. It holds no slot yet.
type Admission struct {
	// Plan admitted the request.
	Plan *Plan
	// Route is what the caller asked for, and Service the one of its services that
	// serves the request.
	Route   *router.Route
	Service string
	// Key is the caller's key; nil on a route open to all.
	Key *router.Key
	// Idempotent says that the request may be repeated after MayHaveRun.
	Idempotent bool
	// Deadline ends the request; never zero.
	Deadline time.Time
	// Hurried says that the deadline is the caller's own, and earlier than the
	// service's. That it passes says nothing about the upstream.
	Hurried bool

	// object is the hash of Request.Object, or 0.
	object uint64
	// plans holds the plan in force, which may be a later one than Plan.
	plans *holder.Cell[Plan]
	desk  *sharer.Desk
}

// Admitter admits requests by the plan in force. Safe for many goroutines; its
// path takes no lock.
type Admitter struct {
	plans *holder.Cell[Plan]
	fresh *Freshness
}

// New returns an admitter that follows a cell of plans, and the freshness of what
// they are made from.
func New(plans *holder.Cell[Plan], fresh *Freshness) *Admitter {
	return &Admitter{
		plans: plans,
		fresh: fresh,
	}
}

// Admit decides on one request. Every refusal is NotRun. After a refusal for the
// team's rate, the admission can still Wait for it.
func (a *Admitter) Admit(request Request) (Admission, *arbiter.Refusal) {
	plan := a.plans.Load()
	if plan == nil || plan.table.RevisionNumber() == 0 {
		refusal := arbiter.Refuse(arbiter.NotReady, "no configuration is in force yet")
		return Admission{}, refusal.WithRetryAt(request.Now.Add(NoShareMillis * time.Millisecond))
	}
	if !router.PlainPath(request.Path, request.EscapedPath) {
		return Admission{}, arbiter.Refuse(arbiter.RequestMalformed, "the path has dot segments, empty segments or escaped slashes")
	}
	route, found := plan.table.Route(request.Host, request.Path)
	if !found {
		return Admission{}, arbiter.Refuse(arbiter.UnknownService, "no route has this host name and path")
	}
	deadline, hurried := deadline(request, route.Declared)
	service := route.Service(request.Random)
	admission := Admission{
		Plan:       plan,
		Route:      route,
		Service:    service,
		Idempotent: route.Idempotent(request.Method),
		Deadline:   deadline,
		Hurried:    hurried,
		object:     hashOf(request.Object),
		plans:      a.plans,
	}
	if !request.Now.Before(admission.Deadline) {
		return Admission{}, arbiter.Refuse(arbiter.DeadlineExceeded, "the deadline has passed")
	}
	if route.Declared.Open {
		return admission, nil
	}
	refusal := a.checkKey(&admission, request)
	if refusal != nil {
		return Admission{}, refusal
	}
	return admission.charge(request.Now)
}

// Recheck says why the key that admitted a request works no longer under the plan
// in force, or returns nil. A request on an open route stays valid.
func (a *Admitter) Recheck(admission Admission, now time.Time) *arbiter.Refusal {
	if admission.Key == nil {
		return nil
	}
	key := admission.Key
	if plan := a.plans.Load(); plan != admission.Plan {
		found := false
		key, found = plan.table.Key(admission.Key.Hash())
		if !found || key.Declared.Team != admission.Key.Declared.Team {
			return withdrawn()
		}
	}
	return a.checkUse(key, admission.Service, now)
}

// current returns the plan whose upstreams the request may be sent to: the one in force,
// so that a request that is sent late goes to none that has left meanwhile. Where its
// service is declared no longer, that is the plan that admitted it.
func (a Admission) current() *Plan {
	plan := a.plans.Load()
	if _, found := plan.pools[a.Service]; !found {
		return a.Plan
	}
	return plan
}

// Acquire claims a slot at an upstream by the plan in force. The caller releases it.
func (a Admission) Acquire(now time.Time, random uint64, avoid *Upstream) (*Upstream, *arbiter.Refusal) {
	if a.object != 0 {
		random = a.object
	}
	plan := a.current()
	pools := plan.pools[a.Service]
	asked := ask{
		now:       now,
		avoid:     avoid,
		homes:     a.Route.Declared.Homes,
		teamHomes: a.teamHomes(),
		roams:     plan.spills[a.Service].roams(random),
	}
	if upstream, found := pools.acquire(random, asked); found {
		return upstream, nil
	}
	if avoid != nil {
		// There is no other one.
		asked.avoid = nil
		if upstream, found := pools.acquire(random, asked); found {
			return upstream, nil
		}
	}
	refusal := arbiter.Refuse(arbiter.NoRoom, "no upstream has a free slot")
	return nil, refusal.WithRetryAt(now.Add(NoRoomMillis * time.Millisecond))
}

// teamHomes returns the regions in which the team's requests may run.
func (a Admission) teamHomes() []string {
	if a.Key == nil {
		return nil
	}
	return a.Key.Team.Homes
}

// Attempts returns to how many upstreams the request is sent at most, of which
// there are usual ones where the route does not say.
func (a Admission) Attempts(usual int) int {
	if a.Route.Declared.Attempts == 0 {
		return usual
	}
	return a.Route.Declared.Attempts
}

// Refund gives the team's request back, which must be proved not to have run.
func (a Admission) Refund(now time.Time) {
	if a.desk != nil {
		a.desk.Bucket.Deposit(1, now)
	}
}

// objectiveParts is which part of its route's objective a request waits for its
// team's rate at most.
const objectiveParts = 3

// Wait lets a request that was refused for its team's rate wait for it, until
// sharer.LongestWait, a part of its route's objective or its deadline has passed. It returns false if the
// request cannot wait; otherwise admitted is called once. Someone pumps the desk
// meanwhile.
func (a Admission) Wait(now time.Time, admitted func(bool)) bool {
	if a.desk == nil {
		return false
	}
	wait := sharer.LongestWait
	if objective := a.Route.Declared.ObjectiveMillis; objective > 0 {
		wait = min(wait, time.Duration(objective)*time.Millisecond/objectiveParts)
	}
	deadline := now.Add(wait)
	if a.Deadline.Before(deadline) {
		deadline = a.Deadline
	}
	return a.desk.Join(deadline, admitted)
}

// Team returns the name of the team, or "" on an open route.
func (a Admission) Team() string {
	if a.Key == nil {
		return ""
	}
	return a.Key.Declared.Team
}

// checkKey finds the key that a request shows, and sets it in the admission.
func (a *Admitter) checkKey(admission *Admission, request Request) *arbiter.Refusal {
	if request.Key == "" {
		return arbiter.Refuse(arbiter.KeyMissing, "show a key as Authorization: Bearer KEY")
	}
	key, found := admission.Plan.table.Key(declarer.HashKey(request.Key))
	if !found {
		return arbiter.Refuse(arbiter.KeyUnknown, "no such key")
	}
	admission.Key = key
	return a.checkUse(key, admission.Service, request.Now)
}

// checkUse says why a key that is declared may not be used for a service, or
// returns nil.
func (a *Admitter) checkUse(key *router.Key, service string, now time.Time) *arbiter.Refusal {
	switch {
	case key.Declared.Withdrawn:
		return withdrawn()
	case !key.MayUse(service):
		return arbiter.Refuse(arbiter.TeamNotAllowed, "the key's team may not use this service")
	case a.unconfirmed(key.Team, now):
		return arbiter.Refuse(arbiter.KeyUnconfirmed, "this instance is cut off and cannot tell whether the key still works")
	default:
		return nil
	}
}

func withdrawn() *arbiter.Refusal {
	return arbiter.Refuse(arbiter.KeyWithdrawn, "the key has been withdrawn")
}

// unconfirmed says whether the team's keys have stopped, because the configuration
// was not confirmed for too long.
func (a *Admitter) unconfirmed(team declarer.Team, now time.Time) bool {
	if team.KeysStopAfterMillis == 0 {
		return false
	}
	limit := time.Duration(team.KeysStopAfterMillis) * time.Millisecond
	return now.Sub(a.fresh.At()) > limit
}

// charge takes one request of the team's rate.
func (a Admission) charge(now time.Time) (Admission, *arbiter.Refusal) {
	if a.Key.Team.IsUnlimited() {
		return a, nil
	}
	a.desk = a.Plan.desks[a.Key.Team.Name]
	retryAt, ok := a.desk.Take(now)
	if ok {
		return a, nil
	}
	if retryAt.IsZero() {
		retryAt = now.Add(NoShareMillis * time.Millisecond)
	}
	return a, arbiter.Refuse(arbiter.TeamOverRate, "the team's rate is used up").WithRetryAt(retryAt)
}

// deadline returns the request's deadline, and whether it is the caller's own.
func deadline(request Request, route declarer.Route) (deadline time.Time, hurried bool) {
	limit := request.Now.Add(time.Duration(route.LimitMillis()) * time.Millisecond)
	if request.Deadline.IsZero() || !request.Deadline.Before(limit) {
		return limit, false
	}
	return request.Deadline, true
}

// hashOf returns the hash of an object's name, and 0 for no name.
func hashOf(object string) uint64 {
	if object == "" {
		return 0
	}
	return hasher.Sum(object)
}
