// Package progress bounds calls by the time in which nothing of their answer arrives
// instead of by their total duration. A large answer over a slow link is then not
// dropped, and requested again from the start, while it is still arriving.
package progress

import (
	"context"
	"io"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
)

// Limits bound one call.
type Limits struct {
	// Silence is the longest time without progress.
	Silence time.Duration
	// Total is the longest duration of the call. It is at least Silence.
	Total time.Duration
	// Begun is called once, at the first progress that is noted, unless it is nil.
	Begun func(at time.Time)
}

// WithLimits returns a context that ends when a call exceeds its limits. Its cause is
// context.DeadlineExceeded then.
func WithLimits(parent context.Context, clk clock.Clock, timers clock.Timers, l Limits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	now := clk.Now()
	t := &tracker{clk: clk, timers: timers, limits: l, start: now, last: now, expire: func() { cancel(context.DeadlineExceeded) }}
	t.mu.Lock()
	t.stop = timers.AfterFunc(l.Silence, t.check)
	t.mu.Unlock()
	return context.WithValue(ctx, contextKey{}, t), func() {
		t.end()
		cancel(context.Canceled)
	}
}

// Note records that a part of the answer to the call of ctx has arrived. It has no
// effect on contexts without limits.
func Note(ctx context.Context) {
	if t, ok := ctx.Value(contextKey{}).(*tracker); ok {
		t.note()
	}
}

// Reader returns a reader of r that notes each part of the answer to the call of ctx.
func Reader(ctx context.Context, r io.Reader) io.Reader { return reader{ctx: ctx, r: r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Note(r.ctx)
	}
	return n, err
}

// Follow makes each byte that arrives on a connection count as progress of the call of
// ctx. silentFor returns the time since the last one.
func Follow(ctx context.Context, silentFor func() time.Duration) {
	if t, ok := ctx.Value(contextKey{}).(*tracker); ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.silentFor = silentFor
	}
}

type contextKey struct{}

// tracker ends a context when its limits are exceeded.
type tracker struct {
	clk    clock.Clock
	timers clock.Timers
	limits Limits
	start  time.Time
	expire func()

	mu sync.Mutex
	// last is the time of the last progress that was noted.
	last time.Time
	// begun is set once progress was noted.
	begun bool
	// silentFor is the time since the last byte on the call's connection, or nil.
	silentFor func() time.Duration
	// stop cancels the pending check.
	stop  func() bool
	ended bool
}

// check ends the context if a limit is exceeded, and otherwise plans the next check.
func (t *tracker) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	now := t.clk.Now()
	silent := now.Sub(t.last)
	if t.silentFor != nil {
		silent = min(silent, t.silentFor())
	}
	left := min(t.limits.Silence-silent, t.limits.Total-now.Sub(t.start))
	if left <= 0 {
		t.ended = true
		t.expire()
		return
	}
	t.stop = t.timers.AfterFunc(left, t.check)
}

func (t *tracker) note() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = t.clk.Now()
	if !t.begun && t.limits.Begun != nil {
		t.limits.Begun(t.last)
	}
	t.begun = true
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.stop()
}
