package platformer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// pollInterval is the time between two polls of all instances, and so the time by which
// the list may be outdated. It is also the timeout of a request.
const pollInterval = 500 * time.Millisecond

// InstancePoller keeps the fake platform's list of instances up to date. It polls the
// health of the instances at their listeners for operators, whereas a real platform
// knows which instances it has started.
type InstancePoller struct {
	store  *memstorer.Store
	client *http.Client
	// listed holds the listed instance of each address that answered.
	listed map[string]storer.Instance
}

// NewInstancePoller returns a poller that sets the list of instances of a store.
func NewInstancePoller(store *memstorer.Store) *InstancePoller {
	return &InstancePoller{
		store: store,
		client: &http.Client{
			Timeout:   pollInterval,
			Transport: inspector.NewTransport("http"),
		},
		listed: map[string]storer.Instance{},
	}
}

// Run polls the addresses and updates the list until ctx ends.
func (p *InstancePoller) Run(ctx context.Context, addresses []string) error {
	for {
		var instances []storer.Instance
		for _, address := range addresses {
			p.poll(ctx, address)
			if instance, found := p.listed[address]; found {
				instances = append(instances, instance)
			}
		}
		p.store.SetInstances(instances...)
		if retrier.Sleep(ctx, pollInterval) != nil {
			return nil
		}
	}
}

// poll updates the listed instance of an address. An instance is removed only if the
// connection is refused, as nothing listens there any more; an instance that is slow to
// answer is not dead and stays listed.
func (p *InstancePoller) poll(ctx context.Context, address string) {
	health, err := p.health(ctx, address)
	switch {
	case err == nil:
		p.listed[address] = storer.Instance{
			Incarnation: health.Incarnation,
			Leaving:     health.Leaving,
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		delete(p.listed, address)
	}
}

// health requests the health of the instance at an address.
func (p *InstancePoller) health(ctx context.Context, address string) (responder.Health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+responder.PathHealth, nil)
	if err != nil {
		return responder.Health{}, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return responder.Health{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return responder.Health{}, err
	}
	if response.StatusCode != http.StatusOK {
		return responder.Health{}, fmt.Errorf("health of the instance at %s: status %d", address, response.StatusCode)
	}
	return encoder.JSON[responder.Health]{}.Decode(body)
}
