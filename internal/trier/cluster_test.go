package trier_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/trier"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

func start(t *testing.T, changes ...trier.Option) *trier.Cluster {
	t.Helper()
	document, err := trier.BuiltIn()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	cluster, err := trier.Start(ctx, group, document, zerolog.Nop(), changes...)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = cluster.Publish(ctx); err != nil {
		t.Fatal(err)
	}
	return cluster
}

func TestOrderGoesThrough(t *testing.T) {
	cluster := start(t)
	caller := trier.NewCaller("shopfront", trier.KeyOf("hartley-web"))
	located, err := caller.Lookup(t.Context(), cluster.Instances[3].CallerAddress(), "10.1.2.3")
	if err != nil {
		t.Fatal(err)
	}
	if len(located.Entries) != 4 || located.Entries[0].Place != "derby" || located.Entries[1].Place != "lincoln" {
		t.Fatalf("located %+v", located)
	}
	outcome := caller.Order(t.Context(), trier.Call{
		Instance: located.Entries[0].Address,
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
		Order:    "order-1",
	})
	if outcome.Status != http.StatusOK || outcome.Verdict != arbiter.Ran {
		t.Fatalf("got %+v", outcome)
	}
	if outcome.Body != "shop-derby POST /orders/1 team=hartley bytes=9\n" {
		t.Fatalf("got body %q", outcome.Body)
	}
	if runs := cluster.Upstreams["shop-derby"].Runs("order-1"); runs != 1 {
		t.Fatalf("the order ran %d times", runs)
	}
	if keys := cluster.Upstreams["shop-derby"].Keys(); len(keys) > 0 {
		t.Fatalf("the upstream saw keys %v", keys)
	}
}
