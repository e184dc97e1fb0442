package order

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// ownedServices returns the services with models whose runners this instance is
// responsible for, in ascending order. Rendezvous hashing assigns each service
// to one member of the view.
func ownedServices(f Fleet) []string {
	services := []string{}
	if f.Self == "" {
		return services
	}
	for _, r := range f.Runners {
		if len(r.Models) > 0 && ownerOf(r.Service, f.Instances) == f.Self {
			services = append(services, r.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// ownerOf returns the member that sends orders to the runners of a service.
func ownerOf(service string, instances []string) string {
	best, bestHash := "", uint64(0)
	for _, id := range instances {
		h := xxhash.Sum64String(service + "\x00" + id)
		if best == "" || h > bestHash {
			best, bestHash = id, h
		}
	}
	return best
}

// observe reads the state of the runners of a service.
func (d *driver) observe(ctx context.Context, f Fleet, service string) []Observation {
	observed := []Observation{}
	for _, r := range f.Runners {
		if r.Service == service && len(r.Models) > 0 {
			observed = append(observed, Observation{Runner: r, Out: f.Out[r.ID]})
		}
	}
	slices.SortFunc(observed, func(a, b Observation) int { return cmp.Compare(a.Runner.ID, b.Runner.ID) })
	now := d.clk.Now()
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for i := range observed {
		group.Go(func() error {
			observed[i] = d.observeRunner(ctx, observed[i], now)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	return observed
}

func (d *driver) observeRunner(ctx context.Context, s Observation, now time.Time) Observation {
	state, err := d.state(ctx, s.Runner)
	if err != nil {
		return s
	}
	s.Reachable = true
	s.Loaded = state.Models
	orderedAt, ordered := d.orderedAt[s.Runner.ID]
	s.Settling = state.Load.Cold || ordered && now.Sub(orderedAt) < d.settle
	return s
}

func (d *driver) state(ctx context.Context, r bundle.Runner) (runnerapi.State, error) {
	bounded, cancel := context.WithTimeout(ctx, d.limits.Delivery)
	defer cancel()
	return d.engines.State(bounded, r)
}
