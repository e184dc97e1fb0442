package stage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/router/target"
)

// Paths tells whether this instance reaches the runners by itself.
type Paths interface {
	// CutOff reports whether this instance is cut off from the runners, or was within
	// the last second.
	CutOff() bool
	// Watch calls lost when this instance is found to be cut off, once each time, until
	// stop is called. lost must not block.
	Watch(lost func()) (stop func())
	// Reachable reports whether there may be a way to a runner now, by this instance or
	// another one. Without one all pieces are refused, so that others make them.
	Reachable() bool
}

// noPaths is never cut off.
type noPaths struct{}

func (noPaths) CutOff() bool { return false }

func (noPaths) Watch(func()) func() { return func() {} }

func (noPaths) Reachable() bool { return true }

// WithPaths sets what tells whether this instance reaches the runners. By default it always
// does.
func WithPaths(p Paths) PoolsOption { return func(s *poolSet) { s.paths = p } }

// lostPaths is called when this instance is found to be cut off from the runners.
func (s *poolSet) lostPaths() {
	s.mu.Lock()
	pools := slices.Collect(maps.Values(s.pools))
	s.mu.Unlock()
	for _, p := range pools {
		p.lostPaths()
	}
}

// path has the context of the batches that are sent until the next loss.
type path struct {
	parent context.Context

	mu   sync.Mutex
	ctx  context.Context // nil until it is used
	lose context.CancelFunc
}

// context returns the context of a batch that is sent now.
func (p *path) context() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		p.ctx, p.lose = context.WithCancel(p.parent)
	}
	return p.ctx
}

// lost ends the context of the batches under way.
func (p *path) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx != nil {
		p.lose()
	}
	p.ctx = nil
}

// lostPaths drops the backoffs of runners that failed, since the reason isn't theirs, and
// gives up the batches under way, whose pieces are queued again. A result that such a batch
// still makes expires at its runner.
func (p *Pool) lostPaths() {
	p.path.lost()
	p.mu.Lock()
	soon := p.clk.Now().Add(refusedBackoff)
	maps.DeleteFunc(p.backoffUntil, func(_ *target.Target, until time.Time) bool { return until.After(soon) })
	p.mu.Unlock()
	p.Dispatch()
}
