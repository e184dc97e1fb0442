package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/shard"
	"github.com/hashicorp/go-hclog"
)

// Set holds the targets of all services and chooses among them.
type Set interface {
	// Update replaces the targets by those of a newer snapshot. Targets keep their
	// state while the runner is the same incarnation at the same address.
	Update(s *inventory.Snapshot)
	// Observe records what a runner said in an answer. It applies to the incarnation
	// that the call was sent to.
	Observe(r *inventory.Runner, n Notice)
	// Usable returns the targets of a service that accept new calls: those that
	// aren't draining or leaving and whose zone isn't taken out. Paused ones are among
	// them.
	Usable(service string) []*Target
	// UsableIn returns those of a shard.
	UsableIn(s shard.Shard) []*Target
	// Find returns the target of a runner, or nil.
	Find(id string) *Target
	// TakePermit reports whether a target may be sent one more call now. Calls to cold
	// targets are rate limited, and each needs a permit, which TakePermit takes. The
	// target version of a rollout gets the share of the permits that is decided for it.
	TakePermit(t *Target) bool
	// LeastLoaded returns the target of a service with the least expected time for one
	// more call, or nil. Targets in avoid are excluded, and a call to another zone
	// costs more.
	LeastLoaded(service, zone string, avoid []*Target) *Target
	// Choose returns the target of a shard with the least cost, or nil. Targets in
	// avoid, paused ones and those whose cost is ExcludedCost are left out, and targets in
	// backoff come last. If permit is set, targets without a permit are passed over, and
	// the permit of a cold one is taken. During a rollout the share of the choices with permit that is decided
	// for the target version is among its runners, those of other shards included; all
	// others are among the other versions.
	Choose(s shard.Shard, avoid []*Target, permit bool, cost func(*Target) time.Duration) *Target
	// Preview returns the target that Choose with permit would choose now, or nil, and
	// all that it would consider, the preferred first. It takes no permit and no credit.
	Preview(s shard.Shard, cost func(*Target) time.Duration) (*Target, []Considered)
	// PreviewLeastLoaded is like Preview for LeastLoaded.
	PreviewLeastLoaded(service, zone string) (*Target, []Considered)
	// HasAlternative reports whether a service has a usable target that is neither in
	// avoid nor paused nor in backoff.
	HasAlternative(service string, avoid []*Target) bool
	// ForgetFailures ends the backoffs that started at since or later, and the targets
	// whose connections failed only since then no longer count as cold for that.
	ForgetFailures(since time.Time)
	// AcceptsCalls reports whether the target still accepts new calls of this
	// instance.
	AcceptsCalls(t *Target) bool
	// Admit is AcceptsCalls directly before a call is sent: it counts the call against
	// the limit that the runner named, and against the room of a brittle one. The call has
	// begun with Target.Begin.
	Admit(t *Target) bool
	// Limited reports whether a runner named a limit that is still in force.
	Limited(r *inventory.Runner) bool
	// Brittle reports whether the runner said that it is brittle, or another one of its
	// service, and hasn't answered otherwise.
	Brittle(r *inventory.Runner) bool
	// Excluded returns the targets of a service that accept no calls of this instance
	// by their own answers, though their descriptions don't say so.
	Excluded(service string) []*Target
	// PausedFor returns for how long all usable targets of a service are paused; zero
	// if one isn't, or if there are none.
	PausedFor(service string) time.Duration
	// ApplyRollout applies a decision on a service, unless one with the same or a higher
	// step is applied already. Snapshots apply their decisions, too.
	ApplyRollout(st rollout.State)
	// Candidate reports whether a target has the version that a rollout moves calls to
	// by and by, and whether one more call may go to it now. credit is true for all
	// other targets.
	Candidate(t *Target) (candidate, credit bool)
	// SetRolloutContact sets whether this instance is in contact with the decider of a
	// service or with the store. Without contact the target version gets no calls while
	// its share is below 1, and the other versions get none once it is 1.
	SetRolloutContact(service string, inContact bool)
	// RolloutUsage returns what this instance has at the runners of a service, of the
	// target version and of the others.
	RolloutUsage(service, target string) RolloutUsage
}

