package stage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Pools manages a pool for each shard that makes pieces.
type Pools interface {
	Maker
	// Run frees released results and dispatches queued pieces periodically, until
	// ctx ends.
	Run(ctx context.Context) error
	// Close waits until ctx ends for the orders in progress, and drops the rest.
	Close(ctx context.Context)
}

// freeInterval is how often released results are freed on their runners: a
// fraction of the duration of a batch.
const freeInterval = 40 * time.Millisecond

// dispatchInterval is how often queued pieces are dispatched without an event:
// a fraction of the duration of a batch.
const dispatchInterval = 40 * time.Millisecond

// freeTimeout bounds one request to free results.
const freeTimeout = time.Second

// PoolsOption changes a default of NewPools.
type PoolsOption func(*poolSet)

// NewPools returns pools over the runners of this instance's snapshot.
func NewPools(clk clock.Clock, rules policy.Policy, current *inventory.Current, targets target.Set, runners Runners, log hclog.Logger, opts ...PoolsOption) Pools {
	ctx, cancel := context.WithCancel(context.Background())
	s := &poolSet{
		clk: clk, rules: rules, current: current, targets: targets, runners: runners, log: log, ctx: ctx, cancel: cancel, rollouts: noRollouts{}, paths: noPaths{},
		held:  heldResults{byHandle: make(map[string]heldResult)},
		pools: make(map[shard.Shard]*Pool), toFree: make(map[string][]string),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.unwatch = s.paths.Watch(s.lostPaths)
	return s
}

type poolSet struct {
	clk     clock.Clock
	rules   policy.Policy
	current *inventory.Current
	targets target.Set
	runners Runners
	log     hclog.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	rollouts Rollouts
	paths    Paths
	// unwatch ends the calls of lostPaths.
	unwatch func()
	// held has the results that are still needed.
	held heldResults

	// inProgress counts the orders in progress.
	inProgress sync.WaitGroup

	mu sync.Mutex
	// closed is set by Close; later orders are refused.
	closed bool
	pools  map[shard.Shard]*Pool
	// toFree has the handles of released results, by runner.
	toFree map[string][]string
}

func (s *poolSet) Make(ctx context.Context, o Order) []Result {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return allFailed(o, Refused)
	}
	s.inProgress.Add(1)
	s.mu.Unlock()
	defer s.inProgress.Done()
	return s.pool(o.Shard).Make(ctx, o)
}

func (s *poolSet) Reserve(_ context.Context, a Reservation) Forecast {
	return s.pool(a.Shard).Reserve(a)
}

func (s *poolSet) Cancel(sh shard.Shard, order string) { s.pool(sh).Cancel(order) }

func (s *poolSet) pool(sh shard.Shard) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[sh]
	if p == nil {
		p = &Pool{
			path: path{parent: s.ctx},
			clk:  s.clk, rules: s.rules, runners: s.runners, log: s.log, shard: sh, ctx: s.ctx,
			targets: func() []*target.Target { return s.targets.UsableIn(sh) },
			limits: func() *routing.Batches {
				table := s.current.Load().Table
				if table == nil || table.Service(sh.Service) == nil {
					return nil
				}
				return table.Service(sh.Service).Batches
			},
			snapshotAge: s.current.Age, permit: s.targets.TakePermit, admit: s.targets.Admit, candidate: s.targets.Candidate,
			rollouts: s.rollouts, paths: s.paths, hold: s.held.add,
			inFlight: make(map[*target.Target]int), memory: make(map[*target.Target]*resultMemory),
			reserved: make(map[string]pendingOrder), backoffUntil: make(map[*target.Target]time.Time),
		}
		s.pools[sh] = p
	}
	return p
}

func (s *poolSet) Free(_ shard.Shard, results []Result) {
	s.held.remove(results, s.clk.Now(), s.rollouts)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			s.toFree[r.Runner] = append(s.toFree[r.Runner], r.Handle)
		}
	}
}

func (s *poolSet) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		for s.clk.Sleep(ctx, dispatchInterval) == nil {
			s.dispatchQueued()
		}
	})
	for s.clk.Sleep(ctx, freeInterval) == nil {
		s.held.expire(s.clk.Now())
		s.freeResults(ctx)
	}
	group.Wait()
	return nil
}

// dispatchQueued dispatches or drops queued pieces in cases that no event
// signals: the wait for a zone has ended, result memory is free again, or a
// deadline has passed.
func (s *poolSet) dispatchQueued() {
	s.mu.Lock()
	pools := slices.Collect(maps.Values(s.pools))
	s.mu.Unlock()
	for _, p := range pools {
		if p.hasQueued() {
			p.Dispatch()
		}
	}
}

// freeResults asks the runners to free the released results. Results that a
// failed request concerns expire on their runner, and so do those of runners with a limit,
// which take calls for batches only.
func (s *poolSet) freeResults(ctx context.Context) {
	s.mu.Lock()
	toFree := s.toFree
	s.toFree = make(map[string][]string)
	s.mu.Unlock()
	var group sync.WaitGroup
	for id, handles := range toFree {
		t := s.targets.Find(id)
		if t == nil || t.Limited() {
			continue
		}
		if t.PausedFor(s.clk.Now()) > 0 {
			s.mu.Lock()
			s.toFree[id] = append(s.toFree[id], handles...)
			s.mu.Unlock()
			continue
		}
		group.Go(func() { s.freeOn(ctx, t, handles) })
	}
	group.Wait()
}

func (s *poolSet) freeOn(ctx context.Context, t *target.Target, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	r := t.Runner()
	if err := s.runners.Free(ctx, r, handles); err != nil {
		s.log.Debug("results not freed, they expire on the runner", "runner", r.ID, "results", len(handles), "error", err)
		return
	}
	s.mu.Lock()
	pools := []*Pool{s.pools[shard.Whole(r.Service)], s.pools[shard.Shard{Service: r.Service, Zone: r.Zone}]}
	s.mu.Unlock()
	for _, p := range pools {
		if p != nil {
			p.RemoveResults(t, handles)
		}
	}
}

func (s *poolSet) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	pools := s.pools
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { s.abort(pools) })
	s.inProgress.Wait()
	stop()
	s.unwatch()
	s.abort(pools)
	for _, p := range pools {
		p.group.Wait()
	}
}

// abort drops all queued pieces and cancels the requests to runners.
func (s *poolSet) abort(pools map[shard.Shard]*Pool) {
	s.cancel()
	for _, p := range pools {
		p.Dispatch()
	}
}
