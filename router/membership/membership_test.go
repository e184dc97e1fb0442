package membership_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/membership"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// registry is a Registry whose leases the test can end.
type registry struct {
	mu            sync.Mutex
	granted       int64
	ended         map[int64]bool
	registrations []int64
	renewed       int
	unavailable   bool
	// silent makes Revoke block until its context ends.
	silent bool
}

var errUnavailable = errors.New("store is unavailable")

func (r *registry) Grant(context.Context, time.Duration) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return 0, errUnavailable
	}
	r.granted++
	return r.granted, nil
}

func (r *registry) Renew(_ context.Context, lease int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.unavailable:
		return errUnavailable
	case r.ended[lease]:
		return fault.New(fault.NotFound, "the lease has ended")
	}
	r.renewed++
	return nil
}

func (r *registry) Register(_ context.Context, _ inventory.Instance, lease int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registrations = append(r.registrations, lease)
	return nil
}

func (r *registry) Revoke(ctx context.Context, lease int64) error {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[lease] = true
	return nil
}

func (r *registry) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *registry) registered() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.registrations)
}

func (r *registry) renewals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewed
}

// harness runs a member with a fake registry.
type harness struct {
	registry *registry
	current  *inventory.Current
	member   membership.Member
	revision int64
}

func run(t *testing.T, f func(w *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &harness{registry: &registry{ended: make(map[int64]bool)}, current: inventory.NewCurrent(clock.System())}
		w.member = membership.New(clock.System(), w.registry, inventory.Instance{Name: "self"}, w.current, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = w.member.Run(ctx) })
		f(w)
		cancel()
		group.Wait()
	})
}

func sleep(d time.Duration) { _ = clock.System().Sleep(context.Background(), d) }

// showInstances stores a snapshot with a configuration and these instances.
func (w *harness) showInstances(t *testing.T, names ...string) {
	t.Helper()
	table, err := routing.NewTable(routing.Config{Version: 1})
	is.New(t).NoErr(err)
	w.revision++
	s := &inventory.Snapshot{Table: table, Revision: era.New(0, w.revision), Instances: map[string]inventory.Instance{}}
	for _, name := range names {
		s.Instances[name] = inventory.Instance{Name: name}
	}
	w.current.Advance(s)
	w.current.Confirm(clock.System().Now())
}

func TestInstancesRegisterOnceConfigurationIsKnown(t *testing.T) {
	run(t, func(w *harness) {
		is := is.New(t)
		sleep(5 * time.Second)
		is.Equal(len(w.registry.registered()), 0)
		w.showInstances(t)
		sleep(5 * time.Second)
		is.Equal(w.registry.registered(), []int64{1})
		is.True(w.registry.renewals() >= 3)
	})
}

func TestEndedLeasesAreReplaced(t *testing.T) {
	run(t, func(w *harness) {
		is := is.New(t)
		w.showInstances(t)
		sleep(time.Second)
		w.registry.set(func() { w.registry.ended[1] = true })
		sleep(2 * time.Second)
		is.Equal(w.registry.registered(), []int64{1, 2})
	})
}

func TestInstancesDoNotRegisterAfterLeave(t *testing.T) {
	run(t, func(w *harness) {
		is := is.New(t)
		w.showInstances(t)
		sleep(time.Second)
		is.NoErr(w.member.Leave(context.Background()))
		w.registry.set(func() { is.True(w.registry.ended[1]) })
		sleep(10 * time.Second)
		is.Equal(w.registry.registered(), []int64{1})
	})
}

func TestLeaveDoesNotWaitForUnresponsiveStore(t *testing.T) {
	run(t, func(w *harness) {
		is := is.New(t)
		w.showInstances(t)
		sleep(2 * time.Second)
		w.registry.set(func() { w.registry.silent = true })
		const grace = 7500 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		start := clock.System().Now()
		is.True(w.member.Leave(ctx) != nil)
		is.True(clock.System().Now().Sub(start) < time.Second) // the rest of the grace period is for the calls in progress
		is.NoErr(ctx.Err())
	})
}

func TestCountIsReliableOnlyOnSettledView(t *testing.T) {
	run(t, func(w *harness) {
		is := is.New(t)
		countWith := func(names ...string) (int, bool) {
			w.showInstances(t, names...)
			return w.member.Count()
		}
		n, ok := countWith("other")
		is.Equal(n, 1)
		is.True(!ok) // the snapshot lacks its own registration
		_, ok = countWith("self", "other")
		is.True(!ok) // others may not have seen it
		sleep(4 * time.Second)
		n, ok = countWith("self", "other")
		is.Equal(n, 2)
		is.True(ok)
		sleep(4 * time.Second)
		_, ok = w.member.Count()
		is.True(!ok) // the view is old
		_, ok = countWith("other")
		is.True(!ok)
		_, ok = countWith("self", "other")
		is.True(!ok) // the settle delay starts again
	})
}
