package platformer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/keeper"
	"github.com/hemlockport/hemlockport/internal/responder"
	"github.com/hemlockport/hemlockport/pkg/command/retrier"
	"github.com/hemlockport/hemlockport/pkg/storer"
)

// rollInterval is the time between two rounds, and so the lag of the list.
const rollInterval = 500 * time.Millisecond

// Roll makes the platform's list of instances by asking their operators'
// listeners for their health. A real platform knows what it has started.
type Roll struct {
	keeper *keeper.Keeper
	client *http.Client
	// shown holds what is listed for each address.
	shown map[string]storer.Instance
}

// NewRoll returns a roll that fills a keeper's list.
func NewRoll(kept *keeper.Keeper) *Roll {
	return &Roll{
		keeper: kept,
		client: &http.Client{
			Timeout: rollInterval,
		},
		shown: map[string]storer.Instance{},
	}
}

// Run asks the addresses again and again until ctx ends.
func (r *Roll) Run(ctx context.Context, addresses []string) error {
	for {
		var listed []storer.Instance
		for _, address := range addresses {
			r.ask(ctx, address)
			if instance, found := r.shown[address]; found {
				listed = append(listed, instance)
			}
		}
		r.keeper.SetInstances(listed...)
		if retrier.Sleep(ctx, rollInterval) != nil {
			return nil
		}
	}
}

// ask updates what is shown for an address. An instance is dropped only when
// nothing listens there any more: one that is just slow is not dead.
func (r *Roll) ask(ctx context.Context, address string) {
	health, err := r.health(ctx, address)
	switch {
	case err == nil:
		r.shown[address] = storer.Instance{
			Incarnation: health.Incarnation,
			Leaving:     health.Leaving,
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		delete(r.shown, address)
	}
}

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
