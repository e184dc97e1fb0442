package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/peers"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/roster"
	"cicadawell.dev/router/settings"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

const (
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = 2 * time.Second
	// registrationPatience is how long a start waits for its registration.
	registrationPatience = 3 * time.Second
	registrationPoll     = 20 * time.Millisecond
)

// registry knows the instances and their addresses, from the registrations and,
// while the store is out, from the platform's list.
type registry struct {
	store  platform.Store
	list   platform.List
	mesh   instance.Network
	roster roster.Roster
	clk    clock.Clock

	mu sync.Mutex
	// listed is the platform's list as last read, by identifier. It is
	// replaced, never changed.
	listed map[string]platformapi.Instance
	// known is what Known returned at the last change, by identifier. It is
	// replaced, never changed.
	known map[string]platformapi.Instance
}

func newRegistry(store platform.Store, list platform.List, mesh instance.Network, r roster.Roster, clk clock.Clock) *registry {
	g := &registry{store: store, list: list, mesh: mesh, roster: r, clk: clk}
	r.Subscribe(g.learn)
	return g
}

func newRoster(cfg settings.Settings, at *listeners, store platform.Store, mesh instance.Network, clk clock.Clock, log hclog.Logger) roster.Roster {
	self := roster.Registration{
		Instance:    platformapi.Instance{ID: cfg.ID, Address: at.advertise, Zone: cfg.Zone, State: platformapi.Live},
		Incarnation: uuid.NewString(),
	}
	return roster.New(self,
		roster.WithClock(clk),
		roster.WithLogger(log.Named("roster")),
		roster.WithStore(store),
		roster.WithMesh(mesh),
	)
}

// await returns once the registration of id is seen, so that a roll that is read
// after it counts this instance. While the store is out it goes on after a while:
// rolls then learn of this instance from the others.
func (g *registry) await(ctx context.Context, id string) error {
	patience := g.clk.Now().Add(registrationPatience)
	for g.clk.Now().Before(patience) {
		for _, r := range g.roster.Registered() {
			if r.ID == id {
				return nil
			}
		}
		if err := g.clk.Sleep(ctx, registrationPoll); err != nil {
			return err
		}
	}
	return nil
}

// Registered returns the identifiers registered in the store, read now.
func (g *registry) Registered(ctx context.Context) ([]string, error) {
	entries, _, err := g.store.List(ctx, roster.RegistrationPrefix)
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, strings.TrimPrefix(e.Key, roster.RegistrationPrefix))
	}
	return ids, nil
}

// Listed returns the instances of the platform's list, read now, and the members
// of the view that it does not show: a list that is made from registrations
// empties in an outage of the store.
func (g *registry) Listed(ctx context.Context) ([]peers.Peer, error) {
	rows, err := g.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]platformapi.Instance, len(rows))
	for _, row := range rows {
		listed[row.ID] = row
	}
	g.mu.Lock()
	g.listed = listed
	g.mu.Unlock()
	g.learn()
	known := g.Known()
	out := make([]peers.Peer, 0, len(known))
	for _, row := range known {
		out = append(out, peers.Peer{ID: row.ID, Zone: row.Zone})
	}
	return out, nil
}

// Known returns the instances that are registered, listed or members of the
// view, in the order of their identifiers. A registration goes before the list,
// which lags. A member whose registration lapsed, as all do in an outage of the
// store, stays known as it was.
func (g *registry) Known() []platformapi.Instance {
	g.mu.Lock()
	known, before := maps.Clone(g.listed), g.known
	g.mu.Unlock()
	if known == nil {
		known = map[string]platformapi.Instance{}
	}
	for _, m := range g.roster.State().View.Members {
		if row, ok := before[m.ID]; ok {
			known[m.ID] = row
		}
	}
	for _, r := range g.roster.Registered() {
		known[r.ID] = r.Instance
	}
	out := slices.Collect(maps.Values(known))
	slices.SortFunc(out, func(a, b platformapi.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// learn tells the mesh the addresses of all known instances.
func (g *registry) learn() {
	addresses := map[string]string{}
	known := map[string]platformapi.Instance{}
	for _, row := range g.Known() {
		addresses[row.ID] = row.Address
		known[row.ID] = row
	}
	g.mu.Lock()
	g.known = known
	g.mu.Unlock()
	g.mesh.Learn(addresses)
}

// follow reads the list until ctx ends.
func (g *registry) follow(ctx context.Context) error {
	for {
		// The list is read again soon; what was known stays known.
		_, _ = g.Listed(ctx)
		if err := g.clk.Sleep(ctx, listPeriod); err != nil {
			return err
		}
	}
}
