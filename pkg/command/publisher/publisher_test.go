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
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

func newPublisher(store storer.Store) *publisher.Publisher {
	return publisher.New(store, encoder.CBOR[publisher.Head]{}, encoder.CBOR[declarer.Document]{})
}

// teamChange returns a change that declares one team, requested under the team's name.
func teamChange(name string) publisher.Change {
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

// published reads the published configuration from a store.
func published(t *testing.T, store storer.Store) publisher.Bundle {
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

// TestRefusedChangeLeavesPublishedSet publishes changes one after another and checks
// the published revision and its number of teams after each. A refused change must
// leave both as they were.
func TestRefusedChangeLeavesPublishedSet(t *testing.T) {
	remove := publisher.Change{
		Remove: []declarer.Reference{
			{
				Kind: declarer.KindTeam,
				Name: "b",
			},
		},
	}
	prune := teamChange("c")
	prune.Prune = true
	stale := teamChange("d")
	stale.IfRevision = 1
	steps := []struct {
		name    string
		change  publisher.Change
		refused bool
		// revision and teams are what is published afterwards.
		revision uint64
		teams    int
	}{
		{
			name:     "first change",
			change:   teamChange("a"),
			revision: 1,
			teams:    1,
		},
		{
			name:     "repeated change",
			change:   teamChange("a"),
			revision: 1,
			teams:    1,
		},
		{
			name:     "another team added",
			change:   teamChange("b"),
			revision: 2,
			teams:    2,
		},
		{
			name:     "invalid set",
			change:   teamChange("Bad Name"),
			refused:  true,
			revision: 2,
			teams:    2,
		},
		{
			name:     "change of an old revision",
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
			name:     "removal of an object that is not declared",
			change:   remove,
			refused:  true,
			revision: 3,
			teams:    1,
		},
		{
			name: "withdrawal of a key that is not declared",
			change: publisher.Change{
				Withdraw: []string{"none"},
			},
			refused:  true,
			revision: 3,
			teams:    1,
		},
		{
			name:     "prune",
			change:   prune,
			revision: 4,
			teams:    1,
		},
	}
	store := memstorer.New()
	for _, step := range steps {
		_, err := newPublisher(store).Do(t.Context(), step.change)
		var refused *publisher.RefusedError
		if errors.As(err, &refused) != step.refused || (err != nil && !step.refused) {
			t.Fatalf("%s: got error %v, want refused %t", step.name, err, step.refused)
		}
		bundle := published(t, store)
		if bundle.Head.Revision != step.revision || len(bundle.Document.Team) != step.teams {
			t.Fatalf("%s: got revision %d with %d teams, want %d with %d", step.name, bundle.Head.Revision,
				len(bundle.Document.Team), step.revision, step.teams)
		}
	}
}

// TestLostAnswersDoNotRepeatAChange loses the answers to the first one, two and three
// writes of a removal. The writes take effect all the same, so the removal must be
// reported as accepted and make only one revision.
func TestLostAnswersDoNotRepeatAChange(t *testing.T) {
	for lostAnswers := 1; lostAnswers <= 3; lostAnswers++ {
		t.Run(fmt.Sprint(lostAnswers), func(t *testing.T) {
			store := memstorer.New()
			p := newPublisher(store)
			for _, name := range []string{"a", "b"} {
				if _, err := p.Do(t.Context(), teamChange(name)); err != nil {
					t.Fatal(err)
				}
			}
			store.SetFaults(memstorer.Faults{}.WithLoseAnswers(lostAnswers))
			accepted, err := p.Do(t.Context(), publisher.Change{
				Remove: []declarer.Reference{
					{
						Kind: declarer.KindTeam,
						Name: "a",
					},
				},
				By: "remover",
			})
			if err != nil || accepted.Revision != 3 {
				t.Fatalf("Do returned %+v and error %v, want revision 3", accepted, err)
			}
			if bundle := published(t, store); bundle.Head.Revision != 3 || len(bundle.Document.Team) != 1 {
				t.Fatalf("got the published bundle %+v, want revision 3 with 1 team", bundle)
			}
		})
	}
}

// TestConcurrentChangesAreAllPublishedOnce lets operators publish concurrently through
// a store that is slow and loses answers. Every accepted change must be in the final
// set, no change that failed with ErrRaced may be, and each revision must be used only
// once.
func TestConcurrentChangesAreAllPublishedOnce(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			publishConcurrently(t, rand.New(rand.NewPCG(seed, 2)))
		})
	}
}

func publishConcurrently(t *testing.T, random *rand.Rand) {
	store := memstorer.New()
	store.SetFaults(memstorer.Faults{}.
		WithDelayMillis(1 + random.IntN(20)).
		WithLoseAnswers(random.IntN(4)))
	const operators = 4
	var accepted [operators]publisher.Accepted
	var failed [operators]error
	var group errgroup.Group
	for operator := range operators {
		group.Go(func() error {
			accepted[operator], failed[operator] = newPublisher(store).Do(context.Background(), teamChange(fmt.Sprintf("team-%d", operator)))
			return nil
		})
	}
	_ = group.Wait()
	store.SetFaults(memstorer.Faults{})
	final := published(t, store)
	uses := map[uint64]int{}
	for operator := range operators {
		_, present := final.Document.Set().Teams.Get(fmt.Sprintf("team-%d", operator))
		switch {
		case failed[operator] == nil:
			if !accepted[operator].Unchanged {
				uses[accepted[operator].Revision]++
			}
			if !present {
				t.Fatalf("operator %d: its accepted change of revision %d is not published", operator, accepted[operator].Revision)
			}
		case errors.Is(failed[operator], publisher.ErrRaced) && present:
			t.Fatalf("operator %d: got ErrRaced, but its change is published", operator)
		}
	}
	for revision, count := range uses {
		if count > 1 {
			t.Fatalf("revision %d was used for %d changes, want 1", revision, count)
		}
	}
}

// TestRevisionStaysAboveInstancesAfterStoreLoss publishes to a store that has lost its
// data. The new revision must be above the one that instances have in force, so that
// they accept it. The same change again makes no new revision.
func TestRevisionStaysAboveInstancesAfterStoreLoss(t *testing.T) {
	change := teamChange("a")
	change.Above = 7
	store := memstorer.New()
	for range 2 {
		accepted, err := newPublisher(store).Do(t.Context(), change)
		if err != nil || accepted.Revision != 8 {
			t.Fatalf("Do returned %+v and error %v, want revision 8", accepted, err)
		}
	}
}

// TestUnavailableStoreIsNotInDoubt checks that a change to a store that refuses every
// call fails with ErrUnavailable and is not in doubt: nothing was written.
func TestUnavailableStoreIsNotInDoubt(t *testing.T) {
	store := memstorer.New()
	store.SetFaults(memstorer.Faults{}.WithDown(true))
	_, err := newPublisher(store).Do(t.Context(), teamChange("a"))
	if !errors.Is(err, storer.ErrUnavailable) || errors.Is(err, publisher.ErrInDoubt) {
		t.Fatalf("got error %v, want ErrUnavailable without ErrInDoubt", err)
	}
}
