package adapter_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/hemlockport/hemlockport/internal/adapter"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/standin/platformer"
	"github.com/hemlockport/hemlockport/pkg/storer"
	"github.com/hemlockport/hemlockport/pkg/verifier"
)

// newServedAdapter starts a server for an object store in memory, and returns the
// store and an adapter that calls the server.
func newServedAdapter(t *testing.T) (*memstorer.Store, *adapter.Adapter) {
	t.Helper()
	backing := memstorer.New()
	server := httptest.NewServer(platformer.New(backing))
	t.Cleanup(server.Close)
	store, err := adapter.New(server.URL, "")
	if err != nil {
		t.Fatal(err)
	}
	return backing, store
}

func TestContract(t *testing.T) {
	for _, testCase := range verifier.Cases() {
		t.Run("memstorer/"+testCase.Name, func(t *testing.T) {
			if err := testCase.Verify(t.Context(), memstorer.New()); err != nil {
				t.Fatal(err)
			}
		})
		t.Run("adapter/"+testCase.Name, func(t *testing.T) {
			_, store := newServedAdapter(t)
			if err := testCase.Verify(t.Context(), store); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestLostAnswerIsUnsettled(t *testing.T) {
	backing, store := newServedAdapter(t)
	backing.SetFaults(memstorer.Faults{}.WithLoseAnswers(1))
	_, err := store.Put(t.Context(), "Head", []byte("1"), storer.Absent())
	if storer.OutcomeKnown(err) {
		t.Fatalf("got %v, want an unsettled error", err)
	}
	object, err := store.Get(t.Context(), "Head")
	if err != nil || string(object.Value) != "1" {
		t.Fatalf("got %q, %v, want the value whose answer was lost", object.Value, err)
	}
}

func TestUnavailableStore(t *testing.T) {
	backing, store := newServedAdapter(t)
	backing.SetFaults(memstorer.Faults{}.WithDown(true))
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
