package order

import (
	"context"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/journal"
)

// Driver sends orders to the runners that this instance is responsible for.
type Driver interface {
	// Run plans and sends orders until ctx ends, and then releases its locks.
	Run(ctx context.Context) error
	// Status returns the result of the latest pass, sorted by service and
	// runner.
	Status() []Status
}

// Status is the state of a runner that this instance is responsible for.
type Status struct {
	Runner string   `json:"runner"`
	Wanted []string `json:"wanted"`
	Loaded []string `json:"loaded"`
	// FencingToken is the fencing token of the lock on the runner; zero without
	// a lock.
	FencingToken uint64 `json:"fencing,omitempty"`
	// Reason states the next change, or why it is delayed; it is empty for a
	// runner that matches the bundle.
	Reason string `json:"reason,omitempty"`
}

// The defaults of the options.
const (
	// defaultPeriod is the time between two passes.
	defaultPeriod = 5 * time.Second
	// defaultLoadInterval is the time between two loads across all instances.
	defaultLoadInterval = 2 * time.Second
	// defaultSettle is how long a runner counts as settling after an order,
	// since the state that it reports may lag.
	defaultSettle = 15 * time.Second
)

// periodPerRunner is the minimum time between two passes for each runner that
// is read. It bounds the traffic of an instance with many runners.
const periodPerRunner = 100 * time.Millisecond

// maxParallelReads is how many runners are read at once.
const maxParallelReads = 16

// Option configures a driver.
type Option func(*driver)

// WithLimits sets the time bounds of orders.
func WithLimits(l Limits) Option { return func(d *driver) { d.limits = l } }

// WithPeriod sets the time between two passes.
func WithPeriod(p time.Duration) Option { return func(d *driver) { d.period = p } }

// WithLoadInterval sets the time between two loads across all instances.
func WithLoadInterval(i time.Duration) Option {
	return func(d *driver) { d.pace.Interval = i }
}

// WithSettle sets how long a runner counts as settling after an order.
func WithSettle(s time.Duration) Option { return func(d *driver) { d.settle = s } }

