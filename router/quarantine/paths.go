package quarantine

import (
	"slices"
	"time"
)

// Paths tells whether this instance reaches the runners by itself.
type Paths interface {
	// Watch calls lost when this instance is found to be cut off, once each time, until
	// stop is called. lost must not block.
	Watch(lost func()) (stop func())
}

// WithPaths has the guard drop the crashes that were seen just before this instance is found
// to be cut off from the runners. By default it never is.
func WithPaths(p Paths) Option { return func(g *guard) { g.paths = p } }

// unknownLoss is how long this instance may be cut off before that is found.
const unknownLoss = time.Second

// lostPaths drops the latest suspects, unless they are reported already.
func (g *guard) lostPaths() {
	since := g.clk.Now().Add(-unknownLoss)
	recent := func(s seenSuspect) bool { return !s.at.Before(since) }
	g.outbox.Lock()
	defer g.outbox.Unlock()
	g.suspects = slices.DeleteFunc(g.suspects, recent)
	g.sent = slices.DeleteFunc(g.sent, recent)
}
