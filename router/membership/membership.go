// Package membership keeps an instance registered under a lease, and counts the
// instances among which shared limits are divided.
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

// Registry stores registrations under leases. Renew returns an error of the kind
// NotFound if the lease has ended.
type Registry interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) error
	Register(ctx context.Context, i inventory.Instance, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// Member maintains the registration of this instance.
type Member interface {
	// Run registers the instance and renews the lease until ctx ends.
	Run(ctx context.Context) error
	// Leave ends the lease for good. If the store doesn't answer soon, it
	// returns an error and the lease expires.
	Leave(ctx context.Context) error
	// Count returns the number of registered instances, at least 1. The result
	// is false while the number is not reliable enough for limits that must not
	// be exceeded.
	Count() (int, bool)
}

const (
	// leaseTTL exceeds the time of two renewals without an answer, and is short
	// enough that the share of a failed instance is available to the others
	// within seconds.
	leaseTTL = 4 * time.Second
	// renewEvery allows for two failed renewals within a lease.
	renewEvery = 1300 * time.Millisecond
	// readyPollEvery is the delay between checks whether a configuration is
	// known, without which this instance can't work.
	readyPollEvery = 50 * time.Millisecond
	// callTimeout bounds a call to the store, or the calls of one registration.
	callTimeout = 800 * time.Millisecond
	// maxAge is the maximum age of the view of the instances for shared limits:
	// the time of a read that waits for changes without getting any, and of the
	// next read.
	maxAge = 2500 * time.Millisecond
	// settleDelay is the time after this instance first sees its own
	// registration until all other instances have either seen it too or have a
	// view older than maxAge, which they don't use for shared limits.
	settleDelay = maxAge + 500*time.Millisecond
)

// New returns the member of this instance. It follows the registrations in
// current.
func New(clk clock.Clock, registry Registry, self inventory.Instance, current *inventory.Current, log hclog.Logger) Member {
	m := &member{clk: clk, registry: registry, self: self, current: current, log: log}
	current.Subscribe(m.noteSnapshot)
	return m
}

type member struct {
	clk      clock.Clock
	registry Registry
	self     inventory.Instance
	current  *inventory.Current
	log      hclog.Logger

	mu sync.Mutex
	// lease is the current lease; 0 if there is none.
	lease int64
	// left is set permanently by Leave.
	left bool
	// seenAt is since when the snapshots contain this instance's own
	// registration; zero if they don't.
	seenAt time.Time
}

func (m *member) noteSnapshot(s *inventory.Snapshot) {
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
	settled := !seen.IsZero() && m.clk.Now().Sub(seen) >= settleDelay && m.current.Age() <= maxAge
	return n, settled
}

func (m *member) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.current.Load().Table == nil {
			// Without a configuration, this instance can't do the work that others
			// would send to it.
			_ = m.clk.Sleep(ctx, readyPollEvery)
			continue
		}
		if err := m.renewOrRegister(ctx); err != nil && ctx.Err() == nil {
			m.log.Warn("registration not renewed", "error", err)
		}
		_ = m.clk.Sleep(ctx, renewEvery)
	}
	return nil
}

// renewOrRegister renews the lease. If there is none or it has ended, it
// registers the instance under a new lease.
func (m *member) renewOrRegister(ctx context.Context) error {
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
		m.setLease(0)
	}
	lease, err := m.registry.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := m.registry.Register(ctx, m.self, lease); err != nil {
		return err
	}
	if !m.setLease(lease) {
		// Leave was called during the registration.
		return m.registry.Revoke(ctx, lease)
	}
	m.log.Info("registered", "lease", lease)
	return nil
}

// setLease sets the lease unless the instance has left.
func (m *member) setLease(lease int64) bool {
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
	return m.registry.Revoke(ctx, lease)
}
