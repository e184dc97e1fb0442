// Package loads spreads what instances know of runners: each runner that
// reports its load is asked by one instance, and instances learn from each
// other which runners are in cold start.
//
// An instance asks few others, however many there are: those that ask the
// runners it holds for cold, and one more, by turns.
package loads

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/pool"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

const (
	// methodDigest asks an instance what it knows of runners in cold start.
	methodDigest = "pool.digest"
	// methodCold tells an instance that a runner turned cold.
	methodCold = "pool.cold"
)

// Defaults of the exchange.
const (
	// pullPeriod is the time between two questions to the same instance.
	pullPeriod = 250 * time.Millisecond
	// pullTimeout bounds one question.
	pullTimeout = 500 * time.Millisecond
	// askPeriod is the time between two questions to the same runner.
	askPeriod = time.Second
	// knowledge is how old what is passed on may be.
	knowledge = 10 * time.Second
	// fanOut is how many are asked at once.
	fanOut = 16
	// maxPartners is how many instances are asked in one turn.
	maxPartners = 16
)

// Runners asks a runner for its load.
type Runners interface {
	Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error)
}

// Pools takes in and tells what is known of the runners.
type Pools interface {
	Report(runner string, load runnerapi.Load)
	Status() []pool.Status
	Digest(since time.Time) pool.Digest
	Learn(d pool.Digest, delay time.Duration)
	ColdSigns() <-chan string
}

// Fleet tells who there is.
type Fleet interface {
	// Members returns the identifiers of all instances, this one included.
	Members() []string
	// Runners returns the runners of the bundle in force.
	Runners() []bundle.Runner
}

// Parts are what an exchange is built from.
type Parts struct {
	Self    string
	Clock   clock.Clock
	Log     hclog.Logger
	Mesh    instance.Mesh
	Pools   Pools
	Runners Runners
	Fleet   Fleet
}

// Exchange spreads knowledge of the runners.
type Exchange interface {
	// Run asks runners and instances until ctx ends.
	Run(ctx context.Context) error
}

// New returns an exchange and sets its handler on the mesh.
func New(p Parts) Exchange {
	e := &exchange{Parts: p}
	p.Mesh.Handle(methodDigest, e.answer)
	p.Mesh.Handle(methodCold, e.hear)
	return e
}

type exchange struct {
	Parts
	// turn counts the periods; only pullAll uses it.
	turn int
}

// question names the runners that the asking instance holds for cold: nothing
// has to be said of the others unless they turned cold.
type question struct {
	Cold []string `json:"cold"`
}

// Run asks runners and instances until ctx ends.
func (e *exchange) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.every(ctx, pullPeriod, e.pullAll) })
	group.Go(func() error { return e.every(ctx, askPeriod, e.askAll) })
	group.Go(func() error { return e.tell(ctx) })
	return group.Wait()
}

// notice names a runner that turned cold.
type notice struct {
	Runner string `json:"runner"`
}

// tell tells all others at once of runners that turned cold here. A notice that
// is late takes the runner for cold too long, which does no harm.
func (e *exchange) tell(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case runner := <-e.Pools.ColdSigns():
			e.each(ctx, e.others(), methodCold, notice{Runner: runner})
		}
	}
}

// others returns all members but this one.
func (e *exchange) others() []string {
	return slices.DeleteFunc(slices.Clone(e.Fleet.Members()), func(id string) bool { return id == e.Self })
}

// each sends params to each of the instances, several at once.
func (e *exchange) each(ctx context.Context, to []string, method string, params any) {
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, id := range to {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(instance.Repeatable(ctx), pullTimeout)
			defer cancel()
			if err := e.Mesh.Call(ctx, id, method, params, nil); err != nil {
				e.Log.Debug("not told", "instance", id, "method", method, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// hear takes in that a runner turned cold.
func (e *exchange) hear(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var n notice
	if err := json.Unmarshal(raw, &n); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode notice").WithField(methodCold)
	}
	e.Pools.Learn(pool.Digest{Entries: []pool.DigestEntry{{Runner: n.Runner, Cold: true}}}, 0)
	return nil, nil
}

func (e *exchange) every(ctx context.Context, period time.Duration, do func(context.Context)) error {
	for {
		do(ctx)
		if err := e.Clock.Sleep(ctx, period); err != nil {
			return err
		}
	}
}

// answer tells an instance what it may not know.
func (e *exchange) answer(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(raw, &q); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode question").WithField(methodDigest)
	}
	d := e.Pools.Digest(e.Clock.Now().Add(-knowledge))
	d.Entries = slices.DeleteFunc(d.Entries, func(entry pool.DigestEntry) bool {
		return !entry.Cold && !slices.Contains(q.Cold, entry.Runner)
	})
	return d, nil
}

// pullAll asks the partners of this turn. Their answers are at most as old as
// the whole call took, whatever the clocks of the two show.
func (e *exchange) pullAll(ctx context.Context) {
	q := question{Cold: e.cold()}
	e.turn++
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, id := range partners(e.Self, e.Fleet.Members(), q.Cold, e.turn) {
		group.Go(func() error {
			e.pull(ctx, id, q)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) pull(ctx context.Context, id string, q question) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := e.Clock.Now()
	var d pool.Digest
	if err := e.Mesh.Call(instance.Repeatable(ctx), id, methodDigest, q, &d); err != nil {
		e.Log.Debug("no digest", "instance", id, "error", err)
		return
	}
	e.Pools.Learn(d, e.Clock.Now().Sub(start))
}

// cold returns the runners that this instance holds for cold.
func (e *exchange) cold() []string {
	ids := []string{}
	for _, row := range e.Pools.Status() {
		if row.Cold {
			ids = append(ids, row.Runner)
		}
	}
	return ids
}

// askAll asks the runners that report their load and that fall to this
// instance.
func (e *exchange) askAll(ctx context.Context) {
	members := e.Fleet.Members()
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, r := range e.Fleet.Runners() {
		if !r.ReportsLoad || owner(members, r.ID) != e.Self {
			continue
		}
		group.Go(func() error {
			e.ask(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) ask(ctx context.Context, r bundle.Runner) {
	start := e.Clock.Now()
	load, err := e.Runners.Load(ctx, r)
	if err != nil {
		e.Log.Debug("no load report", "runner", r.ID, "error", err)
		return
	}
	load.AgeMillis += e.Clock.Now().Sub(start).Milliseconds()
	e.Pools.Report(r.ID, load)
}
