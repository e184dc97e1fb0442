package inventory

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"github.com/hashicorp/go-hclog"
)

// Follower keeps a Current up to date from a source.
type Follower interface {
	// Run follows the source until ctx ends.
	Run(ctx context.Context) error
	// Adopt takes over what another instance knows, if it is newer.
	Adopt(from string, s *Snapshot, standing Standing)
	// AdoptChanges does the same with the changes that another instance took
	// over up to a revision.
	AdoptChanges(from string, changes []Change, revision int64, standing Standing)
	// Standing says how far this instance's view can be relied on.
	Standing() Standing
	// Tell returns what this instance took over after a mark, as a snapshot or,
	// if all is known, as changes.
	Tell(after mark) told
	// Rest leaves the source alone for a while, since another instance tells what
	// it reads there, but no longer than until the view is too old. It reports
	// whether that leaves time for another question.
	Rest(d time.Duration) bool
	// Refresh asks the source at once whether there are changes.
	Refresh(ctx context.Context) error
	// Failing returns for how long the source hasn't answered; zero if its last
	// answer was in order.
	Failing() time.Duration
}

// FollowerOption changes a default of NewFollower.
type FollowerOption func(*follower)

const (
	// defaultPause is how long changes are gathered before the next call: a
	// fraction of the bounds on applying a configuration and on draining.
	defaultPause = 500 * time.Millisecond
	// defaultWait is how long a call waits for changes: a fraction of the bound
	// on keys that were taken away, since only an answer shows that nothing has
	// changed.
	defaultWait = 1200 * time.Millisecond
	// sharedWait is the same while other instances rely on this one's answers,
	// which they get a little later.
	sharedWait = 700 * time.Millisecond
	// shortestWait bounds how often a call that other instances rely on is made.
	shortestWait = 200 * time.Millisecond
	// sharedFor is how long after a question other instances are taken to rely on
	// this one.
	sharedFor = 2 * time.Second
	// staleAge is when the store is asked for an answer at once: less than the age
	// up to which a view counts for limits that all share, by one call.
	staleAge = 2 * time.Second
	// defaultMaxAge is when the store is asked by an instance that another one
	// tells: less than the usual bound on draining, by the way of a call to its
	// runner.
	defaultMaxAge = 1300 * time.Millisecond
	// answerSlack is how long a call may take beyond its wait.
	answerSlack = 700 * time.Millisecond
	// listTimeout bounds the reading of all items.
	listTimeout = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call, which
	// doubles each time.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// WithPause sets how long changes are gathered before the next call.
func WithPause(d time.Duration) FollowerOption { return func(f *follower) { f.pause = d } }

// WithMaxAge sets how old the view may become by what another instance tells.
func WithMaxAge(d time.Duration) FollowerOption {
	return func(f *follower) { f.maxAge = max(d, 2*followEvery) }
}

// NewFollower returns a follower. The clock has to count the time for which the
// machine was suspended.
func NewFollower(clk clock.Clock, source Source, current *Current, log hclog.Logger, opts ...FollowerOption) Follower {
	f := &follower{clk: clk, source: source, current: current, log: log, pause: defaultPause, maxAge: defaultMaxAge, doubted: make(chan struct{}, 1)}
	f.lapses.outage = defaultOutage
	// Marks of an earlier process are of another epoch.
	f.history.epoch = clk.Now().UnixNano()
	for _, opt := range opts {
		opt(f)
	}
	return f
}

type follower struct {
	clk     clock.Clock
	source  Source
	current *Current
	log     hclog.Logger
	pause   time.Duration
	// maxAge is how old the view may become by what another instance tells.
	maxAge time.Duration
	// doubted receives when removals may be lapses from now on; it has room for
	// one.
	doubted chan struct{}

	mu sync.Mutex
	// failingSince is zero while the source answers.
	failingSince time.Time
	// lapses tells whether removals of runners may be lapses.
	lapses lapses
	// relist is set when the history after the snapshot is lost.
	relist bool
	// history has what was taken over last.
	history history
	// rest is until when the source is left alone.
	rest time.Time
	// asked is when another instance asked for changes.
	asked time.Time
}

func (f *follower) Rest(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.maxAge - f.current.Age()
	f.rest = f.clk.Now().Add(min(d, left))
	return left >= followEvery
}

// resting returns for how long the source is left alone.
func (f *follower) resting() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rest.Sub(f.clk.Now())
}

