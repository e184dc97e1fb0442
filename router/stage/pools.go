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
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Pools has a pool for each service that makes pieces.
type Pools interface {
	Maker
	// Run gives results up, and looks at what waits, until ctx ends.
	Run(ctx context.Context) error
	// Close waits until ctx ends for the orders that are being made, and drops
	// the rest.
	Close(ctx context.Context)
}

// freeEvery is how often results that were given up are told to their makers:
// a fraction of the time that one call of a stage takes.
const freeEvery = 40 * time.Millisecond

// lookEvery is how often what waits is looked at without an event: a fraction of
// the time that one call of a stage takes.
const lookEvery = 40 * time.Millisecond

// freeTimeout bounds one such call.
const freeTimeout = time.Second

// NewPools returns a pools over the runners of this instance's snapshot.
func NewPools(clk clock.Clock, rules policy.Policy, current *inventory.Current, targets target.Set, runners Runners, log hclog.Logger) Pools {
	ctx, cancel := context.WithCancel(context.Background())
	return &poolSet{
		clk: clk, rules: rules, current: current, targets: targets, runners: runners, log: log, ctx: ctx, cancel: cancel,
		pools: make(map[string]*Pool), freed: make(map[string][]string),
	}
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

	// making has the orders that are being made.
	making sync.WaitGroup

	mu sync.Mutex
	// closed is set by Close; no order is taken after.
	closed bool
	pools  map[string]*Pool
	// freed has the handles to give up, by runner.
	freed map[string][]string
}

func (s *poolSet) Make(ctx context.Context, o Order) []Result {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return failed(o, Refused)
	}
	s.making.Add(1)
	s.mu.Unlock()
	defer s.making.Done()
	return s.pool(o.Service).Make(ctx, o)
}

func (s *poolSet) Reserve(_ context.Context, a Reservation) Forecast {
	return s.pool(a.Service).Reserve(a)
}

func (s *poolSet) Cancel(service, order string) { s.pool(service).Cancel(order) }

func (s *poolSet) pool(service string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[service]
	if p == nil {
		p = &Pool{
			clk: s.clk, rules: s.rules, runners: s.runners, log: s.log, service: service, ctx: s.ctx,
			targets: func() []*target.Target { return s.targets.Usable(service) },
			batches: func() *routing.Batches {
				table := s.current.Load().Table
				if table == nil || table.Service(service) == nil {
					return nil
				}
				return table.Service(service).Batches
			},
			age: s.current.Age, permit: s.targets.Permit,
			busy: make(map[*target.Target]int), rooms: make(map[*target.Target]*room),
			reserved: make(map[string]reserved), backoff: make(map[*target.Target]time.Time),
		}
		s.pools[service] = p
	}
	return p
}

func (s *poolSet) Free(_ string, results []Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			s.freed[r.Runner] = append(s.freed[r.Runner], r.Handle)
		}
	}
}

func (s *poolSet) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		for s.clk.Sleep(ctx, lookEvery) == nil {
			s.look()
		}
	})
	for s.clk.Sleep(ctx, freeEvery) == nil {
		s.free(ctx)
	}
	group.Wait()
	return nil
}

// look has what waits dispatched, or dropped, that no event concerns: zones may
// have been waited for long enough, room may be free again, time may be over.
func (s *poolSet) look() {
	s.mu.Lock()
	pools := slices.Collect(maps.Values(s.pools))
	s.mu.Unlock()
	for _, p := range pools {
		if p.waits() {
			p.Dispatch()
		}
	}
}

// free tells the runners of this instance's results what to give up. What a
// runner doesn't hear it gives up by itself after a while.
func (s *poolSet) free(ctx context.Context) {
	s.mu.Lock()
	freed := s.freed
	s.freed = make(map[string][]string)
	s.mu.Unlock()
	var group sync.WaitGroup
	for id, handles := range freed {
		t := s.targets.Find(id)
		if t == nil {
			continue
		}
		group.Go(func() { s.freeAt(ctx, t, handles) })
	}
	group.Wait()
}

func (s *poolSet) freeAt(ctx context.Context, t *target.Target, handles []string) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	r := t.Runner()
	if err := s.runners.Free(ctx, r, handles); err != nil {
		s.log.Debug("results not given up, the runner drops them in time", "runner", r.ID, "results", len(handles), "error", err)
		return
	}
	s.pool(r.Service).Freed(t, handles)
}

func (s *poolSet) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	pools := s.pools
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { s.abort(pools) })
	s.making.Wait()
	stop()
	s.abort(pools)
	for _, p := range pools {
		p.group.Wait()
	}
}

// abort drops all that waits and ends the calls to runners.
func (s *poolSet) abort(pools map[string]*Pool) {
	s.cancel()
	for _, p := range pools {
		p.Dispatch()
	}
}
