package admitter_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/admitter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/holder"
	"github.com/hemlockport/hemlockport/pkg/query/router"
	"github.com/hemlockport/hemlockport/pkg/query/splitter"
)

const secret = "a-key-of-a-length-that-callers-really-show-0123456789"

// declaredSet returns a set with two services in one failure domain. The team quilters
// may use only the service shopfront; the team slow may send one request per second.
// The key gone is withdrawn.
func declaredSet() declarer.Set {
	return declarer.Set{}.
		WithPlace(declarer.Place{
			Name:   "derby",
			Region: "east",
			Seats:  1,
		}).
		WithService(declarer.Service{
			Name:    "shopfront",
			Version: "shopfront-v1",
		}.WithRoutes(
			declarer.PathRule{
				Prefix: "/patterns",
				Open:   true,
			},
			declarer.PathRule{
				Prefix: "/patterns/private",
			},
			declarer.PathRule{
				Prefix:      "/report",
				Idempotence: declarer.Always,
			},
		)).
		WithService(declarer.Service{
			Name:    "sewingroom",
			Version: "sewingroom-v1",
		}).
		WithVersion(version("shopfront", 1)).
		WithVersion(version("sewingroom", 2)).
		WithTeam(declarer.Team{
			Name:     "quilters",
			Services: []string{"shopfront"},
		}.WithRate(10_000_000, 10_000_000)).
		WithTeam(declarer.Team{
			Name: "slow",
		}.WithRate(1, 1)).
		WithKey(key("quilters", secret)).
		WithKey(key("slow", "slow-key")).
		WithKey(key("gone", "gone-key").WithWithdrawn())
}

// version returns the first version of a service, with one upstream that has two slots.
func version(service string, host int) declarer.Version {
	return declarer.Version{
		Name:    service + "-v1",
		Service: service,
	}.WithUpstreams(declarer.Upstream{
		Name:    "u1",
		Place:   "derby",
		Address: "127.0.0." + strconv.Itoa(host) + ":1",
		Slots:   2,
	})
}

// key returns the declaration of a key. It belongs to the team of the same name, except
// for the key gone, which belongs to the team quilters.
func key(name, secret string) declarer.Key {
	team := name
	if name == "gone" {
		team = "quilters"
	}
	return declarer.Key{
		Name: name,
		Team: team,
		Hash: declarer.HashKey(secret).String(),
	}
}

// newAdmitter returns an admitter with a confirmed plan for a set, and the cell of its
// plans. The instance holds the only seat.
func newAdmitter(set declarer.Set, now time.Time) (*holder.Cell[admitter.Plan], *admitter.Admitter) {
	plans := holder.New[admitter.Plan]()
	seat := splitter.Seat{
		Index: 0,
		Count: 1,
	}
	plan := admitter.InitialPlan("derby", "derby-1").WithSeats([]splitter.Seat{seat}, now).WithTable(router.New(1, set), now)
	plan.Confirm(now)
	plans.Advance(*plan)
	return plans, admitter.New(plans, admitter.NewFreshness(now))
}

