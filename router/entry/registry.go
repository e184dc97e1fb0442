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
	// listPeriod is the interval between two reads of the platform's instance
	// list.
	listPeriod = 2 * time.Second
	// registrationTimeout is how long startup waits for this instance's
	// registration to be visible.
	registrationTimeout    = 3 * time.Second
	registrationPollPeriod = 20 * time.Millisecond
)

// registry holds the known instances and their addresses. They come from the
// registrations and, during a store outage, from the platform's instance list.
type registry struct {
	store  platform.Store
	list   platform.InstanceList
	mesh   instance.Network
	roster roster.Roster
	clk    clock.Clock

	mu sync.Mutex
	// listed is the platform's list as last read, by identifier. The map is
	// immutable; each read replaces it.
	listed map[string]platformapi.Instance
	// known is the result of Known at the last change, by identifier. The
	// map is immutable; each change replaces it.
	known map[string]platformapi.Instance
}

func newRegistry(store platform.Store, list platform.InstanceList, mesh instance.Network, r roster.Roster, clk clock.Clock) *registry {
	g := &registry{store: store, list: list, mesh: mesh, roster: r, clk: clk}
	r.Subscribe(g.updateAddresses)
	return g
}

func newRoster(cfg settings.Settings, sockets *listeners, store platform.Store, mesh instance.Network, clk clock.Clock, log hclog.Logger) roster.Roster {
	self := roster.Registration{
		Instance:    platformapi.Instance{ID: cfg.ID, Address: sockets.advertise, Zone: cfg.Zone, State: platformapi.Live},
		Incarnation: uuid.NewString(),
	}
	return roster.New(self,
		roster.WithClock(clk),
		roster.WithLogger(log.Named("roster")),
		roster.WithStore(store),
		roster.WithMesh(mesh),
	)
}

// awaitRegistration waits until the registration of id is visible, so that a
// rollout that is read afterwards counts this instance. During a store outage it
// returns after registrationTimeout; rollouts then learn about this instance
// from the other instances.
func (g *registry) awaitRegistration(ctx context.Context, id string) error {
	giveUpAt := g.clk.Now().Add(registrationTimeout)
	for g.clk.Now().Before(giveUpAt) {
		for _, r := range g.roster.Registered() {
			if r.ID == id {
				return nil
			}
		}
		if err := g.clk.Sleep(ctx, registrationPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// ListRegistered reads the identifiers of the registered instances from the
// store.
func (g *registry) ListRegistered(ctx context.Context) ([]string, error) {
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

// List reads the platform's instance list and returns all known instances.
// They include members of the view that the list lacks, since a list that is
// built from registrations becomes empty during a store outage.
func (g *registry) List(ctx context.Context) ([]peers.Peer, error) {
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
	g.updateAddresses()
	known := g.Known()
	out := make([]peers.Peer, 0, len(known))
	for _, row := range known {
		out = append(out, peers.Peer{ID: row.ID, Zone: row.Zone})
	}
	return out, nil
}

// Known returns the instances that are registered, listed or members of the
// view, sorted by identifier. A registration overrides the list, which lags. A
// member whose registration expired, as all do during a store outage, keeps its
// last known row.
func (g *registry) Known() []platformapi.Instance {
	g.mu.Lock()
	known, previous := maps.Clone(g.listed), g.known
	g.mu.Unlock()
	if known == nil {
		known = map[string]platformapi.Instance{}
	}
	for _, m := range g.roster.State().View.Members {
		if row, ok := previous[m.ID]; ok {
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

// updateAddresses passes the addresses of all known instances to the mesh.
func (g *registry) updateAddresses() {
	addresses := map[string]string{}
	known := map[string]platformapi.Instance{}
	for _, row := range g.Known() {
		addresses[row.ID] = row.Address
		known[row.ID] = row
	}
	g.mu.Lock()
	g.known = known
	g.mu.Unlock()
	g.mesh.SetAddresses(addresses)
}

// pollList reads the platform's instance list periodically until ctx ends.
func (g *registry) pollList(ctx context.Context) error {
	for {
		// A failed read is retried after listPeriod; until then the known
		// instances stay.
		_, _ = g.List(ctx)
		if err := g.clk.Sleep(ctx, listPeriod); err != nil {
			return err
		}
	}
}
