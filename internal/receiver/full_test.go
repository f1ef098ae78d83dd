package receiver_test

import (
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/receiver"
	"github.com/hemlockport/hemlockport/pkg/arbiter"
	"github.com/hemlockport/hemlockport/pkg/command/tracker"
)

// TestFullInstanceSendsNothing guards against an order that a full instance refuses and sends all the same.
func TestFullInstanceSendsNothing(t *testing.T) {
	upstream := newHoldingUpstream(t)
	e := newEntryWith(t, func(options *receiver.Options) {
		options.InFlight = tracker.New[receiver.InFlightRequest](1)
	}, upstream.address)
	open := e.request(t, http.MethodPost, "/orders/1", strings.NewReader("quilt"))
	var group errgroup.Group
	group.Go(func() error {
		response, err := http.DefaultClient.Do(open)
		if err == nil {
			response.Body.Close()
		}
		return err
	})
	<-upstream.arrived
	response, err := http.DefaultClient.Do(e.request(t, http.MethodPost, "/orders/2", strings.NewReader("quilt")))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	requireVerdict(t, response, arbiter.NotRun, arbiter.InstanceFull)
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", response.StatusCode)
	}
	upstream.letGo <- struct{}{}
	if err = group.Wait(); err != nil {
		t.Error(err)
	}
	if len(upstream.arrived) != 0 {
		t.Errorf("the upstream got %s, want nothing", <-upstream.arrived)
	}
}