func TestAdmit(t *testing.T) {
	start := time.Now()
	_, admit := newAdmitter(declaredSet(), start)
	now := start.Add(time.Hour)
	cases := []struct {
		name    string
		request admitter.Request
		reason  arbiter.Reason
	}{
		{
			name: "the key's team may use the service",
			request: admitter.Request{
				Host: "shopfront:8080",
				Path: "/orders",
				Key:  secret,
			},
		},
		{
			name: "host in upper case",
			request: admitter.Request{
				Host: "SHOPFRONT",
				Path: "/orders",
				Key:  secret,
			},
		},
		{
			name: "open route without key",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patterns/star",
			},
		},
		{
			name: "longer route that needs a key inside an open one",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patterns/private/x",
			},
			reason: arbiter.KeyMissing,
		},
		{
			name: "prefix of an open route ends inside a segment",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patternsx",
			},
			reason: arbiter.KeyMissing,
		},
		{
			name: "dot segments that leave an open route",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patterns/../orders",
			},
			reason: arbiter.RequestMalformed,
		},
		{
			name: "dot segment with a parameter",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patterns/..;x/orders",
			},
			reason: arbiter.RequestMalformed,
		},
		{
			name: "empty segment",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/patterns//orders",
			},
			reason: arbiter.RequestMalformed,
		},
		{
			name: "escaped slash",
			request: admitter.Request{
				Host:        "shopfront",
				Path:        "/patterns/x",
				EscapedPath: "/patterns%2fx",
			},
			reason: arbiter.RequestMalformed,
		},
		{
			name: "unknown host",
			request: admitter.Request{
				Host: "elsewhere",
				Path: "/",
			},
			reason: arbiter.UnknownService,
		},
		{
			name: "unknown key",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/orders",
				Key:  "guess",
			},
			reason: arbiter.KeyUnknown,
		},
		{
			name: "withdrawn key",
			request: admitter.Request{
				Host: "shopfront",
				Path: "/orders",
				Key:  "gone-key",
			},
			reason: arbiter.KeyWithdrawn,
		},
		{
			name: "service that the team may not use",
			request: admitter.Request{
				Host: "sewingroom",
				Path: "/",
				Key:  secret,
			},
			reason: arbiter.TeamNotAllowed,
		},
		{
			name: "deadline has passed",
			request: admitter.Request{
				Host:     "shopfront",
				Path:     "/orders",
				Key:      secret,
				Deadline: now,
			},
			reason: arbiter.DeadlineExceeded,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.request.Now = now
			_, refusal := admit.Admit(c.request)
			if c.reason == "" {
				if refusal != nil {
					t.Fatalf("got refusal %v, want the request admitted", refusal)
				}
				return
			}
			if refusal == nil || refusal.Reason != c.reason || refusal.Verdict != arbiter.NotRun {
				t.Fatalf("got refusal %v, want %s with verdict NotRun", refusal, c.reason)
			}
		})
	}
}

// A request that is refused because of its team's rate is admitted if it is repeated at
// the time that the refusal names.
func TestOverRateRequestIsAdmittedAtRetryAt(t *testing.T) {
	start := time.Now()
	_, admit := newAdmitter(declaredSet(), start)
	now := start.Add(time.Hour)
	request := admitter.Request{
		Host: "shopfront",
		Path: "/orders",
		Key:  "slow-key",
		Now:  now,
	}
	if _, refusal := admit.Admit(request); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := admit.Admit(request)
	if refusal == nil || refusal.Reason != arbiter.TeamOverRate {
		t.Fatalf("got refusal %v, want TeamOverRate", refusal)
	}
	request.Now = refusal.RetryAt
	if _, refusal = admit.Admit(request); refusal != nil {
		t.Fatalf("got refusal %v at the retry time %v, want the request admitted", refusal, request.Now)
	}
}

