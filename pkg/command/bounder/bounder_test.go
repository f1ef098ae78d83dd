package bounder_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/pkg/command/bounder"
)

// TestBoundsFollowTheMachine guards against bounds that together exceed the memory or the
// descriptors of the machine, or that no legal request fits into.
func TestBoundsFollowTheMachine(t *testing.T) {
	const (
		megabyte = 1 << 20
		// largestLines is how many of the shortest lines fit into a head of largestBytes.
		largestBytes = 16 << 10
		largestLines = largestBytes / 4
	)
	cases := []struct {
		name    string
		machine bounder.Machine
	}{
		{
			name: "smallest machine that the settings allow",
			machine: bounder.Machine{
				MemoryMB:    64,
				Descriptors: 300,
			},
		},
		{
			name: "smallest machine of a deployment",
			machine: bounder.Machine{
				MemoryMB:    136,
				Descriptors: 2870,
			},
		},
		{
			name: "largest machine of a deployment",
			machine: bounder.Machine{
				MemoryMB:    536,
				Descriptors: 8192,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bounds := c.machine.Bounds()
			connections := 0
			bytes := int64(0)
			for _, share := range []bounder.Share{bounds.Callers, bounds.Lookups, bounds.Readiness, bounds.Peers, bounds.Operators} {
				bytes += share.HeldBytes + int64(share.Connections)*bounder.ConnectionBytes
				budget := bounder.NewBudget(share.HeldBytes)
				if !budget.Take(bounder.HeadCost(largestBytes, largestLines)) {
					t.Errorf("a budget of %d bytes refuses the largest legal head, want it to be taken", share.HeldBytes)
				}
			}
			if limit := int64(c.machine.MemoryMB) * megabyte * 3 / 4; bytes > limit {
				t.Errorf("got %d bytes for connections and requests, want at most %d", bytes, limit)
			}
			connections += bounds.Callers.Connections + bounds.Lookups.Connections + bounds.Readiness.Connections
			connections += bounds.InFlight + bounds.IdleUpstream
			if limit := (c.machine.Descriptors - 200) * 9 / 10; connections > limit {
				t.Errorf("got %d connections with those to upstreams, want at most %d", connections, limit)
			}
			if bounds.RuntimeBytes <= 0 || bounds.RuntimeBytes > int64(c.machine.MemoryMB)*megabyte*7/8 {
				t.Errorf("got a memory limit of %d bytes, want one below the memory of the machine", bounds.RuntimeBytes)
			}
		})
	}
}

