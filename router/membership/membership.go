// Package membership keeps an instance registered among its peers under a
// lease, and tells what the registrations mean for limits that all share.
package membership

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
)

// Registry keeps registrations. A lease that has ended is renewed with an error
// of the kind NotFound.
type Registry interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) error
	Register(ctx context.Context, i inventory.Instance, lease int64) error
	End(ctx context.Context, lease int64) error
}

// Member keeps the registration of this instance.
type Member interface {
	// Run registers and renews until ctx ends.
	Run(ctx context.Context) error
	// Leave ends the registration, or lets it lapse if the store doesn't answer
	// soon.
	Leave(ctx context.Context) error
	// Count returns how many instances may be at work, at least 1, and false
	// while that isn't known well enough for limits that must not be exceeded.
	Count() (int, bool)
}

const (
	// leaseTTL outlasts two renewals that get no answer, and ends soon enough
	// that the share of a lost instance is free within seconds.
	leaseTTL = 4 * time.Second
	// renewEvery leaves room for two failed renewals within a lease.
	renewEvery = 1300 * time.Millisecond
	// waitEvery is how often it is looked whether this instance can work yet.
	waitEvery = 50 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 800 * time.Millisecond
	// maxAge is how old the view of the instances may be for shared limits: a
	// read that waits in vain for changes, and the next one.
	maxAge = 2500 * time.Millisecond
	// settleAfter is how long after the first sight of its own registration an
	// instance takes for granted that all whose view counts have seen it too.
	settleAfter = maxAge + 500*time.Millisecond
)

// New returns the member of this instance.
func New(clk clock.Clock, registry Registry, self inventory.Instance, current *inventory.Current, log hclog.Logger) Member {
	m := &member{clk: clk, registry: registry, self: self, current: current, log: log}
	current.Subscribe(m.look)
	return m
}

type member struct {
	clk      clock.Clock
	registry Registry
	self     inventory.Instance
	current  *inventory.Current
	log      hclog.Logger

	mu sync.Mutex
	// lease is 0 while there is none.
	lease int64
	// left is set for good when the instance leaves.
	left bool
	// seenAt is since when this instance sees its own registration; zero while
	// it doesn't.
	seenAt time.Time
}

func (m *member) look(s *inventory.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := s.Instances[m.self.Name]
	switch {
	case !ok:
		m.seenAt = time.Time{}
	case m.seenAt.IsZero():
		m.seenAt = m.clk.Now()
	}
}

func (m *member) Count() (int, bool) {
	m.mu.Lock()
	seen := m.seenAt
	m.mu.Unlock()
	n := max(1, len(m.current.Load().Instances))
	settled := !seen.IsZero() && m.clk.Now().Sub(seen) >= settleAfter && m.current.Age() <= maxAge
	return n, settled
}

func (m *member) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.current.Load().Table == nil {
			// Others would send work to an instance that can't do it.
			_ = m.clk.Sleep(ctx, waitEvery)
			continue
		}
		if err := m.keep(ctx); err != nil && ctx.Err() == nil {
			m.log.Warn("registration not renewed", "error", err)
		}
		_ = m.clk.Sleep(ctx, renewEvery)
	}
	return nil
}

// keep renews the lease, or registers under a new one.
func (m *member) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	lease, left := m.lease, m.left
	m.mu.Unlock()
	if left {
		return nil
	}
	if lease != 0 {
		err := m.registry.Renew(ctx, lease)
		if !fault.Is(err, fault.NotFound) {
			return err
		}
		m.log.Warn("lease ended, registering again", "lease", lease)
		m.set(0)
	}
	lease, err := m.registry.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := m.registry.Register(ctx, m.self, lease); err != nil {
		return err
	}
	if !m.set(lease) {
		// The instance left meanwhile.
		return m.registry.End(ctx, lease)
	}
	m.log.Info("registered", "lease", lease)
	return nil
}

// set takes a lease over unless the instance has left.
func (m *member) set(lease int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return false
	}
	m.lease = lease
	return true
}

func (m *member) Leave(ctx context.Context) error {
	m.mu.Lock()
	lease := m.lease
	m.lease, m.left = 0, true
	m.mu.Unlock()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.registry.End(ctx, lease)
}