// An upstream with two slots gets no third request.
func TestSlotsAreBounded(t *testing.T) {
	start := time.Now()
	_, admit := newAdmitter(declaredSet(), start)
	admission, refusal := admit.Admit(admitter.Request{
		Host: "shopfront",
		Path: "/patterns",
		Now:  start,
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	for range 2 {
		if _, refusal = admission.Acquire(start, 7, nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if _, refusal = admission.Acquire(start, 7, nil); refusal == nil || refusal.Reason != arbiter.NoRoom {
		t.Fatalf("got refusal %v, want NoRoom", refusal)
	}
}

// The key of an admitted request stays valid under a new configuration that keeps it,
// and becomes invalid under one that withdraws it.
func TestWithdrawalEndsValidity(t *testing.T) {
	start := time.Now()
	set := declaredSet()
	plans, admit := newAdmitter(set, start)
	admission, refusal := admit.Admit(admitter.Request{
		Host: "shopfront",
		Path: "/orders",
		Key:  secret,
		Now:  start.Add(time.Hour),
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	unchanged := router.New(2, set)
	plans.Advance(*plans.Load().WithTable(unchanged, start))
	if admit.Recheck(admission, start) != nil {
		t.Fatal("got a refusal after a change that keeps the key, want none")
	}
	withdrawn := router.New(3, set.WithKey(key("quilters", secret).WithWithdrawn()))
	plans.Advance(*plans.Load().WithTable(withdrawn, start))
	if refusal = admit.Recheck(admission, start); refusal == nil || refusal.Reason != arbiter.KeyWithdrawn {
		t.Fatalf("got refusal %v for a withdrawn key, want KeyWithdrawn", refusal)
	}
}

// A team's keys stop working at an instance that has not had the configuration confirmed
// for longer than KeysStopAfterMillis. A confirmation makes them work again.
func TestCutOffKeysStop(t *testing.T) {
	start := time.Now()
	stopping, _ := declaredSet().Teams.Get("quilters")
	stopping.KeysStopAfterMillis = 30_000
	plans, _ := newAdmitter(declaredSet().WithTeam(stopping), start)
	freshness := admitter.NewFreshness(start)
	admit := admitter.New(plans, freshness)
	cases := []struct {
		name string
		// confirmed is the time of the last confirmation, and now the time of the
		// request, both after the start.
		confirmed time.Duration
		now       time.Duration
		key       string
		reason    arbiter.Reason
	}{
		{
			name: "confirmed just recently enough",
			now:  30 * time.Second,
			key:  secret,
		},
		{
			name:   "not confirmed for too long",
			now:    31 * time.Second,
			key:    secret,
			reason: arbiter.KeyUnconfirmed,
		},
		{
			name: "a team whose keys do not stop",
			now:  31 * time.Second,
			key:  "slow-key",
		},
		{
			name:      "confirmed again",
			confirmed: 40 * time.Second,
			now:       60 * time.Second,
			key:       secret,
		},
		{
			name:      "an earlier confirmation has no effect",
			confirmed: 10 * time.Second,
			now:       61 * time.Second,
			key:       secret,
		},
	}
	for _, c := range cases {
		freshness.Confirm(start.Add(c.confirmed))
		admission, refusal := admit.Admit(admitter.Request{
			Host: "shopfront",
			Path: "/orders",
			Key:  c.key,
			Now:  start.Add(c.now),
		})
		reason := arbiter.Reason("")
		if refusal != nil {
			reason = refusal.Reason
		}
		if reason != c.reason {
			t.Errorf("%s: got refusal reason %q, want %q", c.name, reason, c.reason)
		}
		if refusal != nil || c.key != secret {
			continue
		}
		refusal = admit.Recheck(admission, start.Add(c.now+time.Hour))
		if refusal == nil || refusal.Reason != arbiter.KeyUnconfirmed {
			t.Errorf("%s: got refusal %v an hour later, want KeyUnconfirmed", c.name, refusal)
		}
	}
}

// admitOne runs the decision path of one request: it admits the request, takes a slot and
// releases it.
func admitOne(admit *admitter.Admitter, now time.Time, random uint64) *arbiter.Refusal {
	admission, refusal := admit.Admit(admitter.Request{
		Host:   "shopfront",
		Path:   "/orders/17",
		Method: "POST",
		Key:    secret,
		Now:    now,
	})
	if refusal != nil {
		return refusal
	}
	upstream, refusal := admission.Acquire(now, random, nil)
	if refusal != nil {
		return refusal
	}
	upstream.Release()
	return nil
}

func TestDecisionPathAllocatesNothing(t *testing.T) {
	start := time.Now()
	_, admit := newAdmitter(declaredSet(), start)
	now := start.Add(time.Hour)
	allocations := testing.AllocsPerRun(1000, func() {
		if refusal := admitOne(admit, now, 1); refusal != nil {
			t.Fatal(refusal)
		}
	})
	if allocations != 0 {
		t.Fatalf("got %v allocations per request, want 0", allocations)
	}
}

func BenchmarkAdmit(b *testing.B) {
	start := time.Now()
	_, admit := newAdmitter(declaredSet(), start)
	var refused atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := uint64(1)
		for pb.Next() {
			random += 0x9e3779b97f4a7c15
			if refusal := admitOne(admit, start.Add(time.Hour), random); refusal != nil {
				refused.Add(1)
			}
		}
	})
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
}
