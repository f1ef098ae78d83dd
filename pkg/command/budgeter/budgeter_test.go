package budgeter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/pkg/command/budgeter"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/verifier"
)

// TestReadsStayWithinBudget reads from a store as fast as it can for ten seconds of
// virtual time. The store must get only the reads of the budget, and the last call must
// fail as not made.
func TestReadsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstorer.New()
		counted := map[budgeter.Kind]int{}
		store := budgeter.New(inner, budgeter.Budget{
			ReadsPerSecond:  10,
			WritesPerSecond: 4,
		}, func(kind budgeter.Kind) { counted[kind]++ })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error {
			for {
				if _, err := store.Get(ctx, "none"); !errors.Is(err, storer.ErrNotFound) {
					return err
				}
			}
		})
		if err := group.Wait(); !errors.Is(err, context.DeadlineExceeded) || !storer.OutcomeKnown(err) {
			t.Fatalf("got error %v, want context.DeadlineExceeded of a call that was not made", err)
		}
		if calls := inner.Calls(); calls.Reads != 100 || counted[budgeter.Read] != 100 {
			t.Fatalf("got %+v calls and %d reported reads, want 100 reads", calls, counted[budgeter.Read])
		}
	})
}

// TestContract checks that a store behind a budget still keeps the contract of stores.
func TestContract(t *testing.T) {
	for _, clause := range verifier.Cases() {
		t.Run(clause.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := budgeter.New(memstorer.New(), budgeter.Budget{
					ReadsPerSecond:  100,
					WritesPerSecond: 100,
				}, func(budgeter.Kind) {})
				if err := clause.Verify(t.Context(), store); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
