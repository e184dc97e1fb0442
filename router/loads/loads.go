// Package loads exchanges the state of runners between instances. Each runner
// that reports its load is polled by one instance, its owner, and instances
// learn from each other which runners are in a cold start.
//
// An instance pulls from few others, whatever the size of the fleet: from the
// owners of the runners that it considers cold, and from one other instance in
// rotation.
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
	// methodDigest requests what an instance has observed of runners in a cold
	// start.
	methodDigest = "pool.digest"
	// methodCold notifies an instance that a runner turned cold.
	methodCold = "pool.cold"
)

// Defaults of the exchange.
const (
	// pullPeriod is the time between two rounds of digest requests.
	pullPeriod = 250 * time.Millisecond
	// pullTimeout limits one call to another instance.
	pullTimeout = 500 * time.Millisecond
	// pollPeriod is the time between two polls of the same runner.
	pollPeriod = time.Second
	// maxDigestAge is the maximum age of the observations in a digest.
	maxDigestAge = 10 * time.Second
	// fanOut is the maximum number of concurrent calls.
	fanOut = 16
	// maxPeers is the maximum number of instances to pull from in one round.
	maxPeers = 16
)

// Runners polls a runner for its load.
type Runners interface {
	Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error)
}

// Pools holds the state of the runners at this instance.
type Pools interface {
	ReportLoad(runner string, load runnerapi.Load)
	Status() []pool.Status
	Digest(since time.Time) pool.Digest
	MergeDigest(d pool.Digest, delay time.Duration)
	ColdRunners() <-chan string
}

// Fleet returns the instances and runners of the fleet.
type Fleet interface {
	// Members returns the identifiers of all instances, this one included.
	Members() []string
	// Runners returns the runners of the bundle in force.
	Runners() []bundle.Runner
}

// Parts holds the dependencies of an exchange.
type Parts struct {
	Self    string
	Clock   clock.Clock
	Log     hclog.Logger
	Mesh    instance.Mesh
	Pools   Pools
	Runners Runners
	Fleet   Fleet
}

// Exchange exchanges the state of runners with other instances.
type Exchange interface {
	// Run polls runners and exchanges their state until ctx ends.
	Run(ctx context.Context) error
}

// New returns an exchange and registers its handlers on the mesh.
func New(p Parts) Exchange {
	e := &exchange{Parts: p}
	p.Mesh.Handle(methodDigest, e.handleDigest)
	p.Mesh.Handle(methodCold, e.handleCold)
	return e
}

type exchange struct {
	Parts
	// round counts the rounds of digest requests. Only pullAll uses it.
	round int
}

// digestRequest holds the runners that the requesting instance considers cold.
// The answer covers other runners only if they turned cold.
type digestRequest struct {
	Cold []string `json:"cold"`
}

// Run polls runners and exchanges their state until ctx ends.
func (e *exchange) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runEvery(ctx, pullPeriod, e.pullAll) })
	group.Go(func() error { return e.runEvery(ctx, pollPeriod, e.pollAll) })
	group.Go(func() error { return e.broadcastColdRunners(ctx) })
	return group.Wait()
}

// coldNotice is the notification that a runner turned cold.
type coldNotice struct {
	Runner string `json:"runner"`
}

// broadcastColdRunners notifies all other instances at once when this instance
// finds that a runner turned cold. A late notification is harmless: the runner
// only counts as cold for too long.
func (e *exchange) broadcastColdRunners(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case runner := <-e.Pools.ColdRunners():
			e.callEach(ctx, e.others(), methodCold, coldNotice{Runner: runner})
		}
	}
}

// others returns all members except this instance.
func (e *exchange) others() []string {
	return slices.DeleteFunc(slices.Clone(e.Fleet.Members()), func(id string) bool { return id == e.Self })
}

// callEach calls the method with params on each of the instances, several at a
// time.
func (e *exchange) callEach(ctx context.Context, to []string, method string, params any) {
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, id := range to {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(instance.MarkIdempotent(ctx), pullTimeout)
			defer cancel()
			if err := e.Mesh.Call(ctx, id, method, params, nil); err != nil {
				e.Log.Debug("not told", "instance", id, "method", method, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// handleCold records that a runner turned cold.
func (e *exchange) handleCold(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var n coldNotice
	if err := json.Unmarshal(raw, &n); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode notice").WithField(methodCold)
	}
	e.Pools.MergeDigest(pool.Digest{Entries: []pool.DigestEntry{{Runner: n.Runner, Cold: true}}}, 0)
	return nil, nil
}

// runEvery calls do, then waits for the period, until ctx ends.
func (e *exchange) runEvery(ctx context.Context, period time.Duration, do func(context.Context)) error {
	for {
		do(ctx)
		if err := e.Clock.Sleep(ctx, period); err != nil {
			return err
		}
	}
}

// handleDigest returns the observations that the requesting instance may lack.
func (e *exchange) handleDigest(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var q digestRequest
	if err := json.Unmarshal(raw, &q); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode question").WithField(methodDigest)
	}
	d := e.Pools.Digest(e.Clock.Now().Add(-maxDigestAge))
	d.Entries = slices.DeleteFunc(d.Entries, func(entry pool.DigestEntry) bool {
		return !entry.Cold && !slices.Contains(q.Cold, entry.Runner)
	})
	return d, nil
}

// pullAll pulls digests from the peers of this round. A digest is at most as
// old as the duration of the call, which is measured on one clock; the
// difference between the clocks of two instances does not matter.
func (e *exchange) pullAll(ctx context.Context) {
	q := digestRequest{Cold: e.coldRunners()}
	e.round++
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, id := range selectPeers(e.Self, e.Fleet.Members(), q.Cold, e.round) {
		group.Go(func() error {
			e.pull(ctx, id, q)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) pull(ctx context.Context, id string, q digestRequest) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := e.Clock.Now()
	var d pool.Digest
	if err := e.Mesh.Call(instance.MarkIdempotent(ctx), id, methodDigest, q, &d); err != nil {
		e.Log.Debug("cannot pull digest", "instance", id, "error", err)
		return
	}
	e.Pools.MergeDigest(d, e.Clock.Now().Sub(start))
}

// coldRunners returns the runners that this instance considers cold.
func (e *exchange) coldRunners() []string {
	ids := []string{}
	for _, row := range e.Pools.Status() {
		if row.Cold {
			ids = append(ids, row.Runner)
		}
	}
	return ids
}

// pollAll polls the runners that report their load and that this instance owns.
func (e *exchange) pollAll(ctx context.Context) {
	members := e.Fleet.Members()
	var group errgroup.Group
	group.SetLimit(fanOut)
	for _, r := range e.Fleet.Runners() {
		if !r.ReportsLoad || owner(members, r.ID) != e.Self {
			continue
		}
		group.Go(func() error {
			e.poll(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) poll(ctx context.Context, r bundle.Runner) {
	start := e.Clock.Now()
	load, err := e.Runners.Load(ctx, r)
	if err != nil {
		e.Log.Debug("cannot poll runner", "runner", r.ID, "error", err)
		return
	}
	load.AgeMillis += e.Clock.Now().Sub(start).Milliseconds()
	e.Pools.ReportLoad(r.ID, load)
}
