package platform

import (
	"context"
	"net/http"
	"net/url"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// maxFetchAttempts is the maximum number of requests for one model.
const maxFetchAttempts = 8

// Weights is the platform's weight store, which is rate limited.
type Weights interface {
	// Fetch returns the weights of a model. While the store's rate limit is
	// exceeded or the store does not respond, it waits and retries a limited
	// number of times.
	Fetch(ctx context.Context, model string) (platformapi.Weights, error)
}

// NewWeights returns a client of the weight store at address.
func NewWeights(address string, clk clock.Clock, opts ...Option) Weights {
	return &weights{client: newClient(address, opts), clock: clk}
}

type weights struct {
	client *client
	clock  clock.Clock
}

func (w *weights) Fetch(ctx context.Context, model string) (platformapi.Weights, error) {
	for attempt := 1; ; attempt++ {
		res, err := w.fetchOnce(ctx, model)
		if !fault.Is(err, fault.StoreUnavailable) || attempt == maxFetchAttempts {
			return res, err
		}
		if sleepErr := w.clock.Sleep(ctx, fault.Of(err).RetryAfter()); sleepErr != nil {
			return res, err
		}
	}
}

func (w *weights) fetchOnce(ctx context.Context, model string) (platformapi.Weights, error) {
	ctx, cancel := context.WithTimeout(ctx, w.client.timeout)
	defer cancel()
	var res platformapi.Weights
	path := platformapi.PathWeights + url.PathEscape(model)
	err := w.client.send(ctx, callWeights, http.MethodGet, path, nil, &res)
	return res, err
}
