package pool

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/permit"
	"github.com/cespare/xxhash/v2"
)

// New returns Pools without runners; Update brings them.
func New(clk clock.Clock, options ...Option) Pools {
	p := &pools{clk: clk, cfg: defaults(), began: clk.Now().Add(-past), signs: make(chan string, signsKept)}
	for _, o := range options {
		o(&p.cfg)
	}
	p.state.Store(p.cfg.seed)
	p.snapshot.Store(&snapshot{})
	p.hold.Store(math.MaxInt64)
	return p
}

type pools struct {
	clk clock.Clock
	cfg settings
	// began is the origin of instants.
	began time.Time
	// state is the state of the random choices.
	state    atomic.Uint64
	snapshot atomic.Pointer[snapshot]
	// hold is the instant until which cold runners may be used.
	hold atomic.Int64
	// signs are the cold runners that peers have to hear of.
	signs chan string
	// lapsed is set when a hold ended before it was renewed.
	lapsed atomic.Bool

	// mu is held by Update; the fields below belong to it.
	mu sync.Mutex
	// runners are all that were ever seen and still have work or a row.
	runners map[string]*runner
	groups  map[groupKey]*group
	// cover holds the last settled view and the unsettled ones since.
	cover permit.Cover
}

// snapshot is what the path of a request reads. It is immutable.
type snapshot struct {
	groups  map[groupKey]*group
	runners map[string]*runner
}

// past lets instants from before the pools were made stay positive.
const past = time.Hour

func (p *pools) now() instant { return p.instantOf(p.clk.Now()) }

func (p *pools) instantOf(t time.Time) instant { return instant(t.Sub(p.began)) }

// random returns the next number of a splitmix64 sequence.
func (p *pools) random() uint64 { return mix(p.state.Add(0x9e3779b97f4a7c15)) }

func (p *pools) Acquire(ctx context.Context, ask Ask) (Place, error) {
	g := p.snapshot.Load().groups[groupKey{ask.Service, ask.Model}]
	if g == nil {
		return nil, fault.New(fault.NoRunner, "no runner serves service %q with model %q", ask.Service, ask.Model)
	}
	if g.members.Load().len() == 0 {
		return nil, noRunner(g)
	}
	now := p.now()
	pl, err := p.atOnce(g, &ask, now)
	if err != nil {
		return nil, err
	}
	if pl != nil {
		return pl, nil
	}
	w, err := p.enqueue(g, ask, now)
	if err != nil {
		return nil, err
	}
	return p.wait(ctx, w)
}

// atOnce returns a place without waiting, or nil when the ask has to wait.
func (p *pools) atOnce(g *group, ask *Ask, now instant) (*place, error) {
	left := p.instantOf(ask.Deadline).sub(now)
	if need := g.latency.likely(now); p.cfg.budgets && left < need {
		return nil, fault.New(fault.DeadlineShort, "%v remain, %s needs %v",
			left, ask.Service, need)
	}
	if !g.mustWait(ask.Paying) {
		a := attempt{p: p, g: g, ask: *ask, now: now}
		pl := a.anywhere()
		if a.undone != nil {
			p.dispatch(a.undone, now)
		}
		if pl != nil {
			return pl, nil
		}
	}
	if !g.usable(ask) {
		return nil, fault.New(fault.NoRunner, "all runners of %s were tried", ask.Service)
	}
	return nil, nil
}

// frac returns the part of x after the point.
func frac(x float64) float64 { return x - math.Floor(x) }

func newRunner(desc bundle.Runner) *runner {
	r := &runner{id: desc.ID, hash: xxhash.Sum64String(desc.ID)}
	r.desc.Store(&desc)
	r.groups.Store(&[]*group{})
	r.out.Store(true)
	return r
}
