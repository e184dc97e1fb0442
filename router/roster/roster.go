// Package roster keeps this instance registered in the platform's store, and
// keeps the agreed view of the instances and the right to act in it, as
// package hold decides.
package roster

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/roster/hold"
)

// Roster is the agreed view as this instance knows it.
type Roster interface {
	// State returns what is known of the view and the hold.
	State() hold.State
	// Registered returns the instances registered in the store, as of the
	// last look, in the order of their identifiers.
	Registered() []Registration
	// Subscribe sets a function that is called after each change of the
	// view, of its being in effect and of the registrations. It is called
	// before Run.
	Subscribe(changed func())
	// Run keeps all of it until ctx ends.
	Run(ctx context.Context) error
	// Leave has this instance taken out of the view, and returns once that
	// is in effect. It withdraws the registration.
	Leave(ctx context.Context) error
}

// Registration is an instance's entry in the store.
type Registration struct {
	platformapi.Instance
	Incarnation string `json:"incarnation"`
}

func (r Registration) member() hold.Member {
	return hold.Member{ID: r.ID, Incarnation: r.Incarnation}
}

// Keys in the store.
const (
	// RegistrationPrefix is followed by an instance's identifier.
	RegistrationPrefix = "instances/"
	// ViewKey holds the agreed view.
	ViewKey = "roster/view"
)

// New returns the roster of this instance with the defaults of this package
// changed by opts. It sets its handler in the mesh, which must not have
// started.
func New(self Registration, opts ...Option) Roster {
	r := &roster{
		config:  defaults(),
		self:    self,
		entries: make(map[string]Registration),
		look:    make(chan struct{}, 1),
		gather:  make(chan struct{}, 1),
		renew:   make(chan struct{}, 1),
		notify:  make(chan struct{}, 1),
		write:   make(chan hold.ViewWrite, 1),
	}
	for _, opt := range opts {
		opt(&r.config)
	}
	r.machine = hold.New(self.member(), r.timing)
	r.publish()
	r.mesh.Handle(methodAsk, r.asked)
	return r
}

type roster struct {
	config
	self    Registration
	leaving atomic.Bool
	lease   atomic.Uint64
	changed []func()

	state      atomic.Pointer[hold.State]
	registered atomic.Pointer[[]Registration]

	// look, gather, renew and notify wake the loops of their names.
	look, gather, renew, notify chan struct{}
	// write has the write to attempt; the machine gives one at a time.
	write chan hold.ViewWrite

	mu      sync.Mutex
	machine hold.Machine
	// entries are the registrations by identifier.
	entries map[string]Registration
}

func (r *roster) State() hold.State { return *r.state.Load() }

func (r *roster) Registered() []Registration {
	if all := r.registered.Load(); all != nil {
		return *all
	}
	return nil
}

func (r *roster) Subscribe(changed func()) { r.changed = append(r.changed, changed) }

// update applies one input to the machine and makes its outcome known.
func (r *roster) update(input func(m hold.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	input(r.machine)
	if w, ok := r.machine.Propose(r.clock.Now()); ok {
		r.write <- w
	}
	r.publish()
}

// publish replaces the state. The caller holds mu.
func (r *roster) publish() {
	next := r.machine.State(r.clock.Now())
	before := r.state.Swap(&next)
	switch {
	case before == nil:
	case before.View.Epoch != next.View.Epoch:
		r.log.Info("view changed", "epoch", next.View.Epoch, "members", next.View.Members, "effective", next.Effective)
		wake(r.look)
		wake(r.gather)
		wake(r.notify)
	case before.Effective != next.Effective:
		r.log.Info("view in effect", "epoch", next.View.Epoch)
		wake(r.look)
		wake(r.notify)
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
	for _, loop := range []func(context.Context){r.register, r.follow, r.read, r.ask, r.propose, r.tell} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	return nil
}

// tell calls the subscribers after changes.
func (r *roster) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.notify:
			for _, changed := range r.changed {
				changed()
			}
		}
	}
}

// Leave implements Roster.
func (r *roster) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	wake(r.renew)
	for {
		s := r.State()
		if s.Effective && !s.View.Has(s.Self) {
			break
		}
		if err := r.clock.Sleep(ctx, r.unsettledEvery); err != nil {
			return fault.Wrap(fault.StoreUnavailable, err, "leave the view of epoch %d", s.View.Epoch)
		}
	}
	if lease := r.lease.Swap(withdrawn); lease != 0 && lease != withdrawn {
		return r.store.Revoke(ctx, lease)
	}
	return nil
}

func decodeRegistration(entry platformapi.Entry) (Registration, bool) {
	var reg Registration
	err := json.Unmarshal(entry.Value, &reg)
	return reg, err == nil && RegistrationPrefix+reg.ID == entry.Key
}

// registrationsChanged takes in entries as they are now. The caller does not
// hold mu.
func (r *roster) registrationsChanged(change func(entries map[string]Registration)) {
	r.update(func(m hold.Machine) {
		change(r.entries)
		all := make([]Registration, 0, len(r.entries))
		for _, reg := range r.entries {
			all = append(all, reg)
		}
		slices.SortFunc(all, func(a, b Registration) int { return compareIDs(a.ID, b.ID) })
		r.registered.Store(&all)
		rows := make([]hold.Registration, 0, len(all))
		for _, reg := range all {
			rows = append(rows, hold.Registration{Member: reg.member(), Leaving: reg.State == platformapi.Leaving})
		}
		m.SetRegistrations(r.clock.Now(), rows)
	})
	wake(r.notify)
}