// TestPartsAddUpToLessThanTheMachine guards against parts of a machine that each stay under a bound and
// together exceed its memory, with the program, garbage, links and the kernel's buffers.
func TestPartsAddUpToLessThanTheMachine(t *testing.T) {
	own := bounder.Listeners{
		Lookups:   bounder.Absent,
		Readiness: bounder.Absent,
	}
	secured := bounder.Listeners{
		Callers:   bounder.Secured,
		Lookups:   bounder.Absent,
		Readiness: bounder.Absent,
		Peers:     bounder.Secured,
		Operators: bounder.Secured,
	}
	machines := []struct {
		name        string
		memoryMB    int
		descriptors int
	}{
		{
			name:        "smallest that the settings allow",
			memoryMB:    64,
			descriptors: 300,
		},
		{
			name:        "smallest with more descriptors",
			memoryMB:    64,
			descriptors: 600,
		},
		{
			name:        "smallest of a deployment",
			memoryMB:    136,
			descriptors: 2870,
		},
		{
			name:        "usual one of a deployment",
			memoryMB:    284,
			descriptors: 4100,
		},
		{
			name:        "largest of a deployment",
			memoryMB:    536,
			descriptors: 8192,
		},
		{
			name:        "nothing stated",
			memoryMB:    256,
			descriptors: 1_000_000,
		},
		{
			name:     "descriptors not known",
			memoryMB: 136,
		},
	}
	for _, listeners := range []bounder.Listeners{{}, own, secured} {
		for _, m := range machines {
			t.Run(fmt.Sprintf("%s, %+v", m.name, listeners), func(t *testing.T) {
				machine := bounder.Machine{
					MemoryMB:    m.memoryMB,
					Descriptors: m.descriptors,
					Listeners:   listeners,
				}
				bounds := machine.Bounds()
				total := int64(bounder.ProgramBytes) + bounds.RuntimeBytes/bounder.SlackPart +
					bounds.FrameBytes + bounds.ChangeBytes + int64(bounds.IdleUpstream)*bounder.IdleUpstreamBytes
				shares := []struct {
					kind  bounder.Kind
					share bounder.Share
				}{
					{
						kind:  listeners.Callers,
						share: bounds.Callers,
					},
					{
						kind:  listeners.Lookups,
						share: bounds.Lookups,
					},
					{
						kind:  listeners.Readiness,
						share: bounds.Readiness,
					},
					{
						kind:  listeners.Peers,
						share: bounds.Peers,
					},
					{
						kind:  listeners.Operators,
						share: bounds.Operators,
					},
				}
				for _, s := range shares {
					each := int64(bounder.ConnectionBytes)
					if s.kind == bounder.Secured {
						each += bounder.TLSBytes
					}
					// The kernel takes twice the size that is set of each buffer.
					total += s.share.HeldBytes + int64(s.share.Connections)*(each+4*int64(s.share.BufferBytes)) +
						int64(s.share.Backlog)*2*int64(s.share.BufferBytes)
				}
				if limit := int64(m.memoryMB) << 20; total > limit {
					t.Errorf("got %d bytes for all parts, want at most %d", total, limit)
				}
				if got := bounds.Bytes(listeners); got != total {
					t.Errorf("got %d bytes from Bytes, want the sum %d", got, total)
				}
			})
		}
	}
}

// TestDescriptorsAddUp guards against listeners, requests and kept connections that leave no
// descriptor to links and to calls to the platform.
func TestDescriptorsAddUp(t *testing.T) {
	for _, descriptors := range []int{300, 600, 2870, 4100, 8192} {
		machine := bounder.Machine{
			MemoryMB:    1 << 20,
			Descriptors: descriptors,
		}
		bounds := machine.Bounds()
		taken := bounds.InFlight + bounds.IdleUpstream
		for _, share := range []bounder.Share{bounds.Callers, bounds.Lookups, bounds.Readiness, bounds.Peers, bounds.Operators} {
			taken += share.Connections
		}
		if limit := (descriptors - 200) * 19 / 20; taken > limit {
			t.Errorf("got %d of %d descriptors for connections, want at most %d", taken, descriptors, limit)
		}
	}
}

// TestLinksFindRoom guards against a bound of connections of peers that the links of a fleet exceed: an
// instance accepts one from each other instance at most.
func TestLinksFindRoom(t *testing.T) {
	cases := []struct {
		name        string
		memoryMB    int
		descriptors int
		instances   int
	}{
		{
			name:        "smallest of a deployment of 102 instances",
			memoryMB:    136,
			descriptors: 2870,
			instances:   102,
		},
		{
			name:        "smallest of a deployment of 195, at 300",
			memoryMB:    184,
			descriptors: 4100,
			instances:   300,
		},
		{
			name:        "usual one, at 300",
			memoryMB:    284,
			descriptors: 4100,
			instances:   300,
		},
		{
			name:        "largest, at 300",
			memoryMB:    536,
			descriptors: 8192,
			instances:   300,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			machine := bounder.Machine{
				MemoryMB:    c.memoryMB,
				Descriptors: c.descriptors,
			}
			if got := machine.Bounds().Peers.Connections; got < c.instances-1 {
				t.Errorf("got %d connections of peers, want at least %d", got, c.instances-1)
			}
		})
	}
}

