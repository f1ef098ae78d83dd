// Package rationer splits the limits that upstreams state between the instances, and shares
// what one instance has been told with the others. It decides which part of a limit an
// instance uses and what it tells the others; the parts are kept by package admitter, the
// fractions are computed by package apportioner, and the caller sends the messages.
package rationer

import (
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/command/apportioner"
	"github.com/hemlockport/hemlockport/pkg/command/limiter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

const (
	// minPerSecond is the rate at which an upstream is asked that states a lower limit, so
	// that somebody learns when its limit ends. A limit above maxPerSecond is as good as
	// none.
	minPerSecond = 0.25
	maxPerSecond = 1e6
	// burstSeconds and minBurst give the burst of all parts of a limit together: what the
	// limit admits in burstSeconds, and minBurst more. A part with a smaller burst than one
	// request would admit none.
	burstSeconds = 1.75
	minBurst     = 4
	// resourcePrefix begins the names of these limits at the apportioner, and separates them
	// from the names of teams.
	resourcePrefix = "Upstream/"
)

// Rationer keeps an instance's parts of the limits that upstreams state. It must be used by
// one goroutine at a time, like the apportioner that it uses.
type Rationer struct {
	apportioner *apportioner.Apportioner
	// rationed holds the upstreams whose limits are split, by the name of the resource.
	rationed map[string]*admitter.Upstream
	// shared holds what all instances have been told of an upstream, by its name.
	shared map[string]sharedNotice
}

// New returns a rationer that splits limits by the demand at an apportioner.
func New(fractions *apportioner.Apportioner) *Rationer {
	return &Rationer{
		apportioner: fractions,
		rationed:    map[string]*admitter.Upstream{},
		shared:      map[string]sharedNotice{},
	}
}

// Apply measures the demand for the upstreams that state a limit, and sets this instance's
// parts of their limits, which it may use until a time.
func (r *Rationer) Apply(plan *admitter.Plan, until, now time.Time) {
	rationed := map[string]*admitter.Upstream{}
	for _, upstream := range plan.Upstreams() {
		if !upstream.IsLimited(now) {
			continue
		}
		resource := resourceOf(upstream.Declared())
		rationed[resource] = upstream
		perSecond := min(max(upstream.Advertisement().LimitPerSecond, minPerSecond), maxPerSecond)
		r.apportioner.SetSplit(resource, splitOf(perSecond))
		r.apportioner.Measure(resource, upstream.LimitDemand(), now)
		upstream.SetLimitPart(r.part(resource, perSecond, now), until, now)
	}
	for resource, upstream := range r.rationed {
		if _, kept := rationed[resource]; !kept {
			r.apportioner.Forget(resource)
			upstream.SetLimitPart(limiter.Limit{}, until, now)
		}
	}
	r.rationed = rationed
}

// resourceOf returns the name of an upstream's limit at the apportioner.
func resourceOf(declared declarer.Upstream) string {
	return resourcePrefix + declared.Name + "/" + declared.Incarnation
}

// part returns this instance's part of a limit.
func (r *Rationer) part(resource string, perSecond float64, now time.Time) limiter.Limit {
	fraction := r.apportioner.Fraction(resource, now)
	if fraction == 0 {
		return limiter.Limit{}
	}
	// Each holder has a burst of one request; what remains of the burst goes by demand.
	remaining := max(totalBurst(perSecond)-len(r.apportioner.Holders(resource)), 0)
	return limiter.Limit{
		RatePerSecond: perSecond * fraction,
		Burst:         1 + int(float64(remaining)*fraction),
	}
}

// totalBurst returns the burst of all parts of a limit together. In a time t the upstream
// gets at most what the limit admits in t, and the burst more.
func totalBurst(perSecond float64) int {
	return int(perSecond*burstSeconds) + minBurst
}

// splitOf returns how a limit is split: between as many instances as get a burst of one
// request each, and anew whenever the demand of one changes by an even part.
func splitOf(perSecond float64) apportioner.Split {
	holders := totalBurst(perSecond)
	return apportioner.Split{
		Holders:   holders,
		MinChange: perSecond / float64(holders),
	}
}

// upstreamName is the name of an upstream with its incarnation, which together tell one start
// of it from another.
type upstreamName struct {
	name        string
	incarnation string
}

// upstreamsByName returns the upstreams of a plan by their names.
func upstreamsByName(plan *admitter.Plan) map[upstreamName]*admitter.Upstream {
	upstreams := map[upstreamName]*admitter.Upstream{}
	for _, upstream := range plan.Upstreams() {
		upstreams[nameOf(upstream.Declared())] = upstream
	}
	return upstreams
}

func nameOf(declared declarer.Upstream) upstreamName {
	return upstreamName{
		name:        declared.Name,
		incarnation: declared.Incarnation,
	}
}