// RolloutUsage is what one instance has at the runners of a service.
type RolloutUsage struct {
	// Runners counts the usable runners.
	Runners rollout.Counts
	// InFlight counts the calls, the batches of stages, and the results of stages that
	// are still needed.
	InFlight rollout.Counts
	// Sent counts the calls and batches since the order of the rollout.
	Sent rollout.Counts
	// BaselineAtMostOnce is the number of calls in flight at the other versions that
	// must not run more than once.
	BaselineAtMostOnce int64
	// BaselineVersions are the versions other than the target that have runners,
	// sorted.
	BaselineVersions []string
}

// ColdRate returns how many calls per second this instance may send to a cold
// runner, which accepts perSecond calls from all instances together.
type ColdRate func(runner string, perSecond float64) float64

func (s *set) TakePermit(t *Target) bool {
	v := s.view.Load()
	if p := v.rollouts[t.Runner().Service]; p != nil {
		return s.takeRolloutPermit(v, p, t)
	}
	return s.takeColdPermit(v, t)
}

// takeColdPermit takes the permit of a target if it is cold, regardless of rollouts.
func (s *set) takeColdPermit(v *view, t *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.takePermit(v, t, s.clk.Now())
}

// Option changes a default of a set.
type Option func(*set)

// WithBackoff sets whether runners that fail are put in backoff. The default is
// true.
func WithBackoff(on bool) Option { return func(s *set) { s.backOff = on } }

// WithLoad sets whether the loads that runners report are used. The default is true.
func WithLoad(on bool) Option { return func(s *set) { s.useLoad = on } }

// WithRollouts sets whether rollouts are carried out. The default is false: orders and
// decisions have no effect.
func WithRollouts(on bool) Option { return func(s *set) { s.rollouts = on } }

// WithRandom sets the source of the credit that rollouts begin with. The default has a
// random seed.
func WithRandom(r random.Source) Option { return func(s *set) { s.random = r } }

// WithInstances sets the number of instances that share the limits of runners. By default
// it is one.
func WithInstances(count InstanceCount) Option { return func(s *set) { s.instances = count } }

// WithInstance sets the name of this instance among those of the snapshots. By default it is
// none of them.
func WithInstance(name string) Option { return func(s *set) { s.instance = name } }

// WithOutdated sets a function that reports whether the snapshot must not be used. Runners
// accept no calls of this instance then. By default it may always be used.
func WithOutdated(outdated func() bool) Option { return func(s *set) { s.outdated = outdated } }

// WithLog sets the log. The default logs nothing.
func WithLog(log hclog.Logger) Option { return func(s *set) { s.log = log } }

