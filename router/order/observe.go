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

// servicesOf returns the services with models whose runners this instance is
// to order, in ascending order. Each service belongs to one member of the view
// by rendezvous hashing.
func servicesOf(f Fleet) []string {
	services := []string{}
	if f.Self == "" {
		return services
	}
	for _, r := range f.Runners {
		if len(r.Models) > 0 && ordererOf(r.Service, f.Instances) == f.Self {
			services = append(services, r.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// ordererOf returns the member that orders the runners of a service.
func ordererOf(service string, instances []string) string {
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
func (d *driver) observe(ctx context.Context, f Fleet, service string) []Seen {
	seen := []Seen{}
	for _, r := range f.Runners {
		if r.Service == service && len(r.Models) > 0 {
			seen = append(seen, Seen{Runner: r, Out: f.Out[r.ID]})
		}
	}
	slices.SortFunc(seen, func(a, b Seen) int { return cmp.Compare(a.Runner.ID, b.Runner.ID) })
	now := d.clk.Now()
	var group errgroup.Group
	group.SetLimit(observers)
	for i := range seen {
		group.Go(func() error {
			seen[i] = d.see(ctx, seen[i], now)
			return nil
		})
	}
	_ = group.Wait() // no observer returns an error
	return seen
}

func (d *driver) see(ctx context.Context, s Seen, now time.Time) Seen {
	state, err := d.state(ctx, s.Runner)
	if err != nil {
		return s
	}
	s.Known = true
	s.Models = state.Models
	at, ordered := d.ordered[s.Runner.ID]
	s.Settling = state.Load.Cold || ordered && now.Sub(at) < d.settle
	return s
}

func (d *driver) state(ctx context.Context, r bundle.Runner) (runnerapi.State, error) {
	bounded, cancel := context.WithTimeout(ctx, d.limits.Delivery)
	defer cancel()
	return d.engines.State(bounded, r)
}