// TestOneRequestIsServedInCalm guards against a budget that refuses a request which would fit, because
// it takes more than half.
func TestOneRequestIsServedInCalm(t *testing.T) {
	const limit = 1 << 20
	budget := bounder.NewBudget(limit)
	buffer := int64(32 << 10)
	if !budget.Take(buffer) || !budget.TakeFurther(buffer, limit*3/4) {
		t.Fatal("a single request of three quarters of the budget is refused")
	}
	if budget.Take(buffer) && budget.TakeFurther(buffer, limit*3/4) {
		t.Fatal("a second one is admitted beside it")
	}
}

// TestUnknownMachineSetsNoBounds guards against bounds in a deployment whose settings state
// none.
func TestUnknownMachineSetsNoBounds(t *testing.T) {
	var machine bounder.Machine
	if got := machine.Bounds(); got != (bounder.Bounds{}) {
		t.Fatalf("got %+v, want no bounds", got)
	}
	if !bounder.NewBudget(0).Take(1 << 40) {
		t.Fatal("a budget without a bound refuses bytes")
	}
}

// TestLargeRequestsLeaveRoomForOrdinaryOnes guards against a few large requests that keep
// out all others.
func TestLargeRequestsLeaveRoomForOrdinaryOnes(t *testing.T) {
	budget := bounder.NewBudget(1 << 20)
	large := int64(200 << 10)
	for budget.Take(large) {
	}
	if got := budget.Held(); got > 1<<19 {
		t.Fatalf("got %d bytes held by large requests, want at most half of the budget", got)
	}
	if !budget.Take(bounder.HeadCost(300, 10)) {
		t.Fatal("an ordinary request finds no room beside large ones")
	}
	for budget.Take(bounder.HeadCost(300, 10)) {
	}
	if !budget.TakeForAnswer(bounder.StreamBytes) {
		t.Fatal("an answer to a request that has run finds no room beside requests")
	}
	if !budget.Take(0) {
		t.Fatal("a request without a body, or an answer that is flushed without further bytes, is refused for nothing")
	}
}

// TestBudgetIsNeverExceeded guards against takers that race for the last bytes, and against
// bytes that are lost on the way back.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const limit = 10_000
	budget := bounder.NewBudget(limit)
	var held atomic.Int64
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			for range 5000 {
				if !budget.Take(3000) {
					continue
				}
				if got := held.Add(3000); got > limit {
					t.Errorf("got %d bytes held, want at most %d", got, limit)
				}
				held.Add(-3000)
				budget.Return(3000)
			}
			return nil
		})
	}
	_ = group.Wait()
	if got := budget.Held(); got != 0 {
		t.Fatalf("got %d bytes held at the end, want 0", got)
	}
}

// TestOrderOfClosing guards against closing a head that has just begun before connections
// that are idle, or before a head that arrives slowly.
func TestOrderOfClosing(t *testing.T) {
	now := time.Unix(1000, 0)
	order := []bounder.Waiting{
		{
			Phase: bounder.Unused,
			Since: now,
		},
		{
			Phase: bounder.Idle,
			Since: now.Add(-time.Minute),
		},
		{
			Phase: bounder.Idle,
			Since: now,
		},
		{
			Phase: bounder.Reading,
			Since: now.Add(-time.Second),
		},
		{
			Phase: bounder.Reading,
			Since: now,
		},
	}
	if order[0].MayClose(now.Add((bounder.FreshMillis-1)*time.Millisecond)) || !order[0].MayClose(now.Add(bounder.FreshMillis*time.Millisecond)) {
		t.Errorf("a connection must give way once it has waited for %d ms", bounder.FreshMillis)
	}
	for i, first := range order {
		for j, second := range order {
			if got := first.ClosesBefore(second); got != (i < j) {
				t.Errorf("got %t for %+v before %+v, want %t", got, first, second, i < j)
			}
		}
	}
}
