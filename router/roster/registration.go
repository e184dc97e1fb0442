package roster

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// withdrawn stands in place of the lease once the registration is given up.
const withdrawn = math.MaxUint64

func compareIDs(a, b string) int { return strings.Compare(a, b) }

// register keeps this instance registered under a lease.
func (r *roster) register(ctx context.Context) {
	state := platformapi.InstanceState("")
	for ctx.Err() == nil {
		wait := r.renewEvery
		next, err := r.renewOnce(ctx, state)
		state = next
		if err != nil {
			r.log.Warn("registration not renewed", "error", err)
			wait = r.retryEvery
		}
		select {
		case <-ctx.Done():
		case <-r.renew:
		case <-r.clock.After(wait):
		}
	}
}

// renewOnce renews the lease, or writes the registration when its state, was,
// is not the wanted one. It returns the state that stands in the store.
func (r *roster) renewOnce(ctx context.Context, was platformapi.InstanceState) (platformapi.InstanceState, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callWithin)
	defer cancel()
	lease := r.lease.Load()
	if lease == withdrawn {
		return was, nil
	}
	want := platformapi.Live
	if r.leaving.Load() {
		want = platformapi.Leaving
	}
	if lease != 0 && was == want {
		err := r.store.KeepAlive(ctx, lease)
		if fault.Is(err, fault.NotFound) {
			r.lease.CompareAndSwap(lease, 0)
			wake(r.renew)
			return "", nil
		}
		return was, err
	}
	if lease == 0 {
		granted, err := r.store.Grant(ctx, r.leaseTTL)
		if err != nil {
			return "", err
		}
		lease = granted
	}
	reg := r.self
	reg.State = want
	value, err := json.Marshal(reg)
	if err != nil {
		return was, fault.Wrap(fault.Internal, err, "encode registration")
	}
	put := platformapi.PutRequest{Key: RegistrationPrefix + reg.ID, Value: value, Lease: lease}
	if _, err := r.store.Put(ctx, put); err != nil {
		return "", err
	}
	r.lease.CompareAndSwap(0, lease)
	return want, nil
}

// follow keeps up with the registrations of all instances.
func (r *roster) follow(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := r.list(ctx)
		for err == nil {
			revision, err = r.watch(ctx, revision)
		}
		if ctx.Err() == nil {
			r.log.Warn("registrations not followed", "error", err)
			_ = r.clock.Sleep(ctx, r.retryEvery)
		}
	}
}

func (r *roster) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callWithin)
	defer cancel()
	rows, revision, err := r.store.List(ctx, RegistrationPrefix)
	if err != nil {
		return 0, err
	}
	r.registrationsChanged(func(entries map[string]Registration) {
		clear(entries)
		for _, row := range rows {
			if reg, ok := decodeRegistration(row); ok {
				entries[reg.ID] = reg
			}
		}
	})
	return revision, nil
}

func (r *roster) watch(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.watchFor+r.callWithin)
	defer cancel()
	answer, err := r.store.Watch(ctx, platformapi.WatchRequest{
		Prefix: RegistrationPrefix, After: after, WaitMillis: int64(r.watchFor / time.Millisecond),
	})
	if err != nil {
		return 0, err
	}
	if answer.Lost {
		return r.list(ctx)
	}
	if len(answer.Events) > 0 {
		r.registrationsChanged(func(entries map[string]Registration) { apply(entries, answer.Events) })
	}
	return max(after, answer.Revision), nil
}

func apply(entries map[string]Registration, events []platformapi.Event) {
	for _, e := range events {
		if e.Deleted {
			delete(entries, strings.TrimPrefix(e.Entry.Key, RegistrationPrefix))
			continue
		}
		if reg, ok := decodeRegistration(e.Entry); ok {
			entries[reg.ID] = reg
		}
	}
}