// wait returns how long a call may wait for changes.
func (f *follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait, age := defaultWait, staleAge
	if f.clk.Now().Sub(f.asked) < sharedFor {
		// Young enough that the view of those that ask doesn't get too old before
		// their next question, also while changes are gathered.
		age = f.maxAge - followEvery
		wait = max(shortestWait, min(sharedWait, age-f.pause))
	}
	return max(0, min(wait, age-f.current.Age()))
}

// told is what one instance tells another.
type told struct {
	snapshot *Snapshot
	standing Standing
	mark     mark
	// changes are those after the mark that was asked for; they stand for the
	// whole if complete is set.
	changes  []Change
	complete bool
}

func (f *follower) Tell(after mark) told {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = f.clk.Now()
	t := told{snapshot: f.current.Load(), standing: f.standing(), mark: f.history.mark()}
	t.changes, t.complete = f.history.since(after)
	return t
}

func (f *follower) Failing() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clk.Now()
	if f.failingSince.IsZero() || now.Before(f.rest) {
		return 0
	}
	return now.Sub(f.failingSince)
}

func (f *follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.relist = true
	f.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.settle(ctx) })
	retry := firstRetry
	for ctx.Err() == nil {
		if d := f.resting(); d > 0 {
			_ = f.clk.Sleep(ctx, d)
			continue
		}
		changed, err := f.step(ctx)
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = retry
			retry = min(2*retry, lastRetry)
		case changed:
			pause, retry = f.pause, firstRetry
		default:
			retry = firstRetry
		}
		_ = f.clk.Sleep(ctx, pause)
	}
	return nil
}

// step makes one call and takes its answer over. It reports whether there were
// changes.
func (f *follower) step(ctx context.Context) (bool, error) {
	f.mu.Lock()
	relist, after := f.relist, f.current.Load().Revision
	f.mu.Unlock()
	start := f.clk.Now()
	var changes []Change
	var revision int64
	var err error
	if relist {
		listing, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		changes, revision, err = f.source.List(listing)
	} else {
		wait := f.wait()
		watching, cancel := context.WithTimeout(ctx, wait+answerSlack)
		defer cancel()
		changes, revision, err = f.source.Changes(watching, after, wait)
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if err != nil {
		f.failed(start, err)
		return false, err
	}
	f.take(start, changes, revision, relist)
	return len(changes) > 0 || relist, nil
}

func (f *follower) Refresh(ctx context.Context) error {
	start := f.clk.Now()
	changes, revision, err := f.source.Changes(ctx, f.current.Load().Revision, 0)
	if err != nil {
		return err
	}
	f.take(start, changes, revision, false)
	return nil
}

// failed notes a call without an answer.
func (f *follower) failed(start time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.Is(err, fault.HistoryGone) {
		f.relist = true
		f.log.Info("history lost, reading everything again", "revision", f.current.Load().Revision, "error", err)
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince = start
		f.log.Warn("store lost", "revision", f.current.Load().Revision, "error", err)
	}
}

// take applies an answer.
func (f *follower) take(start time.Time, changes []Change, revision int64, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clk.Now()
	if !f.failingSince.IsZero() {
		f.log.Info("store regained", "awayMillis", now.Sub(f.failingSince).Milliseconds(), "revision", revision)
		f.failingSince = time.Time{}
	}
	f.hear(now, now)
	old := f.current.Load()
	switch {
	case all && revision < old.Revision:
		f.log.Info("list is older than what another instance told, reading again", "revision", revision, "known", old.Revision)
		return
	case all:
		changes = append(changes, missing(old, changes, revision, now)...)
		f.relist = false
	default:
		// What another instance told while the call waited may be newer.
		changes = slices.DeleteFunc(changes, func(c Change) bool { return c.Revision <= old.Revision })
	}
	f.history.add(changes)
	f.advance(old, f.lapses.mark(now, changes), revision)
	f.current.Confirm(start)
}

// advance takes changes over. The caller holds mu.
func (f *follower) advance(old *Snapshot, changes []Change, revision int64) {
	f.report(old, changes)
	f.current.Advance(old.with(changes, revision))
}

// missing returns removals of what a complete list doesn't have any more.
func missing(old *Snapshot, list []Change, revision int64, now time.Time) []Change {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		switch {
		case c.Runner != nil:
			listed["runner "+c.Runner.ID] = true
		case c.ZoneOut != "":
			listed["zone "+c.ZoneOut] = true
		case c.Instance != nil:
			listed["instance "+c.Instance.Name] = true
		}
	}
	var out []Change
	for id, r := range old.Runners {
		if !listed["runner "+id] && r.Revision <= revision {
			out = append(out, Change{Revision: revision, RunnerGone: id})
		}
	}
	for zone := range old.ZonesOut {
		if !listed["zone "+zone] {
			out = append(out, Change{Revision: revision, ZoneBack: zone, SeenAt: now})
		}
	}
	for name := range old.Instances {
		if !listed["instance "+name] {
			out = append(out, Change{Revision: revision, InstanceGone: name})
		}
	}
	return out
}

