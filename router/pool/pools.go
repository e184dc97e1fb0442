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

// New returns Pools without runners; they are set by Update.
func New(clk clock.Clock, options ...Option) Pools {
	p := &pools{clk: clk, cfg: defaults(), origin: clk.Now().Add(-originOffset), coldRunners: make(chan string, coldRunnerBuffer)}
	for _, o := range options {
		o(&p.cfg)
	}
	p.randomState.Store(p.cfg.seed)
	p.snapshot.Store(&snapshot{})
	p.viewValidUntil.Store(math.MaxInt64)
	return p
}

type pools struct {
	clk clock.Clock
	cfg settings
	// origin is the zero point of instants.
	origin time.Time
	// randomState is the state of the random number generator.
	randomState atomic.Uint64
	snapshot    atomic.Pointer[snapshot]
	// viewValidUntil is the instant until which cold runners may be used.
	viewValidUntil atomic.Int64
	// coldRunners holds the runners that turned cold, for ColdRunners.
	coldRunners chan string
	// viewExpired is set if ExtendView was called only after the view had
	// expired.
	viewExpired atomic.Bool

	// mu serializes Update and guards the fields below.
	mu sync.Mutex
	// runners and groups are those of the last topology.
	runners map[string]*runner
	groups  map[groupKey]*group
	// activeViews holds the last effective view and the later ones that are
	// not effective.
	activeViews permit.ActiveViews
}

// snapshot is the immutable state that Acquire and the other readers use.
type snapshot struct {
	groups  map[groupKey]*group
	runners map[string]*runner
}

// originOffset is how far origin lies before the pools' creation, so that
// earlier instants, such as those of old reports, stay positive.
const originOffset = time.Hour

func (p *pools) now() instant { return p.instantOf(p.clk.Now()) }

func (p *pools) instantOf(t time.Time) instant { return instant(t.Sub(p.origin)) }

// random returns the next number of a splitmix64 sequence.
func (p *pools) random() uint64 { return mix(p.randomState.Add(0x9e3779b97f4a7c15)) }

func (p *pools) Acquire(ctx context.Context, req Request) (Slot, error) {
	g := p.snapshot.Load().groups[groupKey{req.Service, req.Model}]
	if g == nil {
		return nil, fault.New(fault.NoRunner, "no runner serves service %q with model %q", req.Service, req.Model)
	}
	if g.members.Load().len() == 0 {
		return nil, noRunnerError(g)
	}
	now := p.now()
	pl, err := p.acquireNow(g, &req, now)
	if err != nil {
		return nil, err
	}
	if pl != nil {
		return pl, nil
	}
	w, err := p.enqueue(g, req, now)
	if err != nil {
		return nil, err
	}
	return p.waitForSlot(ctx, w)
}

// acquireNow returns a slot without waiting, or nil if the request has to wait.
func (p *pools) acquireNow(g *group, req *Request, now instant) (*slot, error) {
	left := p.instantOf(req.Deadline).sub(now)
	if need := g.latency.likelyMax(now); p.cfg.deadlineChecks && left < need {
		return nil, fault.New(fault.DeadlineTooShort, "%v remain, %s needs %v",
			left, req.Service, need)
	}
	if !g.mustWait(req.Paying) {
		a := acquisition{p: p, g: g, req: *req, now: now}
		pl := a.tryAny()
		if a.redispatch != nil {
			p.dispatch(a.redispatch, now)
		}
		if pl != nil {
			return pl, nil
		}
	}
	if !g.hasCandidate(req) {
		return nil, fault.New(fault.NoRunner, "all runners of %s were tried", req.Service)
	}
	return nil, nil
}

// frac returns the fractional part of x.
func frac(x float64) float64 { return x - math.Floor(x) }

func newRunner(desc bundle.Runner) *runner {
	r := &runner{id: desc.ID, hash: xxhash.Sum64String(desc.ID)}
	r.desc.Store(&desc)
	r.groups.Store(&[]*group{})
	r.disabled.Store(true)
	return r
}
