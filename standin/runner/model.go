package runner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
)

const (
	// coldFactor is how much longer work takes in cold start.
	coldFactor = 2.0
	// queuePerSlot bounds the work that waits for a slot.
	queuePerSlot = 4
	// batchShare is the part of a token's time that grows with the batch.
	batchShare = 0.5
	// prefillTokens is the time of a prompt outside the prefix cache, in
	// token times.
	prefillTokens = 6
)

var (
	errFull      = errors.New("no slot and no place in the queue")
	errCollapsed = errors.New("cold start collapsed under too much work")
)

// model is how a runner behaves under load: work above its slots waits, paying
// before free; each run slows the others; a cold start ends after its time
// under bearable load and begins again with every overload.
type model struct {
	cfg   Config
	clock clock.Clock

	mu      sync.Mutex
	running int
	// paying and free are closed, the oldest first, when the work that
	// waits for a slot gets it.
	paying, free []chan struct{}
	coldUntil    time.Time
	// collapsed is closed, and replaced, when a cold start collapses.
	collapsed chan struct{}
	slow      float64
	// prefixes are those in the cache, the last used at the end.
	prefixes []string
	// report is the load report in force.
	report   runnerapi.Load
	reportAt time.Time
}

func newModel(cfg Config, clk clock.Clock) *model {
	m := &model{cfg: cfg, clock: clk, collapsed: make(chan struct{}), slow: 1}
	if cfg.StartCold {
		m.coldUntil = clk.Now().Add(cfg.Warmup)
	}
	return m
}

// turnCold starts a cold start now.
func (m *model) turnCold() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil = m.clock.Now().Add(m.cfg.Warmup)
	m.prefixes = nil
}

func (m *model) setSlow(factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slow = max(1, factor)
}

// slot is a place among the running work.
type slot struct {
	load int
	cold bool
	// collapsed is closed when the work fails with its runner.
	collapsed <-chan struct{}
}

// enter waits for a slot. Nothing has been run when it fails.
func (m *model) enter(ctx context.Context, paying bool) (slot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running < m.cfg.Slots {
		m.running++
		return m.slot(), nil
	}
	if len(m.paying)+len(m.free) >= queuePerSlot*m.cfg.Slots {
		return slot{}, errFull
	}
	queue := &m.free
	if paying {
		queue = &m.paying
	}
	turn := make(chan struct{})
	*queue = append(*queue, turn)
	m.mu.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
	}
	m.mu.Lock()
	if ctx.Err() == nil {
		return m.slot(), nil
	}
	if i := slices.Index(*queue, turn); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	} else {
		m.pass()
	}
	return slot{}, ctx.Err()
}

// slot describes the place that was just taken.
func (m *model) slot() slot {
	return slot{load: m.running, cold: m.cold(), collapsed: m.collapsed}
}

// pass gives a place to the work that waits, paying before free.
func (m *model) pass() {
	for _, queue := range []*[]chan struct{}{&m.paying, &m.free} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	m.running--
}

// overload fails all running work and starts the cold start again when there
// is more work than a cold runner bears; it reports whether it did.
func (m *model) overload(s slot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.cold || s.load <= m.cfg.ColdSlots {
		return false
	}
	m.coldUntil = m.clock.Now().Add(m.cfg.Warmup)
	close(m.collapsed)
	m.collapsed = make(chan struct{})
	return true
}

func (m *model) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pass()
}

func (m *model) cold() bool { return m.clock.Now().Before(m.coldUntil) }

// stretch returns how long work of length d takes under the load of now.
func (m *model) stretch(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := m.slow
	if m.cold() {
		factor *= coldFactor
	}
	factor *= 1 - batchShare + batchShare*float64(m.running)/float64(m.cfg.Slots)
	return time.Duration(float64(d) * factor)
}

// prefill returns the time of a prompt in token times, and whether its prefix
// was in the cache, where it is from now on.
func (m *model) prefill(prefix string) (tokens int, cached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range m.prefixes {
		if p == prefix {
			m.prefixes = append(append(m.prefixes[:i:i], m.prefixes[i+1:]...), prefix)
			return 0, true
		}
	}
	m.prefixes = append(m.prefixes, prefix)
	if len(m.prefixes) > m.cfg.CachedPrefixes {
		m.prefixes = m.prefixes[1:]
	}
	return prefillTokens, false
}

// load returns the report in force, which is taken anew when it is older than
// the lag.
func (m *model) load() *runnerapi.Load {
	if !m.cfg.ReportsLoad {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if age := now.Sub(m.reportAt); age >= m.cfg.LoadLag {
		m.report = runnerapi.Load{Running: m.running, Queued: len(m.paying) + len(m.free), Cold: m.cold()}
		m.reportAt = now
	}
	report := m.report
	report.AgeMillis = now.Sub(m.reportAt).Milliseconds()
	return &report
}
