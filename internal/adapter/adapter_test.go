package adapter_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/pkg/prover"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

func open(t *testing.T) (*keeper.Keeper, *adapter.Adapter) {
	t.Helper()
	kept := keeper.New()
	server := httptest.NewServer(platformer.New(kept))
	t.Cleanup(server.Close)
	opened, err := adapter.New(server.URL, "")
	if err != nil {
		t.Fatal(err)
	}
	return kept, opened
}

func TestContract(t *testing.T) {
	for _, clause := range prover.Cases() {
		t.Run("keeper/"+clause.Name, func(t *testing.T) {
			if err := clause.Prove(t.Context(), keeper.New()); err != nil {
				t.Fatal(err)
			}
		})
		t.Run("adapter/"+clause.Name, func(t *testing.T) {
			_, store := open(t)
			if err := clause.Prove(t.Context(), store); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestLostAnswerIsUnsettled(t *testing.T) {
	kept, store := open(t)
	kept.SetFaults(keeper.Faults{}.WithLoseAnswers(1))
	_, err := store.Put(t.Context(), "Head", []byte("1"), storer.Absent())
	if storer.Settled(err) {
		t.Fatalf("got %v, want an unsettled error", err)
	}
	object, err := store.Get(t.Context(), "Head")
	if err != nil || string(object.Value) != "1" {
		t.Fatalf("got %q, %v, want the value whose answer was lost", object.Value, err)
	}
}

func TestDownStore(t *testing.T) {
	kept, store := open(t)
	kept.SetFaults(keeper.Faults{}.WithDown(true))
	calls := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{
			name: "get",
			run: func(ctx context.Context) error {
				_, err := store.Get(ctx, "Head")
				return err
			},
		},
		{
			name: "watch",
			run: func(ctx context.Context) error {
				_, err := store.Watch(ctx, "Head", 0)
				return err
			},
		},
		{
			name: "instances",
			run: func(ctx context.Context) error {
				_, err := store.Instances(ctx)
				return err
			},
		},
	}
	for _, call := range calls {
		if err := call.run(t.Context()); !errors.Is(err, storer.ErrUnavailable) {
			t.Errorf("%s: got %v, want %v", call.name, err, storer.ErrUnavailable)
		}
	}
}
