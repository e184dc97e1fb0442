// Package quota enforces the teams' rate limits. A team's limit applies to all
// instances together. Each instance enforces its share of the limit, which
// follows the demand that the instances report to each other.
package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"github.com/cespare/xxhash/v2"
)

// Limiter enforces the rate limits of teams.
type Limiter interface {
	// Allow reports whether the team may send one request now and, if not,
	// after which time a retry makes sense. Teams without a limit may always
	// send.
	Allow(team bundle.Team, now time.Time) (ok bool, retryAfter time.Duration)
	// SetInstances sets the instances among which limits are divided, and the
	// identifier of this instance.
	SetInstances(instances []string, self string)
	// EndPeriod ends a measurement period. It returns the demand of the teams
	// seen by this instance as one report for each owner of such teams, keyed
	// by the owner's identifier. A report for this instance itself is included.
	EndPeriod(now time.Time) map[string]Report
	// RecordReport records the report of an instance at the owner of the teams
	// and returns their total demand.
	RecordReport(r Report, now time.Time) Totals
	// ApplyTotals records the total demand that an owner returned.
	ApplyTotals(t Totals, now time.Time)
}

// Report is the demand that one instance measured, for the teams of one owner.
type Report struct {
	From  string   `json:"from"`
	Teams []Demand `json:"teams"`
}

// Demand is the rate of a team's requests per second, admitted or not.
type Demand struct {
	Team      string  `json:"team"`
	PerSecond float64 `json:"perSecond"`
}

// Totals is the answer to a report: the demand of its teams over all instances.
type Totals struct {
	Teams []Demand `json:"teams"`
}

// Defaults of the options.
const (
	// defaultBurst is the time over which an unused share accumulates.
	defaultBurst = time.Second
	// defaultEvenFraction is the fraction of a limit that is divided evenly
	// when the demand exceeds the limit, so that an instance without earlier
	// demand can admit requests.
	defaultEvenFraction = 0.02
	// demandGain is the weight of the last period in the moving average of the
	// demand.
	demandGain = 0.5
	// reportTTL is how long a report or a total is used.
	reportTTL = 5 * time.Second
	// minDemand is the demand in requests per second below which an idle team
	// is no longer reported.
	minDemand = 0.01

	shardCount = 64
)

// Option changes a default of New.
type Option func(*limiter)

// WithBurst sets the time over which an unused share accumulates.
func WithBurst(d time.Duration) Option { return func(q *limiter) { q.burst = d } }

// New returns a Limiter for a single instance. SetInstances sets the others.
func New(options ...Option) Limiter {
	q := &limiter{burst: defaultBurst, evenFraction: defaultEvenFraction}
	q.view.Store(&view{hashes: []uint64{0}, ids: []string{""}})
	for _, o := range options {
		o(q)
	}
	return q
}

type limiter struct {
	burst        time.Duration
	evenFraction float64
	view         atomic.Pointer[view]

	shards     [shardCount]shard
	aggregates aggregates
}

// view is the set of instances. It is immutable. hashes holds the hashes of ids
// in the same order.
type view struct {
	ids    []string
	hashes []uint64
	self   string
}

// shard holds a part of the teams, so that requests of different teams rarely
// contend for a lock.
type shard struct {
	mu    sync.RWMutex
	teams map[string]*teamState
}

func (q *limiter) SetInstances(instances []string, self string) {
	v := &view{ids: instances, self: self}
	if len(instances) == 0 {
		v.ids = []string{self}
	}
	for _, id := range v.ids {
		v.hashes = append(v.hashes, xxhash.Sum64String(id))
	}
	q.view.Store(v)
}

func (q *limiter) Allow(t bundle.Team, now time.Time) (ok bool, retryAfter time.Duration) {
	if t.RatePerSecond <= 0 {
		return true, 0
	}
	state := q.teamFor(t.ID)
	state.requests.Add(1)
	share := state.share(t.RatePerSecond, len(q.view.Load().ids), q.evenFraction, now)
	return state.admit(now.UnixNano(), share, q.burst)
}

// teamFor returns the state of the team and creates it if needed.
func (q *limiter) teamFor(id string) *teamState {
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
		s.teams = make(map[string]*teamState)
	}
	t = &teamState{}
	s.teams[id] = t
	return t
}

// lookup returns the state of the team, or nil if there is none.
func (q *limiter) lookup(id string) *teamState {
	s := &q.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams[id]
}
