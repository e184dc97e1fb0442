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

// leaseWithdrawn is stored in place of the lease once the registration has been
// withdrawn.
const leaseWithdrawn = math.MaxUint64

func compareIDs(a, b string) int { return strings.Compare(a, b) }

// registerLoop keeps this instance registered under a lease.
func (r *roster) registerLoop(ctx context.Context) {
	state := platformapi.InstanceState("")
	for ctx.Err() == nil {
		wait := r.renewInterval
		next, err := r.renewRegistration(ctx, state)
		state = next
		if err != nil {
			r.log.Warn("registration not renewed", "error", err)
			wait = r.retryDelay
		}
		select {
		case <-ctx.Done():
		case <-r.wakeRegister:
		case <-r.clock.After(wait):
		}
	}
}

// renewRegistration renews the lease, or writes the registration if stored, the
// state last written, is not the wanted one. It returns the state now in the
// store.
func (r *roster) renewRegistration(ctx context.Context, stored platformapi.InstanceState) (platformapi.InstanceState, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	lease := r.lease.Load()
	if lease == leaseWithdrawn {
		return stored, nil
	}
	want := platformapi.Live
	if r.leaving.Load() {
		want = platformapi.Leaving
	}
	if lease != 0 && stored == want {
		err := r.store.KeepAlive(ctx, lease)
		if fault.Is(err, fault.NotFound) {
			r.lease.CompareAndSwap(lease, 0)
			wake(r.wakeRegister)
			return "", nil
		}
		return stored, err
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
		return stored, fault.Wrap(fault.Internal, err, "encode registration")
	}
	put := platformapi.PutRequest{Key: RegistrationPrefix + reg.ID, Value: value, Lease: lease}
	if _, err := r.store.Put(ctx, put); err != nil {
		return "", err
	}
	r.lease.CompareAndSwap(0, lease)
	return want, nil
}

// watchLoop keeps the registrations of all instances up to date.
func (r *roster) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := r.listRegistrations(ctx)
		for err == nil {
			revision, err = r.watchRegistrations(ctx, revision)
		}
		if ctx.Err() == nil {
			r.log.Warn("cannot watch the registrations", "error", err)
			_ = r.clock.Sleep(ctx, r.retryDelay)
		}
	}
}

func (r *roster) listRegistrations(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	rows, revision, err := r.store.List(ctx, RegistrationPrefix)
	if err != nil {
		return 0, err
	}
	r.updateRegistrations(func(entries map[string]Registration) {
		clear(entries)
		for _, row := range rows {
			if reg, ok := decodeRegistration(row); ok {
				entries[reg.ID] = reg
			}
		}
	})
	return revision, nil
}

func (r *roster) watchRegistrations(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.watchTimeout+r.callTimeout)
	defer cancel()
	answer, err := r.store.Watch(ctx, platformapi.WatchRequest{
		Prefix: RegistrationPrefix, After: after, WaitMillis: int64(r.watchTimeout / time.Millisecond),
	})
	if err != nil {
		return 0, err
	}
	if answer.HistoryLost {
		return r.listRegistrations(ctx)
	}
	if len(answer.Events) > 0 {
		r.updateRegistrations(func(entries map[string]Registration) { applyEvents(entries, answer.Events) })
	}
	return max(after, answer.Revision), nil
}

func applyEvents(entries map[string]Registration, events []platformapi.Event) {
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
