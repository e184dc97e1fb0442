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
	// coldSlowdown multiplies the duration of work in cold start.
	coldSlowdown = 2.0
	// queuePerSlot limits the queue length, per slot.
	queuePerSlot = 4
	// batchShare is the part of the duration of work that grows in
	// proportion to the number of running calls.
	batchShare = 0.5
	// prefillTokens is the time to process a prompt that misses the prefix
	// cache, as a multiple of the duration of one token.
	prefillTokens = 6
)

var (
	errQueueFull = errors.New("no slot and no place in the queue")
	errCollapsed = errors.New("cold start collapsed under too much work")
)

// perfModel simulates the performance of a runner under load. Work above the
// number of slots is queued, paying teams first. Each run slows down the others.
// A cold start ends after Config.Warmup unless an overload restarts it.
type perfModel struct {
	cfg   Config
	clock clock.Clock

	mu      sync.Mutex
	running int
	// payingQueue and freeQueue have one channel for each waiting call, the
	// oldest first, which is closed when the call gets a slot.
	payingQueue, freeQueue []chan struct{}
	coldUntil              time.Time
	// collapsed is closed and replaced when an overload restarts a cold
	// start.
	collapsed  chan struct{}
	slowFactor float64
	// prefixes holds the prompt prefixes in the LRU cache, the most recently
	// used last.
	prefixes []string
	// report is the current load report, taken at reportAt.
	report   runnerapi.Load
	reportAt time.Time
}

func newPerfModel(cfg Config, clk clock.Clock) *perfModel {
	m := &perfModel{cfg: cfg, clock: clk, collapsed: make(chan struct{}), slowFactor: 1}
	if cfg.StartCold {
		m.coldUntil = clk.Now().Add(cfg.Warmup)
	}
	return m
}

// startColdStart starts a cold start and empties the prefix cache.
func (m *perfModel) startColdStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil = m.clock.Now().Add(m.cfg.Warmup)
	m.prefixes = nil
}

func (m *perfModel) setSlowFactor(factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowFactor = max(1, factor)
}

// slot describes a slot that a call has acquired.
type slot struct {
	// load is the number of running calls when the slot was acquired, this
	// one included; cold whether the runner was in cold start.
	load int
	cold bool
	// collapsed is closed when an overload fails all running calls.
	collapsed <-chan struct{}
}

// acquire waits for a slot. When it fails, nothing has run.
func (m *perfModel) acquire(ctx context.Context, paying bool) (slot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running < m.cfg.Slots {
		m.running++
		return m.newSlot(), nil
	}
	if len(m.payingQueue)+len(m.freeQueue) >= queuePerSlot*m.cfg.Slots {
		return slot{}, errQueueFull
	}
	queue := &m.freeQueue
	if paying {
		queue = &m.payingQueue
	}
	granted := make(chan struct{})
	*queue = append(*queue, granted)
	m.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	m.mu.Lock()
	if ctx.Err() == nil {
		return m.newSlot(), nil
	}
	if i := slices.Index(*queue, granted); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	} else {
		m.grantNext()
	}
	return slot{}, ctx.Err()
}

// newSlot describes the slot that was just acquired. The caller holds mu.
func (m *perfModel) newSlot() slot {
	return slot{load: m.running, cold: m.cold(), collapsed: m.collapsed}
}

// grantNext passes a freed slot to the oldest waiting call, paying before free, or
// decrements the number of running calls when none waits. The caller holds mu.
func (m *perfModel) grantNext() {
	for _, queue := range []*[]chan struct{}{&m.payingQueue, &m.freeQueue} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	m.running--
}

// collapseIfOverloaded fails all running calls and restarts the cold start when s
// was acquired in cold start above ColdSlots; it reports whether it did.
func (m *perfModel) collapseIfOverloaded(s slot) bool {
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

func (m *perfModel) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grantNext()
}

func (m *perfModel) cold() bool { return m.clock.Now().Before(m.coldUntil) }

// scaledDuration returns the duration of work under the present load, where d is
// its nominal duration with all slots in use.
func (m *perfModel) scaledDuration(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := m.slowFactor
	if m.cold() {
		factor *= coldSlowdown
	}
	factor *= 1 - batchShare + batchShare*float64(m.running)/float64(m.cfg.Slots)
	return time.Duration(float64(d) * factor)
}

// prefill returns the time to process a prompt, as a multiple of the duration of
// one token, and whether its prefix was in the cache. It adds the prefix to the
// cache.
func (m *perfModel) prefill(prefix string) (tokens int, cached bool) {
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

// load returns the current load report, or nil when the runner reports none. It
// first replaces a report that is at least LoadLag old.
func (m *perfModel) load() *runnerapi.Load {
	if !m.cfg.ReportsLoad {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if age := now.Sub(m.reportAt); age >= m.cfg.LoadLag {
		m.report = runnerapi.Load{Running: m.running, Queued: len(m.payingQueue) + len(m.freeQueue), Cold: m.cold()}
		m.reportAt = now
	}
	report := m.report
	report.AgeMillis = now.Sub(m.reportAt).Milliseconds()
	return &report
}
