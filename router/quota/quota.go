// Package quota keeps the teams' limits. A team's limit holds over all
// instances together; each instance admits its share of it, which follows the
// demand that the instances tell one another of.
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
	// Reports ends a period and returns what the instance has to tell the
	// homes of the teams that it met in it, by the home's identifier. The
	// report for this instance itself is among them.
	Reports(now time.Time) map[string]Report
	// Collect takes in the report of another instance, at the teams' home,
	// and returns the answer to it.
	Collect(r Report, now time.Time) Totals
	// Learn takes in the answer of a home.
	Learn(t Totals, now time.Time)
}

// Report is what an instance tells the home of some teams.
type Report struct {
	From  string   `json:"from"`
	Teams []Demand `json:"teams"`
}

// Demand is the rate at which a team asks, admitted or not.
type Demand struct {
	Team      string  `json:"team"`
	PerSecond float64 `json:"perSecond"`
}

// Totals is the answer to a report: the demand over all instances.
type Totals struct {
	Teams []Demand `json:"teams"`
}

// Defaults of the options.
const (
	// defaultBurst is the time over which an unused share may be saved up.
	defaultBurst = time.Second
	// defaultEven is the part of a limit that is divided evenly when the
	// demand exceeds it, so that demand may begin anywhere.
	defaultEven = 0.02
	// demandGain is the weight of the last period in the demand.
	demandGain = 0.5
	// life is how long a report or an answer counts.
	life = 5 * time.Second
	// least is the demand below which a team is no longer reported.
	least = 0.01

	shardCount = 64
)

// Option changes a default of New.
type Option func(*quotas)

// WithBurst sets the time over which an unused share may be saved up.
func WithBurst(d time.Duration) Option { return func(q *quotas) { q.burst = d } }

// New returns Quotas for a lone instance; Update tells it of others.
func New(options ...Option) Quotas {
	q := &quotas{burst: defaultBurst, even: defaultEven}
	q.view.Store(&view{members: []uint64{0}, ids: []string{""}})
	for _, o := range options {
		o(q)
	}
	return q
}

type quotas struct {
	burst time.Duration
	even  float64
	view  atomic.Pointer[view]

	shards [shardCount]shard
	homes  homes
}

// view is the set of instances. It is immutable.
type view struct {
	ids     []string
	members []uint64
	self    string
}

// shard holds a part of the teams, so that no lock is shared by all requests.
type shard struct {
	mu    sync.RWMutex
	teams map[string]*team
}

func (q *quotas) Update(instances []string, self string) {
	v := &view{ids: instances, self: self}
	if len(instances) == 0 {
		v.ids = []string{self}
	}
	for _, id := range v.ids {
		v.members = append(v.members, xxhash.Sum64String(id))
	}
	q.view.Store(v)
}

func (q *quotas) Allow(t bundle.Team, now time.Time) (ok bool, retryAfter time.Duration) {
	if t.RatePerSecond <= 0 {
		return true, 0
	}
	own := q.team(t.ID)
	own.asked.Add(1)
	share := own.share(t.RatePerSecond, len(q.view.Load().ids), q.even, now)
	return own.take(now.UnixNano(), share, q.burst)
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

// find returns the team if it was met, or nil.
func (q *quotas) find(id string) *team {
	s := &q.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams[id]
}
