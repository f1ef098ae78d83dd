package launcher_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/launcher"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
)

// startCluster runs a local cluster with the built-in objects until the test ends, and
// publishes them.
func startCluster(t *testing.T, opts ...launcher.Option) *launcher.Cluster {
	t.Helper()
	document, err := launcher.BuiltInDocument()
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
	cluster, err := launcher.Start(ctx, group, document, zerolog.Nop(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = cluster.Publish(ctx); err != nil {
		t.Fatal(err)
	}
	return cluster
}

// TestOrderReachesNearestUpstream looks up the instances for a client in derby and sends
// an order to the first. The order must run once on the upstream in derby, and the
// caller's key must not reach the upstream.
func TestOrderReachesNearestUpstream(t *testing.T) {
	cluster := startCluster(t)
	caller := launcher.NewCaller("shopfront", launcher.KeyOf("hartley-web"))
	answer, err := caller.Lookup(t.Context(), cluster.Instances[3].CallerAddress(), "10.1.2.3")
	if err != nil {
		t.Fatal(err)
	}
	if len(answer.Entries) != 4 || answer.Entries[0].Place != "derby" || answer.Entries[1].Place != "lincoln" {
		t.Fatalf("got the entries %+v, want 4 that start with derby and lincoln", answer)
	}
	outcome := caller.DoWhileOverRate(t.Context(), launcher.Call{
		Instance: answer.Entries[0].Address,
		Method:   http.MethodPost,
		Path:     "/orders/1",
		Body:     "one quilt",
		Order:    "order-1",
	})
	if outcome.Status != http.StatusOK || outcome.Verdict != arbiter.Ran {
		t.Fatalf("order: got %+v, want status 200 and verdict Ran", outcome)
	}
	if outcome.Body != "shop-derby POST /orders/1 team=hartley bytes=9\n" {
		t.Fatalf("order: got body %q, want \"shop-derby POST /orders/1 team=hartley bytes=9\\n\"", outcome.Body)
	}
	if runs := cluster.Upstreams["shop-derby"].Runs("order-1"); runs != 1 {
		t.Fatalf("order-1 ran %d times on shop-derby, want 1", runs)
	}
	if keys := cluster.Upstreams["shop-derby"].Keys(); len(keys) > 0 {
		t.Fatalf("shop-derby received the callers' keys %v, want none", keys)
	}
}
