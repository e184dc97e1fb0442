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

// Driver orders the runners that this instance is to order.
type Driver interface {
	// Run plans and orders until ctx ends, and then lets its runners go.
	Run(ctx context.Context) error
	// Status returns what the latest pass found, in the order of services
	// and runners.
	Status() []Status
}

// Status is what one instance knows of a runner that it is to order.
type Status struct {
	Runner string   `json:"runner"`
	Wanted []string `json:"wanted"`
	Loaded []string `json:"loaded"`
	// Fencing is zero while the runner is not held.
	Fencing uint64 `json:"fencing,omitempty"`
	// Reason says what is done next, or why nothing is; it is empty for a
	// runner that is as the bundle wants it.
	Reason string `json:"reason,omitempty"`
}

// The defaults of the options.
const (
	// defaultPeriod is the time between two passes.
	defaultPeriod = 5 * time.Second
	// defaultLoadInterval is the time between two loads over all instances.
	defaultLoadInterval = 2 * time.Second
	// defaultSettle is how long a runner counts as settling after an order,
	// since its own report may lag.
	defaultSettle = 15 * time.Second
)

// observeGap is the time for each observed runner between two passes, which
// bounds the traffic of an instance that has many runners to order.
const observeGap = 100 * time.Millisecond

// observers is how many runners are asked for their state at once.
const observers = 16

// Option changes a driver.
type Option func(*driver)

// WithLimits sets the times that orders keep to.
func WithLimits(l Limits) Option { return func(d *driver) { d.limits = l } }

// WithPeriod sets the time between two passes.
func WithPeriod(p time.Duration) Option { return func(d *driver) { d.period = p } }

// WithLoadInterval sets the time between two loads over all instances.
func WithLoadInterval(i time.Duration) Option {
	return func(d *driver) { d.pace.Interval = i }
}

// WithSettle sets how long a runner counts as settling after an order.
func WithSettle(s time.Duration) Option { return func(d *driver) { d.settle = s } }

// New returns a driver; fleet returns the newest knowledge at each pass.
func New(store Store, engines Engines, fleet func() Fleet, log journal.Journal, clk clock.Clock, options ...Option) Driver {
	d := &driver{
		store: store, engines: engines, fleet: fleet, log: log, clk: clk,
		limits: DefaultLimits(), period: defaultPeriod, settle: defaultSettle,
		pace:    Pace{Interval: defaultLoadInterval},
		ordered: map[string]time.Time{},
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

	tenure Tenure
	pace   Pace
	// ordered is when this instance last ordered a runner.
	ordered map[string]time.Time
	status  atomic.Pointer[[]Status]
}

// Status returns what the latest pass found.
func (d *driver) Status() []Status {
	if rows := d.status.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Run plans and orders until ctx ends.
func (d *driver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pass(ctx)
		_ = d.clk.Sleep(ctx, d.pause()) // it fails only when ctx has ended
	}
	d.leave(context.WithoutCancel(ctx))
	return nil
}

// pause returns the time until the next pass: shorter when a hold becomes
// ready.
func (d *driver) pause() time.Duration {
	now := d.clk.Now()
	pause := max(d.period, observeGap*time.Duration(len(d.Status())))
	for _, r := range d.tenure.Held() {
		h, _ := d.tenure.Hold(r)
		if wait := h.ReadyAt.Sub(now); wait > 0 {
			pause = min(pause, wait)
		}
	}
	return pause
}

// pass observes the runners that this instance is to order, and takes the
// steps that are due.
func (d *driver) pass(ctx context.Context) {
	fleet := d.fleet()
	rows := []Status{}
	needed := map[string]bool{}
	for _, service := range servicesOf(fleet) {
		seen := d.observe(ctx, fleet, service)
		steps, withheld := Plan(seen)
		reasons := map[string]string{}
		for _, w := range withheld {
			reasons[w.Runner] = w.Reason
		}
		for _, s := range steps {
			needed[s.Runner.ID] = true
			for _, w := range s.Witnesses {
				needed[w] = true
			}
			reasons[s.Runner.ID] = d.take(ctx, fleet, service, s)
		}
		rows = append(rows, d.rows(seen, reasons)...)
	}
	d.status.Store(&rows)
	d.release(ctx, needed)
}

// take holds what the step needs and gives its order when all is ready. It
// returns what was done, or why it has to wait.
func (d *driver) take(ctx context.Context, fleet Fleet, service string, s Step) string {
	now := d.clk.Now()
	if next := d.pace.NextAt(len(fleet.Instances)); len(s.Adds) > 0 && now.Before(next) {
		return "waits for the weight store's rate"
	}
	for _, r := range append([]string{s.Runner.ID}, s.Witnesses...) {
		if err := d.hold(ctx, fleet.Self, r); err != nil {
			return err.Error()
		}
	}
	if err := d.check(s); err != nil {
		return err.Error()
	}
	// The hold is ready: what was seen before it is of no use any more.
	again, reason := d.replan(ctx, fleet, service, s.Runner.ID)
	if reason != "" {
		return reason
	}
	if err := d.check(again); err != nil {
		return err.Error()
	}
	if err := d.send(ctx, again); err != nil {
		return err.Error()
	}
	return again.Reason()
}

// replan plans anew from states read now, and returns the step of a runner.
func (d *driver) replan(ctx context.Context, fleet Fleet, service, runner string) (Step, string) {
	steps, withheld := Plan(d.observe(ctx, fleet, service))
	for _, s := range steps {
		if s.Runner.ID == runner {
			return s, ""
		}
	}
	for _, w := range withheld {
		if w.Runner == runner {
			return Step{}, w.Reason
		}
	}
	return Step{}, "is as wanted by now"
}

// check returns an error unless the step's order may be written now.
func (d *driver) check(s Step) error {
	now := d.clk.Now()
	for _, w := range s.Witnesses {
		if err := d.tenure.CheckHeld(w, now, d.limits); err != nil {
			return err
		}
	}
	return d.tenure.Check(s.Runner.ID, now, d.limits)
}

// send gives the step's order.
func (d *driver) send(ctx context.Context, s Step) error {
	h, _ := d.tenure.Hold(s.Runner.ID)
	bounded, cancel := context.WithTimeout(ctx, d.limits.Delivery)
	defer cancel()
	o := runnerapi.Order{Fencing: h.Fencing, Models: s.Runner.Models}
	start := d.clk.Now()
	_, err := d.engines.Order(bounded, s.Runner, o, func() error { return d.check(s) })
	now := d.clk.Now()
	d.learn(s, now, err)
	if fault.Is(err, fault.Conflict) || err != nil && s.Runner.ChecksFencing {
		// The next hold has a higher number; this one is spent until then.
		d.tenure = d.tenure.WithSpent(s.Runner.ID)
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

func (d *driver) rows(seen []Seen, reasons map[string]string) []Status {
	rows := make([]Status, 0, len(seen))
	for _, s := range seen {
		h, _ := d.tenure.Hold(s.Runner.ID)
		rows = append(rows, Status{
			Runner: s.Runner.ID, Wanted: s.Runner.Models, Loaded: s.Models,
			Fencing: h.Fencing, Reason: reasons[s.Runner.ID],
		})
	}
	return rows
}
