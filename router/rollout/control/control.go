// Package control carries out rollouts across the fleet. Every instance applies the
// decisions and reports what it observes to the decider of the service, which gathers
// the reports, decides by package rollout, and writes the decisions to the store.
package control

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

const (
	// decideInterval is the time between two decisions on a service, and between two
	// checks of the contact.
	decideInterval = 100 * time.Millisecond
	// contactTimeout is the time without an answer of the decider and without a
	// confirmed view of the store after which an instance is out of contact.
	contactTimeout = 1500 * time.Millisecond
	// ownerKeyPrefix and the service form the key by which its decider is chosen.
	ownerKeyPrefix = "rollout/"
)

// Targets applies the decisions to the choice of runners. target.Set implements it.
type Targets interface {
	ApplyRollout(st rollout.State)
	SetRolloutContact(service string, inContact bool)
	RolloutUsage(service, target string) target.RolloutUsage
}

// Recorder counts what this instance observes. rollout.Recorder implements it.
type Recorder interface {
	Track(service, target string)
	Forget(service string)
	Evidence(service string) rollout.Evidence
	CallTime(service string) time.Duration
}

// Write is a change of the decision on a service in the store.
type Write struct {
	State rollout.State
	// StateRevision is the revision of the decision that is replaced, or 0 if there is
	// none.
	StateRevision era.Revision
	// OrderRevision is the revision of the order, or 0 if it was withdrawn. The order
	// may have any revision if AnyOrder is set.
	OrderRevision era.Revision
	AnyOrder      bool
	// Repeated is set if only the elapsed time differs from the decision in the store.
	Repeated bool
}

// Records keeps the decisions in the store.
type Records interface {
	// Write replaces a decision if the revisions hold, and returns its revision. The
	// error is of the kind Conflict if they don't.
	Write(ctx context.Context, w Write) (era.Revision, error)
}

// View is what operators see of the rollout of a service.
type View = operatorapi.RolloutStatus

// Stats counts what this instance did for all rollouts since it started.
type Stats struct {
	// Reports counts the reports that were answered, ReportErrors those that weren't.
	Reports, ReportErrors int64
	// Writes counts the writes of decisions that succeeded, WriteErrors the others.
	Writes, WriteErrors int64
}

// Controller carries out the rollouts on one instance.
type Controller interface {
	// Run reports and decides until ctx ends.
	Run(ctx context.Context) error
	// States returns the rollouts that this instance knows, sorted by service.
	States() []View
	// Stats returns the counters.
	Stats() Stats
}

// Option changes a default of New.
type Option func(*controller)

// WithRefresh has the controller read changes of the store at once when it doesn't know
// whether a write took effect. Without it the watch shows that later.
func WithRefresh(refresh func(ctx context.Context) error) Option {
	return func(c *controller) { c.refresh = refresh }
}

// New returns the controller of an instance. owners must not be shared with components
// that instances without rollouts have, since an instance that doesn't answer reports is
// marked as unavailable.
func New(clk clock.Clock, self string, current *inventory.Current, owners owner.Finder, mesh instance.Mesh, targets Targets, recorder Recorder, records Records, bounds rollout.Bounds, log hclog.Logger, opts ...Option) Controller {
	c := &controller{
		clk: clk, self: self, incarnation: clk.Now().UnixNano(), current: current, owners: owners, mesh: mesh, targets: targets,
		recorder: recorder, records: records, bounds: bounds, log: log, refresh: func(context.Context) error { return nil },
		services: make(map[string]*service),
	}
	for _, opt := range opts {
		opt(c)
	}
	mesh.Handle(methodReport, c.serveReport)
	current.Subscribe(c.update)
	return c
}