// NewSet returns an empty set. lag is the longest time until a changed runner has
// published a new description of itself.
func NewSet(clk clock.Clock, rate ColdRate, lag time.Duration, opts ...Option) Set {
	s := &set{
		clk: clk, rate: rate, describeLag: lag, backOff: true, useLoad: true, log: hclog.NewNullLogger(), random: random.NewSource(),
		instances: func() (int, bool) { return 1, true }, outdated: func() bool { return false },
		leaving: make(map[incarnation]time.Time), absentPauses: make(map[incarnation]time.Time), absentLimits: make(map[incarnation]limit), brittles: make(map[string]brittleService),
		services: make(map[string]*serviceRollout), usages: make(map[usageKey]*usage),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.view.Store(&view{snapshot: &inventory.Snapshot{}})
	return s
}

type set struct {
	clk         clock.Clock
	rate        ColdRate
	describeLag time.Duration
	// backOff is whether runners that fail are put in backoff.
	backOff bool
	// useLoad is whether the loads that runners report are used.
	useLoad bool
	// rollouts is whether rollouts are carried out.
	rollouts bool
	log      hclog.Logger
	// mu serializes updates; readers only load view.
	mu   sync.Mutex
	view atomic.Pointer[view]
	// leaving has the incarnations that said that they are about to stop, and when
	// they first did.
	leaving map[incarnation]time.Time
	// absentPauses has the ends of the pauses of runners whose descriptions were
	// removed during the pause.
	absentPauses map[incarnation]time.Time
	// absentLimits has the limits of runners whose descriptions were removed.
	absentLimits map[incarnation]limit
	// brittles has the services whose runners are brittle.
	brittles map[string]brittleService
	// instance is the name of this instance in snapshots.
	instance string
	// instances returns how many instances share the limits of runners.
	instances InstanceCount
	// outdated reports whether the snapshot must not be used.
	outdated func() bool
	// random chooses the credit that rollouts begin with, and the first calls under limits.
	random random.Source
	// services has the rollouts by service, and usages the use of each version. Both
	// are empty unless rollouts are carried out.
	services map[string]*serviceRollout
	usages   map[usageKey]*usage
}

// view is an immutable index of the targets of a snapshot. Update replaces it.
type view struct {
	snapshot *inventory.Snapshot
	all      map[string]*Target
	// usable has the targets that accept new calls, by the whole service and by zone.
	usable map[shard.Shard][]*Target
	// leaving has the targets by service that would be usable if they hadn't said that
	// they are about to stop.
	leaving map[string][]*Target
	// rollouts has the services whose calls a rollout restricts. It isn't changed after
	// the view is in use.
	rollouts map[string]*plan
}

func (s *set) Update(next *inventory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	s.noteRollouts(old, next)
	all := make(map[string]*Target, len(next.Runners))
	for id, r := range next.Runners {
		t := old.all[id]
		if t == nil || t.runner.Born != r.Born || t.runner.Address != r.Address || (s.rollouts && t.runner.Version != r.Version) {
			t = &Target{runner: r, pausedUntil: s.absentPauses[incarnationOf(r)], limit: s.limitOf(t, r), usage: s.usageOf(r.Service, r.Version)}
		}
		t.mu.Lock()
		t.runner = r
		t.mu.Unlock()
		all[id] = t
	}
	s.keepPauses(old, all)
	s.keepLimits(old, all)
	s.updateBrittle(old, next, all)
	s.forgetLeaving(next)
	s.forgetUsages(next)
	s.view.Store(s.newView(next, all))
}

// newView indexes the targets of a snapshot. The caller holds mu.
func (s *set) newView(snapshot *inventory.Snapshot, all map[string]*Target) *view {
	v := &view{snapshot: snapshot, all: all, usable: make(map[shard.Shard][]*Target), leaving: make(map[string][]*Target), rollouts: s.plans()}
	for id, r := range snapshot.Runners {
		t := all[id]
		if r.Draining || snapshot.ZonesOut[r.Zone] {
			continue
		}
		if p := v.rollouts[r.Service]; p != nil && !p.allows(r.Version) {
			continue
		}
		if _, leaving := s.leaving[incarnationOf(r)]; leaving {
			v.leaving[r.Service] = append(v.leaving[r.Service], t)
			continue
		}
		for _, sh := range []shard.Shard{shard.Whole(r.Service), {Service: r.Service, Zone: r.Zone}} {
			v.usable[sh] = append(v.usable[sh], t)
		}
	}
	for service, p := range v.rollouts {
		p.restrict(v, service)
	}
	return v
}

func (s *set) Usable(service string) []*Target { return s.UsableIn(shard.Whole(service)) }

func (s *set) UsableIn(sh shard.Shard) []*Target { return s.view.Load().usable[sh] }

func (s *set) ForgetFailures(since time.Time) {
	for _, t := range s.view.Load().all {
		t.forgetFailures(since)
	}
}

func (s *set) AcceptsCalls(t *Target) bool { return t.PausedFor(s.clk.Now()) == 0 && s.accepts(t) }

// accepts reports whether the target accepts calls by its description.
func (s *set) accepts(t *Target) bool {
	return slices.Contains(s.Usable(t.Runner().Service), t) && !s.outdated()
}

func (s *set) Find(id string) *Target { return s.view.Load().all[id] }

// takePermit reports whether a target may be sent one more call, and takes the
// permit if it is cold. Warm targets need none. The caller holds the target's mu.
func (s *set) takePermit(v *view, t *Target, now time.Time) bool {
	if !t.coldAt(now, v.snapshot.ReturnedZones[t.runner.Zone], s.describeLag) {
		return true
	}
	if v.snapshot.Table == nil {
		return false // the rate is unknown
	}
	svc := v.snapshot.Table.Service(t.runner.Service)
	if svc == nil || svc.ColdPerSecond <= 0 {
		return true
	}
	return t.coldPacer.take(now, s.rate(t.runner.ID, svc.ColdPerSecond))
}
