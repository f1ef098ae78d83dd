package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

func newPublisher(store storer.Store) *publisher.Publisher {
	return publisher.New(store, encoder.CBOR[publisher.Head]{}, encoder.CBOR[declarer.Document]{})
}

func team(name string) publisher.Change {
	return publisher.Change{
		Document: declarer.Document{
			Team: []declarer.Team{
				{
					Name:          name,
					RatePerSecond: 1,
					Burst:         1,
				},
			},
		},
		By: name,
	}
}

func inForce(t *testing.T, store storer.Store) publisher.Bundle {
	t.Helper()
	object, err := storer.NewTyped(store, encoder.CBOR[publisher.Head]{}).Get(t.Context(), publisher.HeadName)
	if err != nil {
		t.Fatal(err)
	}
	bundle, err := newPublisher(store).Ask(t.Context(), object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func TestChanges(t *testing.T) {
	remove := publisher.Change{
		Remove: []declarer.Reference{
			{
				Kind: declarer.KindTeam,
				Name: "b",
			},
		},
	}
	prune := team("c")
	prune.Prune = true
	stale := team("d")
	stale.IfRevision = 1
	steps := []struct {
		name    string
		change  publisher.Change
		refused bool
		// revision and teams are what is in force afterwards.
		revision uint64
		teams    int
	}{
		{
			name:     "first",
			change:   team("a"),
			revision: 1,
			teams:    1,
		},
		{
			name:     "same again changes nothing",
			change:   team("a"),
			revision: 1,
			teams:    1,
		},
		{
			name:     "another is added",
			change:   team("b"),
			revision: 2,
			teams:    2,
		},
		{
			name:     "a set that does not fit",
			change:   team("Bad Name"),
			refused:  true,
			revision: 2,
			teams:    2,
		},
		{
			name:     "an old revision",
			change:   stale,
			refused:  true,
			revision: 2,
			teams:    2,
		},
		{
			name:     "removal",
			change:   remove,
			revision: 3,
			teams:    1,
		},
		{
			name:     "removal of nothing",
			change:   remove,
			refused:  true,
			revision: 3,
			teams:    1,
		},
		{
			name: "withdrawal of no key",
			change: publisher.Change{
				Withdraw: []string{"none"},
			},
			refused:  true,
			revision: 3,
			teams:    1,
		},
		{
			name:     "only what is named stays",
			change:   prune,
			revision: 4,
			teams:    1,
		},
	}
	store := keeper.New()
	for _, step := range steps {
		_, err := newPublisher(store).Do(t.Context(), step.change)
		var refused *publisher.Refused
		if errors.As(err, &refused) != step.refused || (err != nil && !step.refused) {
			t.Fatalf("%s: %v", step.name, err)
		}
		bundle := inForce(t, store)
		if bundle.Head.Revision != step.revision || len(bundle.Document.Team) != step.teams {
			t.Fatalf("%s: revision %d with %d teams", step.name, bundle.Head.Revision, len(bundle.Document.Team))
		}
	}
}

// TestLostAnswers loses the answer to each write of a removal in turn. The
// removal is reported as accepted, for it is, and happens once.
func TestLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			store := keeper.New()
			publish := newPublisher(store)
			for _, name := range []string{"a", "b"} {
				if _, err := publish.Do(t.Context(), team(name)); err != nil {
					t.Fatal(err)
				}
			}
			store.SetFaults(keeper.Faults{}.WithLoseAnswers(lost))
			accepted, err := publish.Do(t.Context(), publisher.Change{
				Remove: []declarer.Reference{
					{
						Kind: declarer.KindTeam,
						Name: "a",
					},
				},
				By: "remover",
			})
			if err != nil || accepted.Revision != 3 {
				t.Fatalf("%+v, %v", accepted, err)
			}
			if bundle := inForce(t, store); bundle.Head.Revision != 3 || len(bundle.Document.Team) != 1 {
				t.Fatalf("%+v", bundle)
			}
		})
	}
}

// TestOperatorsRace lets operators publish at once through a store that is slow
// and loses answers. Every accepted change is in the final set, and each revision
// was given out once.
func TestOperatorsRace(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			race(t, rand.New(rand.NewPCG(seed, 2)))
		})
	}
}

func race(t *testing.T, random *rand.Rand) {
	store := keeper.New()
	store.SetFaults(keeper.Faults{}.
		WithDelayMillis(1 + random.IntN(20)).
		WithLoseAnswers(random.IntN(4)))
	const operators = 4
	var accepted [operators]publisher.Accepted
	var failed [operators]error
	var group errgroup.Group
	for operator := range operators {
		group.Go(func() error {
			accepted[operator], failed[operator] = newPublisher(store).Do(context.Background(), team(fmt.Sprintf("team-%d", operator)))
			return nil
		})
	}
	_ = group.Wait()
	store.SetFaults(keeper.Faults{})
	final := inForce(t, store)
	given := map[uint64]int{}
	for operator := range operators {
		_, present := final.Document.Set().Teams.Get(fmt.Sprintf("team-%d", operator))
		switch {
		case failed[operator] == nil:
			if !accepted[operator].Unchanged {
				given[accepted[operator].Revision]++
			}
			if !present {
				t.Fatalf("the accepted change of operator %d is lost", operator)
			}
		case errors.Is(failed[operator], publisher.ErrRaced) && present:
			t.Fatalf("operator %d was told that nothing has changed, but its change is in force", operator)
		}
	}
	for revision, times := range given {
		if times > 1 {
			t.Fatalf("revision %d was given to %d changes", revision, times)
		}
	}
}

// TestLostStore publishes to a store that has lost what it held. The revision is
// above the one that instances have in force, so that they take it.
func TestLostStore(t *testing.T) {
	change := team("a")
	change.Above = 7
	store := keeper.New()
	for range 2 {
		accepted, err := newPublisher(store).Do(t.Context(), change)
		if err != nil || accepted.Revision != 8 {
			t.Fatalf("%+v, %v, want revision 8", accepted, err)
		}
	}
}

func TestStoreDown(t *testing.T) {
	store := keeper.New()
	store.SetFaults(keeper.Faults{}.WithDown(true))
	_, err := newPublisher(store).Do(t.Context(), team("a"))
	if !errors.Is(err, storer.ErrUnavailable) || errors.Is(err, publisher.ErrInDoubt) {
		t.Fatalf("got %v, want a settled ErrUnavailable", err)
	}
}