type controller struct {
	clk  clock.Clock
	self string
	// incarnation tells the reports of this process from those of earlier ones of the
	// same name.
	incarnation int64
	current     *inventory.Current
	owners      owner.Finder
	mesh        instance.Mesh
	targets     Targets
	recorder    Recorder
	records     Records
	bounds      rollout.Bounds
	log         hclog.Logger
	refresh     func(ctx context.Context) error
	// group has the reports and writes in progress, which Run waits for.
	group sync.WaitGroup

	mu       sync.Mutex
	services map[string]*service
	stats    Stats
}

func (c *controller) Run(ctx context.Context) error {
	c.update(c.current.Load())
	c.group.Go(func() { c.sendReports(ctx) })
	for ctx.Err() == nil {
		c.checkContact()
		c.decideAll(ctx)
		_ = c.clk.Sleep(ctx, decideInterval)
	}
	c.group.Wait()
	return nil
}

// update takes over the orders and decisions of a snapshot.
func (c *controller) update(s *inventory.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(s.RolloutOrders) == 0 && len(s.Rollouts) == 0 && len(c.services) == 0 {
		return
	}
	for name := range s.RolloutOrders {
		c.addService(name)
	}
	for name := range s.Rollouts {
		c.addService(name)
	}
	for _, svc := range c.services {
		c.updateService(svc, s)
	}
}

// updateService takes over the order of a service, and the decision on it. The caller holds
// mu.
func (c *controller) updateService(svc *service, s *inventory.Snapshot) {
	order, ordered := s.RolloutOrders[svc.name]
	svc.enter(s.Revision.Era)
	if ordered {
		svc.rebind(order)
	}
	if st, ok := s.Rollouts[svc.name]; ok {
		if ordered {
			st = st.Rebound(order)
		}
		if st.Revision.Before(svc.stored.Revision) && !svc.stored.Revision.After(s.Revision) {
			// The answer to the write had the revision of another write of the same
			// transaction. That of the decision itself is the condition of the next one.
			svc.stored.Revision = era.Revision{}
		}
		c.noteStored(svc, st, "store")
	} else if !svc.stored.Revision.After(s.Revision) {
		// The decision was removed from the store; the next one is written anew.
		svc.stored = rollout.State{}
	}
	if ordered && !c.valid(svc, s, order) {
		return
	}
	c.setOrder(svc, order, ordered)
}

// valid reports whether an order is for a service of the configuration. An order that
// was valid stays in force when the service is removed from the configuration. The
// caller holds mu.
func (c *controller) valid(svc *service, s *inventory.Snapshot, order rollout.Order) bool {
	if svc.order != nil && svc.order.Revision == order.Revision || s.Table != nil && s.Table.Service(svc.name) != nil {
		return true
	}
	if s.Table != nil && svc.refused != order.Revision {
		svc.refused = order.Revision
		err := fault.New(fault.BadRequest, "service %q is not known", svc.name).WithField("service")
		c.log.Error("invalid rollout order ignored", "service", svc.name, "field", "service", "order", order.Revision.Number, "error", err)
	}
	return false
}

// addService adds a service unless it is known. The caller holds mu.
func (c *controller) addService(name string) {
	if c.services[name] == nil {
		c.services[name] = &service{name: name, inContact: true, reporters: make(map[string]*reporter)}
	}
}

// decider returns the instance that decides on a service, or "".
func (c *controller) decider(service string) string { return c.owners.Of(ownerKeyPrefix + service) }

// checkContact tells the targets whether this instance is in contact.
func (c *controller) checkContact() {
	now, viewAge := c.clk.Now(), c.current.Age()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, svc := range c.services {
		in := viewAge <= contactTimeout || now.Sub(svc.heardAt) <= contactTimeout
		if in == svc.inContact {
			continue
		}
		svc.inContact = in
		c.targets.SetRolloutContact(svc.name, in)
		if svc.current.Phase == rollout.Running {
			c.log.Warn("contact of a rollout changed", "service", svc.name, "inContact", in, "viewMillis", viewAge.Milliseconds())
		}
	}
}
