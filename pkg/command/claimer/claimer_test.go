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
	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/pkg/command/claimer"
	"github.com/hemlockport/hemlockport/pkg/registrar"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

func newClaimer(store *keeper.Keeper) *claimer.Claimer {
	return claimer.New(store, store, encoder.CBOR[registrar.Member]{})
}

func member(incarnation string) registrar.Member {
	return registrar.Member{
		Incarnation: incarnation,
		Place:       "derby",
	}
}

func list(store *keeper.Keeper, incarnations ...string) {
	var instances []storer.Instance
	for _, incarnation := range incarnations {
		instances = append(instances, storer.Instance{
			Incarnation: incarnation,
		})
	}
	store.SetInstances(instances...)
}

// TestSeatsOfTheDead asks that a seat is taken over only once its holder is
// proved dead.
func TestSeatsOfTheDead(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name string
		// listed says that the holder saw itself in the list.
		listed bool
		// present says that the list shows the holder when the newcomer claims.
		present bool
		// wait is the time between the newcomer's first and last try.
		wait  time.Duration
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
			store := keeper.New()
			holder := newClaimer(store)
			held, err := holder.Claim(t.Context(), member("first"), 1, start)
			if err != nil {
				t.Fatal(err)
			}
			if c.listed {
				list(store, "first")
				if _, err = holder.Confirm(t.Context(), held); err != nil {
					t.Fatal(err)
				}
			}
			list(store)
			if c.present {
				list(store, "first")
			}
			newcomer := newClaimer(store)
			_, _ = newcomer.Claim(t.Context(), member("second"), 1, start)
			_, err = newcomer.Claim(t.Context(), member("second"), 1, start.Add(c.wait))
			if taken := err == nil; taken != c.taken {
				t.Fatalf("taken: %t (%v), want %t", taken, err, c.taken)
			}
			if !c.taken && !errors.Is(err, claimer.ErrFull) {
				t.Fatalf("got %v, want ErrFull", err)
			}
		})
	}
}

// TestNoSeatIsHeldTwice lets instances race for seats through a store that is
// slow and loses answers.
func TestNoSeatIsHeldTwice(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			store := keeper.New()
			store.SetFaults(keeper.Faults{}.
				WithDelayMillis(1 + random.IntN(10)).
				WithLoseAnswers(random.IntN(4)))
			const instances, seats = 5, 4
			var held [instances]claimer.Held
			var failed [instances]error
			var group errgroup.Group
			for i := range instances {
				group.Go(func() error {
					held[i], failed[i] = claimUntilSettled(newClaimer(store), fmt.Sprintf("incarnation-%d", i), seats)
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
				t.Fatalf("seed %d: seats held: %v", seed, holders)
			}
			for seat, count := range holders {
				if count != 1 {
					t.Fatalf("seed %d: seat %d is held %d times", seed, seat, count)
				}
			}
		})
	}
}

func claimUntilSettled(claim *claimer.Claimer, incarnation string, seats int) (claimer.Held, error) {
	for {
		held, err := claim.Claim(context.Background(), member(incarnation), seats, time.Now())
		if err == nil || errors.Is(err, claimer.ErrFull) {
			return held, err
		}
	}
}

func TestReleaseAfterLostAnswer(t *testing.T) {
	store := keeper.New()
	claim := newClaimer(store)
	held, err := claim.Claim(t.Context(), member("first"), 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	store.SetFaults(keeper.Faults{}.WithLoseAnswers(1))
	if _, err = claim.Leave(t.Context(), held); err == nil {
		t.Fatal("the answer was not lost")
	}
	if err = claim.Release(t.Context(), held); err != nil {
		t.Fatal(err)
	}
	if _, err = newClaimer(store).Claim(t.Context(), member("second"), 1, time.Now()); err != nil {
		t.Fatalf("the seat was not given back: %v", err)
	}
}
