// Package roster keeps this instance registered in the platform's store. It
// also maintains the agreed view of the instances and this instance's lease on
// the view's epoch, by the protocol of package viewlease.
package roster

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/roster/viewlease"
)

// Roster is the agreed view as known to this instance.
type Roster interface {
	// State returns the known state of the view and of the lease on its epoch.
	State() viewlease.State
	// Registered returns the instances registered in the store at the last read,
	// in the order of their identifiers.
	Registered() []Registration
	// Subscribe adds a function that is called after the view, whether it is in
	// effect, or the registrations change. It must be called before Run.
	Subscribe(changed func())
	// Run maintains the registration, the view and the lease until ctx ends.
	Run(ctx context.Context) error
	// Leave asks for this instance's removal from the view, waits until that is
	// in effect, and then withdraws the registration.
	Leave(ctx context.Context) error
}

// Registration is an instance's entry in the store.
type Registration struct {
	platformapi.Instance
	Incarnation string `json:"incarnation"`
}

func (r Registration) member() viewlease.Member {
	return viewlease.Member{ID: r.ID, Incarnation: r.Incarnation}
}

// Keys in the store.
const (
	// RegistrationPrefix is followed by an instance's identifier.
	RegistrationPrefix = "instances/"
	// ViewKey holds the agreed view.
	ViewKey = "roster/view"
)

// New returns the roster of this instance. The options override the defaults of
// this package. New registers a handler with the mesh, which must not have
// started.
func New(self Registration, opts ...Option) Roster {
	r := &roster{
		config:       defaults(),
		self:         self,
		entries:      make(map[string]Registration),
		wakeRead:     make(chan struct{}, 1),
		wakeRound:    make(chan struct{}, 1),
		wakeRegister: make(chan struct{}, 1),
		wakeNotify:   make(chan struct{}, 1),
		writes:       make(chan viewlease.ViewWrite, 1),
	}
	for _, opt := range opts {
		opt(&r.config)
	}
	r.machine = viewlease.New(self.member(), r.timing)
	r.publish()
	r.mesh.Handle(methodAsk, r.handleAsk)
	return r
}

type roster struct {
	config
	self        Registration
	leaving     atomic.Bool
	lease       atomic.Uint64
	subscribers []func()

	state      atomic.Pointer[viewlease.State]
	registered atomic.Pointer[[]Registration]

	// wakeRead, wakeRound, wakeRegister and wakeNotify wake readLoop, roundLoop,
	// registerLoop and notifyLoop.
	wakeRead, wakeRound, wakeRegister, wakeNotify chan struct{}
	// writes holds the write to attempt next. The machine returns one at a time,
	// so that sending never blocks.
	writes chan viewlease.ViewWrite

	mu      sync.Mutex
	machine viewlease.Machine
	// entries holds the registrations by identifier.
	entries map[string]Registration
}

func (r *roster) State() viewlease.State { return *r.state.Load() }

func (r *roster) Registered() []Registration {
	if all := r.registered.Load(); all != nil {
		return *all
	}
	return nil
}

func (r *roster) Subscribe(changed func()) { r.subscribers = append(r.subscribers, changed) }

// update applies one input to the machine, and publishes the resulting state and
// write.
func (r *roster) update(input func(m viewlease.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	input(r.machine)
	if w, ok := r.machine.Propose(r.clock.Now()); ok {
		r.writes <- w
	}
	r.publish()
}

// publish replaces the published state. The caller holds mu.
func (r *roster) publish() {
	next := r.machine.State(r.clock.Now())
	before := r.state.Swap(&next)
	switch {
	case before == nil:
	case before.View.Epoch != next.View.Epoch:
		r.log.Info("view changed", "epoch", next.View.Epoch, "members", next.View.Members, "effective", next.Effective)
		wake(r.wakeRead)
		wake(r.wakeRound)
		wake(r.wakeNotify)
	case before.Effective != next.Effective:
		r.log.Info("view in effect", "epoch", next.View.Epoch)
		wake(r.wakeRead)
		wake(r.wakeNotify)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run implements Roster.
func (r *roster) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){r.registerLoop, r.watchLoop, r.readLoop, r.roundLoop, r.writeLoop, r.notifyLoop} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	return nil
}

// notifyLoop calls the subscribers after changes.
func (r *roster) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeNotify:
			for _, changed := range r.subscribers {
				changed()
			}
		}
	}
}

// Leave implements Roster.
func (r *roster) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	wake(r.wakeRegister)
	for {
		s := r.State()
		if s.Effective && !s.View.Has(s.Self) {
			break
		}
		if err := r.clock.Sleep(ctx, r.transitionInterval); err != nil {
			return fault.Wrap(fault.StoreUnavailable, err, "leave the view of epoch %d", s.View.Epoch)
		}
	}
	if lease := r.lease.Swap(leaseWithdrawn); lease != 0 && lease != leaseWithdrawn {
		return r.store.Revoke(ctx, lease)
	}
	return nil
}

func decodeRegistration(entry platformapi.Entry) (Registration, bool) {
	var reg Registration
	err := json.Unmarshal(entry.Value, &reg)
	return reg, err == nil && RegistrationPrefix+reg.ID == entry.Key
}

// updateRegistrations applies a change to the registrations and publishes them.
// The caller does not hold mu.
func (r *roster) updateRegistrations(change func(entries map[string]Registration)) {
	r.update(func(m viewlease.Machine) {
		change(r.entries)
		all := make([]Registration, 0, len(r.entries))
		for _, reg := range r.entries {
			all = append(all, reg)
		}
		slices.SortFunc(all, func(a, b Registration) int { return compareIDs(a.ID, b.ID) })
		r.registered.Store(&all)
		rows := make([]viewlease.Registration, 0, len(all))
		for _, reg := range all {
			rows = append(rows, viewlease.Registration{Member: reg.member(), Leaving: reg.State == platformapi.Leaving})
		}
		m.SetRegistrations(r.clock.Now(), rows)
	})
	wake(r.wakeNotify)
}