// New returns a driver that calls fleet at each pass for the latest snapshot.
func New(store Store, engines Engines, fleet func() Fleet, log journal.Journal, clk clock.Clock, options ...Option) Driver {
	d := &driver{
		store: store, engines: engines, fleet: fleet, log: log, clk: clk,
		limits: DefaultLimits(), period: defaultPeriod, settle: defaultSettle,
		pace:      Pace{Interval: defaultLoadInterval},
		orderedAt: map[string]time.Time{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// driver is the Driver that New returns. Only Run changes it.
type driver struct {
	store   Store
	engines Engines
	fleet   func() Fleet
	log     journal.Journal
	clk     clock.Clock
	limits  Limits
	period  time.Duration
	settle  time.Duration

	session Session
	pace    Pace
	// orderedAt is when this instance last sent an order, by runner.
	orderedAt map[string]time.Time
	status    atomic.Pointer[[]Status]
}

// Status returns the result of the latest pass.
func (d *driver) Status() []Status {
	if rows := d.status.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Run plans and sends orders until ctx ends.
func (d *driver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pass(ctx)
		_ = d.clk.Sleep(ctx, d.pause()) // it fails only when ctx has ended
	}
	d.shutDown(context.WithoutCancel(ctx))
	return nil
}

// pause returns the time until the next pass. It is shorter when a lock becomes
// ready earlier.
func (d *driver) pause() time.Duration {
	now := d.clk.Now()
	pause := max(d.period, periodPerRunner*time.Duration(len(d.Status())))
	for _, r := range d.session.LockedRunners() {
		h, _ := d.session.Lock(r)
		if wait := h.ReadyAt.Sub(now); wait > 0 {
			pause = min(pause, wait)
		}
	}
	return pause
}

// pass reads the state of the runners that this instance is responsible for and
// executes the planned steps.
func (d *driver) pass(ctx context.Context) {
	fleet := d.fleet()
	rows := []Status{}
	needed := map[string]bool{}
	for _, service := range ownedServices(fleet) {
		observed := d.observe(ctx, fleet, service)
		steps, deferred := Plan(observed)
		reasons := map[string]string{}
		for _, w := range deferred {
			reasons[w.Runner] = w.Reason
		}
		for _, s := range steps {
			needed[s.Runner.ID] = true
			for _, w := range s.Replicas {
				needed[w] = true
			}
			reasons[s.Runner.ID] = d.execute(ctx, fleet, service, s)
		}
		rows = append(rows, d.statuses(observed, reasons)...)
	}
	d.status.Store(&rows)
	d.releaseUnneeded(ctx, needed)
}

// execute acquires the locks that the step needs and sends its order when they
// are ready. It returns what was done, or why the step has to wait.
func (d *driver) execute(ctx context.Context, fleet Fleet, service string, s Step) string {
	now := d.clk.Now()
	if next := d.pace.NextAt(len(fleet.Instances)); len(s.Adds) > 0 && now.Before(next) {
		return "waits for the weight store's rate"
	}
	for _, r := range append([]string{s.Runner.ID}, s.Replicas...) {
		if err := d.acquire(ctx, fleet.Self, r); err != nil {
			return err.Error()
		}
	}
	if err := d.check(s); err != nil {
		return err.Error()
	}
	// The lock is ready, so earlier orders can't change the runner any more.
	// The state read before may be out of date.
	fresh, reason := d.replan(ctx, fleet, service, s.Runner.ID)
	if reason != "" {
		return reason
	}
	if err := d.check(fresh); err != nil {
		return err.Error()
	}
	if err := d.send(ctx, fresh); err != nil {
		return err.Error()
	}
	return fresh.Reason()
}

// replan reads the states again, plans from them and returns the step of the
// runner, or the reason why there is none.
func (d *driver) replan(ctx context.Context, fleet Fleet, service, runner string) (Step, string) {
	steps, deferred := Plan(d.observe(ctx, fleet, service))
	for _, s := range steps {
		if s.Runner.ID == runner {
			return s, ""
		}
	}
	for _, w := range deferred {
		if w.Runner == runner {
			return Step{}, w.Reason
		}
	}
	return Step{}, "is as wanted by now"
}

// check returns an error unless the step's order may be written now: the
// replicas are locked, and the runner's lock is ready.
func (d *driver) check(s Step) error {
	now := d.clk.Now()
	for _, w := range s.Replicas {
		if err := d.session.CheckLocked(w, now, d.limits); err != nil {
			return err
		}
	}
	return d.session.CheckReady(s.Runner.ID, now, d.limits)
}

// send sends the step's order to the runner.
func (d *driver) send(ctx context.Context, s Step) error {
	h, _ := d.session.Lock(s.Runner.ID)
	bounded, cancel := context.WithTimeout(ctx, d.limits.Delivery)
	defer cancel()
	o := runnerapi.Order{FencingToken: h.FencingToken, Models: s.Runner.Models}
	start := d.clk.Now()
	_, err := d.engines.SendOrder(bounded, s.Runner, o, func() error { return d.check(s) })
	now := d.clk.Now()
	d.recordOutcome(s, now, err)
	if fault.Is(err, fault.Conflict) || err != nil && s.Runner.ChecksFencing {
		// A new lock has a higher fencing token. Under this one no further
		// order is sent.
		d.session = d.session.WithInvalidated(s.Runner.ID)
	}
	d.log.Record(journal.Decision{
		Step: journal.Placed, Runner: s.Runner.ID, Reason: placedReason(s, err), Took: now.Sub(start),
	})
	return err
}

func placedReason(s Step, err error) string {
	if err != nil {
		return s.Reason() + ": " + err.Error()
	}
	return s.Reason()
}

func (d *driver) statuses(observed []Observation, reasons map[string]string) []Status {
	rows := make([]Status, 0, len(observed))
	for _, s := range observed {
		h, _ := d.session.Lock(s.Runner.ID)
		rows = append(rows, Status{
			Runner: s.Runner.ID, Wanted: s.Runner.Models, Loaded: s.Loaded,
			FencingToken: h.FencingToken, Reason: reasons[s.Runner.ID],
		})
	}
	return rows
}
