package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/command/claimer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

func newClaimer(store *memstorer.Store) *claimer.Claimer {
	return claimer.New(store, store, encoder.CBOR[registrar.Member]{})
}

func member(incarnation string) registrar.Member {
	return registrar.Member{
		Incarnation: incarnation,
		Place:       "derby",
	}
}

// setList sets the incarnations that the platform's list shows.
func setList(store *memstorer.Store, incarnations ...string) {
	var instances []storer.Instance
	for _, incarnation := range incarnations {
		instances = append(instances, storer.Instance{
			Incarnation: incarnation,
		})
	}
	store.SetInstances(instances...)
}

// TestSeatsAreTakenOverOnlyFromDeadHolders checks that a seat is taken over only when
// its holder is known to be dead.
func TestSeatsAreTakenOverOnlyFromDeadHolders(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name string
		// listed is true if the holder was marked as listed.
		listed bool
		// present is true if the list shows the holder when the newcomer claims.
		present bool
		// wait is the time between the newcomer's first and last attempt.
		wait time.Duration
		// taken is true if the last attempt is to take the seat over.
		taken bool
	}{
		{
			name:    "the list shows the holder",
			listed:  true,
			present: true,
			wait:    time.Hour,
		},
		{
			name:   "the list has dropped the holder",
			listed: true,
			taken:  true,
		},
		{
			name: "the list has not shown the holder yet",
			wait: 59 * time.Second,
		},
		{
			name:  "the list has not shown the holder for longer than it lags",
			wait:  time.Minute,
			taken: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := memstorer.New()
			holder := newClaimer(store)
			held, err := holder.Claim(t.Context(), member("first"), 1, start)
			if err != nil {
				t.Fatal(err)
			}
			if c.listed {
				setList(store, "first")
				if _, err = holder.MarkListed(t.Context(), held); err != nil {
					t.Fatal(err)
				}
			}
			setList(store)
			if c.present {
				setList(store, "first")
			}
			newcomer := newClaimer(store)
			_, _ = newcomer.Claim(t.Context(), member("second"), 1, start)
			_, err = newcomer.Claim(t.Context(), member("second"), 1, start.Add(c.wait))
			if taken := err == nil; taken != c.taken {
				t.Fatalf("got the seat taken: %t (error %v), want %t", taken, err, c.taken)
			}
			if !c.taken && !errors.Is(err, claimer.ErrNoFreeSeat) {
				t.Fatalf("got error %v, want ErrNoFreeSeat", err)
			}
		})
	}
}

// TestNoSeatIsHeldTwice checks that each seat has exactly one holder when more instances
// than seats claim concurrently from a store that is slow and loses answers.
func TestNoSeatIsHeldTwice(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			store := memstorer.New()
			store.SetFaults(memstorer.Faults{}.
				WithDelayMillis(1 + random.IntN(10)).
				WithLoseAnswers(random.IntN(4)))
			const instances, seats = 5, 4
			var held [instances]claimer.Held
			var failed [instances]error
			var group errgroup.Group
			for i := range instances {
				group.Go(func() error {
					held[i], failed[i] = claimUntilAnswered(newClaimer(store), fmt.Sprintf("incarnation-%d", i), seats)
					return nil
				})
			}
			_ = group.Wait()
			holders := map[int]int{}
			for i := range instances {
				if failed[i] == nil {
					holders[held[i].Member.Seat]++
				}
			}
			if len(holders) != seats {
				t.Fatalf("seed %d: got holders per seat %v, want %d seats held", seed, holders, seats)
			}
			for seat, count := range holders {
				if count != 1 {
					t.Fatalf("seed %d: got %d holders of seat %d, want 1", seed, count, seat)
				}
			}
		})
	}
}

// claimUntilAnswered repeats a claim until it succeeds or finds no free seat.
func claimUntilAnswered(c *claimer.Claimer, incarnation string, seats int) (claimer.Held, error) {
	for {
		held, err := c.Claim(context.Background(), member(incarnation), seats, time.Now())
		if err == nil || errors.Is(err, claimer.ErrNoFreeSeat) {
			return held, err
		}
	}
}

// TestSeatIsReleasedAfterLostAnswer checks that Release succeeds with an outdated
// revision, which MarkLeaving causes when its write succeeds but the answer is lost.
func TestSeatIsReleasedAfterLostAnswer(t *testing.T) {
	store := memstorer.New()
	c := newClaimer(store)
	held, err := c.Claim(t.Context(), member("first"), 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstorer.Faults{}.WithLoseAnswers(1))
	if _, err = c.MarkLeaving(t.Context(), held); err == nil {
		t.Fatal("got an answer from MarkLeaving, want it lost")
	}
	if err = c.Release(t.Context(), held); err != nil {
		t.Fatal(err)
	}
	if _, err = newClaimer(store).Claim(t.Context(), member("second"), 1, time.Now()); err != nil {
		t.Fatalf("got error %v from a claim of the released seat, want none", err)
	}
}
