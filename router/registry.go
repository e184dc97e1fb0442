package main

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/roll"
	"cicadawell.dev/router/settings"
)

const (
	// registrationPrefix is followed by an instance's identifier.
	registrationPrefix = "instances/"
	registrationTTL    = 10 * time.Second
	keepAlivePeriod    = 3 * time.Second
	listPeriod         = time.Second
)

// registry keeps this instance registered and knows the others.
type registry struct {
	cfg   settings.Settings
	at    *listeners
	store platform.Store
	list  platform.List
	mesh  instance.Network
	clk   clock.Clock
	log   hclog.Logger
	view  atomic.Pointer[ledger.View]
	// changed is called after the view changed.
	changed func()
}

func newRegistry(cfg settings.Settings, at *listeners, store platform.Store, list platform.List, mesh instance.Network, clk clock.Clock, log hclog.Logger) *registry {
	r := &registry{cfg: cfg, at: at, store: store, list: list, mesh: mesh, clk: clk, log: log.Named("registry"), changed: func() {}}
	r.view.Store(&ledger.View{Members: []string{cfg.ID}})
	return r
}

// View returns the instances that share the keys.
func (r *registry) View() ledger.View { return *r.view.Load() }

// Check returns nil while the view of this epoch is in effect.
func (r *registry) Check(epoch uint64) error {
	if r.View().Epoch != epoch {
		return fault.New(fault.HomeUnsettled, "the view changed")
	}
	return nil
}

// Registered returns the identifiers registered in the store.
func (r *registry) Registered(ctx context.Context) ([]string, error) {
	entries, _, err := r.store.List(ctx, registrationPrefix)
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, strings.TrimPrefix(e.Key, registrationPrefix))
	}
	return ids, nil
}

// Listed returns the instances of the platform's list.
func (r *registry) Listed(ctx context.Context) ([]roll.Peer, error) {
	rows, err := r.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	peers := make([]roll.Peer, 0, len(rows))
	for _, row := range rows {
		peers = append(peers, roll.Peer{ID: row.ID, Zone: row.Zone})
	}
	return peers, nil
}

// register puts this instance into the store under a lease.
func (r *registry) register(ctx context.Context) (lease uint64, err error) {
	value, err := json.Marshal(platformapi.Instance{ID: r.cfg.ID, Address: r.at.advertise, Zone: r.cfg.Zone, State: platformapi.Live})
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode registration")
	}
	lease, err = r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Put(ctx, platformapi.PutRequest{Key: registrationPrefix + r.cfg.ID, Value: value, Lease: lease})
	return lease, err
}

// keep renews the registration until ctx ends.
func (r *registry) keep(ctx context.Context) error {
	var lease uint64
	var err error
	for ctx.Err() == nil {
		if lease == 0 {
			lease, err = r.register(ctx)
		} else {
			err = r.store.KeepAlive(ctx, lease)
		}
		if fault.Is(err, fault.NotFound) {
			lease = 0
		}
		if err != nil {
			r.log.Warn("registration not renewed", "error", err)
		}
		_ = r.clk.Sleep(ctx, keepAlivePeriod)
	}
	return nil
}

// follow reads the list until ctx ends.
func (r *registry) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if rows, err := r.list.Instances(ctx); err == nil {
			r.learn(rows)
		}
		_ = r.clk.Sleep(ctx, listPeriod)
	}
	return nil
}

func (r *registry) learn(rows []platformapi.Instance) {
	addresses := make(map[string]string, len(rows))
	var ids []string
	for _, row := range rows {
		addresses[row.ID] = row.Address
		ids = append(ids, row.ID)
	}
	r.mesh.Learn(addresses)
	slices.Sort(ids)
	old := r.view.Load()
	if len(ids) == 0 || slices.Equal(ids, old.Members) {
		return
	}
	r.view.Store(&ledger.View{Epoch: old.Epoch + 1, Members: ids})
	r.changed()
}
