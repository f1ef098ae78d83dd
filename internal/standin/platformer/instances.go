package platformer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/memstorer"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// pollInterval is the time between two polls of all instances, and thus the lag of the
// list. It is also the timeout of a request.
const pollInterval = 500 * time.Millisecond

// Roll keeps the fake platform's list of instances up to date. It polls the health of the
// instances at their listeners for operators, whereas a real platform knows which
// instances it has started.
type Roll struct {
	store  *memstorer.Store
	client *http.Client
	// listed holds the entry of the list for each address that answered.
	listed map[string]storer.Instance
}

// NewRoll returns a roll that sets the list of instances of a store.
func NewRoll(store *memstorer.Store) *Roll {
	return &Roll{
		store: store,
		client: &http.Client{
			Timeout: pollInterval,
		},
		listed: map[string]storer.Instance{},
	}
}

// Run polls the addresses and updates the list until ctx ends.
func (r *Roll) Run(ctx context.Context, addresses []string) error {
	for {
		var instances []storer.Instance
		for _, address := range addresses {
			r.poll(ctx, address)
			if instance, found := r.listed[address]; found {
				instances = append(instances, instance)
			}
		}
		r.store.SetInstances(instances...)
		if retrier.Sleep(ctx, pollInterval) != nil {
			return nil
		}
	}
}

// poll updates the entry for an address. An instance is removed only if the connection is
// refused, as nothing listens there any more; an instance that is slow to answer is not
// dead and stays listed.
func (r *Roll) poll(ctx context.Context, address string) {
	health, err := r.health(ctx, address)
	switch {
	case err == nil:
		r.listed[address] = storer.Instance{
			Incarnation: health.Incarnation,
			Leaving:     health.Leaving,
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		delete(r.listed, address)
	}
}

// health requests the health of the instance at an address.
func (r *Roll) health(ctx context.Context, address string) (responder.Health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+responder.PathHealth, nil)
	if err != nil {
		return responder.Health{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return responder.Health{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return responder.Health{}, err
	}
	return encoder.JSON[responder.Health]{}.Decode(body)
}