// report logs what changes the instance's beliefs.
func (f *follower) report(old *Snapshot, changes []Change) {
	for _, c := range changes {
		switch {
		case c.Table != nil && (old.Table == nil || c.Table.Version() > old.Table.Version()):
			f.log.Info("configuration in force", "version", c.Table.Version(), "revision", c.Revision)
		case c.Runner != nil:
			f.reportRunner(old, c)
		case c.Lapsed:
			f.log.Info("removal of a runner held back", "runner", c.RunnerGone, "revision", c.Revision, "known", old.Runners[c.RunnerGone] != nil)
		case c.RunnerGone != "":
			f.log.Info("runner gone", "runner", c.RunnerGone, "revision", c.Revision, "known", old.Runners[c.RunnerGone] != nil,
				"viewMillis", f.current.Age().Milliseconds())
		case c.ZoneOut != "":
			f.log.Info("zone out", "zone", c.ZoneOut, "revision", c.Revision)
		case c.ZoneBack != "":
			f.log.Info("zone back", "zone", c.ZoneBack, "revision", c.Revision)
		case c.InstanceGone != "":
			f.log.Info("instance gone", "instance", c.InstanceGone, "revision", c.Revision)
		case c.Instance != nil:
			f.log.Info("instance seen", "instance", c.Instance.Name, "zone", c.Instance.Zone, "revision", c.Revision)
		}
	}
}

func (f *follower) reportRunner(old *Snapshot, c Change) {
	was, r := old.Runners[c.Runner.ID], c.Runner
	if was != nil && was.follows(r) {
		f.log.Info("older description of a runner not taken", "runner", r.ID, "revision", c.Revision, "count", r.Count, "known", was.Count)
		return
	}
	if was == nil || was.Draining != r.Draining || was.Born != r.Born {
		f.log.Info("runner seen", "runner", r.ID, "service", r.Service, "zone", r.Zone, "draining", r.Draining,
			"coldMillis", r.Cold.Milliseconds(), "revision", c.Revision, "viewRevision", old.Revision, "viewMillis", f.current.Age().Milliseconds())
	}
}

func (f *follower) Adopt(from string, s *Snapshot, standing Standing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clk.Now()
	f.vouch(from, standing, now)
	old := f.current.Load()
	if s.Revision > old.Revision {
		next := s.with(s.settled(), s.Revision)
		if f.lapses.doubts(now) {
			next = s.carry(old)
		}
		if f.current.Advance(next) {
			f.history.restart()
			f.log.Info("taken over from another instance", "instance", from, "revision", s.Revision, "was", old.Revision,
				"ageMillis", now.Sub(standing.Confirmed).Milliseconds(), "lapsed", len(next.Lapsed))
		}
	}
	if s.Revision >= old.Revision {
		f.current.Confirm(standing.Confirmed)
	}
}

func (f *follower) AdoptChanges(from string, changes []Change, revision int64, standing Standing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clk.Now()
	f.vouch(from, standing, now)
	old := f.current.Load()
	changes = slices.DeleteFunc(changes, func(c Change) bool {
		// An older removal does no harm, since it is compared with the runner's
		// own revision.
		return c.Revision <= old.Revision && c.RunnerGone == ""
	})
	if len(changes) > 0 || revision > old.Revision {
		f.log.Debug("changes taken over from another instance", "instance", from, "changes", len(changes), "revision", revision, "was", old.Revision)
		f.history.add(changes)
		f.advance(old, f.lapses.mark(now, changes), revision)
	}
	if revision >= old.Revision {
		f.current.Confirm(standing.Confirmed)
	}
}

func (f *follower) Standing() Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.standing()
}

// standing is Standing for callers that hold mu.
func (f *follower) standing() Standing {
	return Standing{Confirmed: f.clk.Now().Add(-f.current.Age()), Steady: f.lapses.steady}
}
