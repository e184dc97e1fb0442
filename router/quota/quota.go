// Package quota keeps the teams' limits. A team's limit holds over all
// instances together; each instance admits its share of it.
package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"github.com/cespare/xxhash/v2"
)

// Quotas admits the requests of teams.
type Quotas interface {
	// Allow reports whether the team may send one request now, and if not,
	// when a repeat makes sense. Teams without a limit always may.
	Allow(team bundle.Team, now time.Time) (ok bool, retryAfter time.Duration)
	// Update sets the instances among which limits are divided.
	Update(instances []string, self string)
}

const (
	// defaultBurst is the time over which an unused share may be saved up.
	defaultBurst = time.Second
	shardCount   = 64
)

// Option changes a default of New.
type Option func(*quotas)

// WithBurst sets the time over which an unused share may be saved up.
func WithBurst(d time.Duration) Option { return func(q *quotas) { q.burst = d } }

// New returns Quotas for a lone instance; Update tells it of others.
func New(options ...Option) Quotas {
	q := &quotas{burst: defaultBurst}
	q.instances.Store(1)
	for _, o := range options {
		o(q)
	}
	return q
}

type quotas struct {
	burst     time.Duration
	instances atomic.Int64
	shards    [shardCount]shard
}

// shard holds a part of the teams, so that no lock is shared by all requests.
type shard struct {
	mu    sync.RWMutex
	teams map[string]*team
}

type team struct {
	// next is the theoretical arrival time of the generic cell rate
	// algorithm, in Unix nanoseconds.
	next atomic.Int64
}

func (q *quotas) Update(instances []string, _ string) {
	q.instances.Store(int64(max(1, len(instances))))
}

func (q *quotas) Allow(t bundle.Team, now time.Time) (ok bool, retryAfter time.Duration) {
	if t.RatePerSecond <= 0 {
		return true, 0
	}
	share := t.RatePerSecond / float64(q.instances.Load())
	return q.team(t.ID).take(now.UnixNano(), share, q.burst)
}

// take admits one request at rate, saving up to burst.
func (t *team) take(now int64, rate float64, burst time.Duration) (bool, time.Duration) {
	gap := int64(float64(time.Second) / rate)
	tolerance := max(int64(burst), gap)
	for {
		old := t.next.Load()
		next := max(old, now) + gap
		if over := next - now - tolerance; over > 0 {
			return false, time.Duration(over)
		}
		if t.next.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

func (q *quotas) team(id string) *team {
	s := &q.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.RLock()
	t := s.teams[id]
	s.mu.RUnlock()
	if t != nil {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.teams[id]; t != nil {
		return t
	}
	if s.teams == nil {
		s.teams = make(map[string]*team)
	}
	t = &team{}
	s.teams[id] = t
	return t
}
