package inventory

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/progress"
	"github.com/hashicorp/go-hclog"
)

// Follower keeps a Current up to date from a Source and from what other
// instances have read. Every instance has one, whether it reads the store itself
// or follows a lead.
type Follower interface {
	// Run polls the source until ctx ends.
	Run(ctx context.Context) error
	// AdoptSnapshot takes over the snapshot of another instance if it is newer.
	// In a grace period for removals, runners that only the old snapshot has are
	// kept, with their removals held back. The confirmation time is updated unless
	// the other snapshot is older.
	AdoptSnapshot(from string, s *Snapshot, freshness Freshness)
	// AdoptChanges applies the changes that another instance received up to a
	// revision, if it is of the same era as the view. In a grace period, removals of runners are held back. The
	// confirmation time is updated unless the revision is older than the snapshot.
	AdoptChanges(from string, changes []Change, revision era.Revision, freshness Freshness)
	// View returns this instance's view, and how current and how reliable it is.
	View() (*Snapshot, Freshness)
	// UpdateSince returns the changes that this instance received after a mark if
	// its history still has them all, and the snapshot in any case.
	UpdateSince(after mark) update
	// SuspendReads stops reads of the source for d, since another instance
	// supplies its changes, but at most until the view reaches the age set with
	// WithMaxAge. It reports whether that leaves time for another request to an
	// instance; the reads are suspended even if it doesn't.
	SuspendReads(d time.Duration) bool
	// Refresh reads changes from the source without waiting for new ones.
	Refresh(ctx context.Context) error
	// FailingFor returns for how long the source has not answered; zero if the last
	// call succeeded or reads are suspended.
	FailingFor() time.Duration
}

// FollowerOption changes a default of NewFollower.
type FollowerOption func(*follower)

const (
	// defaultBatchDelay is the delay before the next call after an answer with
	// changes, so that changes arrive in batches. It is a fraction of the bounds
	// on applying a configuration and on draining.
	defaultBatchDelay = 500 * time.Millisecond
	// defaultPollWait is how long a call waits for changes. It is a fraction of
	// the bound on revoking the keys of callers, since only an answer shows that
	// nothing has changed.
	defaultPollWait = 1200 * time.Millisecond
	// sharedPollWait replaces defaultPollWait while other instances rely on this
	// one's reads, which reach them with an additional delay.
	sharedPollWait = 700 * time.Millisecond
	// minPollWait is the shortest wait of a call that other instances rely on.
	// It bounds the rate of such calls.
	minPollWait = 200 * time.Millisecond
	// sharedWindow is how long after a request of another instance this one
	// counts as relied on.
	sharedWindow = 2 * time.Second
	// staleAge is the age of the view from which calls no longer wait for
	// changes. It is below the maximum age of a view for limits that all
	// instances share (2.5 s, in package membership), by the duration of one
	// call.
	staleAge = 2 * time.Second
	// defaultMaxAge is the age of the view at which an instance that gets
	// changes from another one reads the source itself. It is below the usual
	// bound on draining, by the time that a call takes to
	// reach its runner.
	defaultMaxAge = 1300 * time.Millisecond
	// pollTimeoutMargin is how long a call may take beyond its wait until the first part
	// of its answer arrives, and until each further one.
	pollTimeoutMargin = 700 * time.Millisecond
	// listTimeout is the same for a call that lists all items.
	listTimeout = 2 * time.Second
	// transferLimit is how long an answer may arrive. Its size depends on the operators,
	// and what arrived of an answer that is dropped is lost.
	transferLimit = 6 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call, which
	// doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// WithBatchDelay sets the delay before the next call after an answer with
// changes.
func WithBatchDelay(d time.Duration) FollowerOption { return func(f *follower) { f.batchDelay = d } }

// WithMaxAge sets the age of the view at which an instance that gets changes
// from another one reads the source itself.
func WithMaxAge(d time.Duration) FollowerOption {
	return func(f *follower) { f.maxAge = max(d, 2*leadPollInterval) }
}

// WithRollouts sets whether rollouts are carried out. The default is false. If it is
// true, all items are listed again after a snapshot of an older build was taken over,
// since it lacks the changes of rollouts.
func WithRollouts(on bool) FollowerOption { return func(f *follower) { f.rollouts = on } }

// NewFollower returns a follower. The clock must include the time for which the
// machine was suspended.
func NewFollower(clk clock.Clock, source Source, current *Current, log hclog.Logger, opts ...FollowerOption) Follower {
	f := &follower{clk: clk, source: source, current: current, log: log, batchDelay: defaultBatchDelay, maxAge: defaultMaxAge, graceStarted: make(chan struct{}, 1)}
	f.outages.threshold, f.outages.grace = defaultOutageThreshold, maxRemovalGrace
	// The epoch differs from that of an earlier process, so marks from that
	// process are rejected.
	f.history.epoch = clk.Now().UnixNano()
	for _, opt := range opts {
		opt(f)
	}
	return f
}

type follower struct {
	clk        clock.Clock
	source     Source
	current    *Current
	log        hclog.Logger
	batchDelay time.Duration
	// maxAge is the age of the view at which the source is read although reads
	// are suspended.
	maxAge time.Duration
	// rollouts is whether rollouts are carried out.
	rollouts bool
	// graceStarted receives a value when a grace period for removals starts. Its
	// buffer holds one value.
	graceStarted chan struct{}

	mu sync.Mutex
	// failingSince is the start of the first failed call since the last answer;
	// zero while the source answers.
	failingSince time.Time
	// outages decides whether a removal of a runner may be due to an outage of
	// the store.
	outages outageTracker
	// relist is set if the next call has to list all items, since the follower has
	// just started or the source no longer has the changes after the snapshot.
	relist bool
	// history holds the latest changes received, including removals that are held
	// back.
	history history
	// departures has the runners that left recently.
	departures departures
	// suspendedUntil is when reads of the source resume.
	suspendedUntil time.Time
	// lastServed is when another instance last requested changes.
	lastServed time.Time
}

func (f *follower) SuspendReads(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.maxAge - f.current.Age()
	f.suspendedUntil = f.clk.Now().Add(min(d, left))
	return left >= leadPollInterval
}

// suspendedFor returns for how long reads of the source remain suspended.
func (f *follower) suspendedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspendedUntil.Sub(f.clk.Now())
}

// pollWait returns how long the next call may wait for changes.
func (f *follower) pollWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait, age := defaultPollWait, staleAge
	if f.clk.Now().Sub(f.lastServed) < sharedWindow {
		// The views of the requesting instances must not exceed maxAge before
		// their next request, even if this instance waits for the batch delay.
		age = f.maxAge - leadPollInterval
		wait = max(minPollWait, min(sharedPollWait, age-f.batchDelay))
	}
	return max(0, min(wait, age-f.current.Age()))
}

// update is what an instance returns to another one: the changes after a mark,
// or a snapshot.
type update struct {
	snapshot  *Snapshot
	freshness Freshness
	mark      mark
	// changes are those after the requested mark. If complete is set, they are
	// all of them, and the snapshot isn't needed.
	changes  []Change
	complete bool
}

func (f *follower) UpdateSince(after mark) update {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastServed = f.clk.Now()
	u := update{snapshot: f.current.Load(), freshness: f.freshness(), mark: f.history.mark()}
	u.changes, u.complete = f.history.since(after)
	return u
}

func (f *follower) FailingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clk.Now()
	if f.failingSince.IsZero() || now.Before(f.suspendedUntil) {
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
	group.Go(func() { f.commitAfterGrace(ctx) })
	backoff := minBackoff
	for ctx.Err() == nil {
		if d := f.suspendedFor(); d > 0 {
			_ = f.clk.Sleep(ctx, d)
			continue
		}
		changed, err := f.poll(ctx)
		pause := time.Duration(0)
		switch {
		case fault.Is(err, fault.HistoryGone):
			pause, backoff = minBackoff, minBackoff // the store answers
		case err != nil:
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		case changed:
			pause, backoff = f.batchDelay, minBackoff
		default:
			backoff = minBackoff
		}
		_ = f.clk.Sleep(ctx, pause)
	}
	return nil
}

// poll makes one call and applies its answer. It reports whether there were
// changes.
func (f *follower) poll(ctx context.Context) (bool, error) {
	f.mu.Lock()
	relist, after := f.relist, f.current.Load().Revision
	f.mu.Unlock()
	defer f.current.EndArrival()
	start := f.clk.Now()
	var changes []Change
	var revision era.Revision
	var err error
	if relist {
		listing, cancel := f.limit(ctx, listTimeout, f.current.BeginArrival)
		defer cancel()
		changes, revision, err = f.source.List(listing)
	} else {
		wait := f.pollWait()
		watching, cancel := f.limit(ctx, wait+pollTimeoutMargin, f.current.BeginArrival)
		defer cancel()
		changes, revision, err = f.source.Changes(watching, after, wait)
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	if err != nil {
		f.noteFailure(start, err)
		return false, err
	}
	f.applyAnswer(start, changes, revision, relist)
	return len(changes) > 0 || relist, nil
}

// limit bounds a call by the time in which nothing of its answer arrives. begun is called
// when the answer begins to arrive; it may be nil.
func (f *follower) limit(ctx context.Context, silence time.Duration, begun func(at time.Time)) (context.Context, context.CancelFunc) {
	return progress.WithLimits(ctx, f.clk, clock.SystemTimers(), progress.Limits{Silence: silence, Total: silence + transferLimit, Begun: begun})
}

func (f *follower) Refresh(ctx context.Context) error {
	start := f.clk.Now()
	ctx, cancel := f.limit(ctx, pollTimeoutMargin, nil)
	defer cancel()
	changes, revision, err := f.source.Changes(ctx, f.current.Load().Revision, 0)
	if err != nil {
		f.noteLostHistory(err)
		return err
	}
	f.applyAnswer(start, changes, revision, false)
	return nil
}

// noteFailure records that a call failed.
func (f *follower) noteFailure(start time.Time, err error) {
	if f.noteLostHistory(err) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = start
		known := f.current.Load().Revision
		f.log.Warn("store lost", "era", known.Era, "revision", known.Number, "afterMillis", f.clk.Now().Sub(start).Milliseconds(), "error", err)
	}
}

// noteLostHistory has the next call list all items if an error says that changes don't
// continue the view, and reports whether it does.
func (f *follower) noteLostHistory(err error) bool {
	if !fault.Is(err, fault.HistoryGone) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relist = true
	known := f.current.Load().Revision
	f.log.Info("history lost, reading everything again", "era", known.Era, "revision", known.Number, "error", err)
	return true
}

// applyAnswer applies the answer to a call made at start. If all is set, the
// changes are a complete list.
func (f *follower) applyAnswer(start time.Time, changes []Change, revision era.Revision, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, old := f.clk.Now(), f.current.Load()
	if revision.Era < old.Revision.Era {
		f.log.Info("answer of an earlier era ignored", "era", revision.Era, "known", old.Revision.Era)
		return
	}
	if !f.failingSince.IsZero() {
		f.log.Info("store regained", "awayMillis", now.Sub(f.failingSince).Milliseconds(), "era", revision.Era, "revision", revision.Number)
		f.failingSince = time.Time{}
	}
	f.noteAnswer(now, now)
	if revision.Era > old.Revision.Era && old.Revision.Stored() {
		f.relist = !all // changes alone don't continue the view
		if all {
			f.logChanges(old, changes)
			f.enterEra(old, (&Snapshot{}).with(changes, revision), now)
			f.current.Confirm(start)
		}
		return
	}
	f.dropExpired(now)
	old = f.current.Load()
	switch {
	case all && revision.Before(old.Revision):
		f.log.Info("list is older than what another instance told, reading again", "era", revision.Era, "revision", revision.Number, "known", old.Revision.Number)
		return
	case all:
		changes = append(changes, impliedRemovals(old, changes, revision, now)...)
		f.relist = false
	default:
		// Changes from another instance may have advanced the snapshot during
		// the call.
		changes = slices.DeleteFunc(changes, func(c Change) bool { return !c.Revision.After(old.Revision) })
	}
	f.history.add(changes)
	f.advance(old, f.outages.markRemovals(now, changes), revision)
	f.current.Confirm(start)
}

// advance logs and applies changes. The caller holds mu.
func (f *follower) advance(old *Snapshot, changes []Change, revision era.Revision) {
	f.logChanges(old, changes)
	next := old.with(changes, revision)
	next.Late = next.Late || (revision.Era > 0 && !old.Revision.Stored())
	f.departures.note(old, next, changes, f.clk.Now())
	f.current.Advance(next)
}

// impliedRemovals returns removals of the items that a complete list no longer
// contains. Those that are carried from an earlier era stay for their period.
func impliedRemovals(old *Snapshot, list []Change, revision era.Revision, now time.Time) []Change {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		switch {
		case c.Runner != nil:
			listed["runner "+c.Runner.ID] = true
		case c.ZoneOut != "":
			listed["zone "+c.ZoneOut] = true
		}
	}
	var out []Change
	for id, r := range old.Runners {
		if !listed["runner "+id] && !r.Revision.Carried() && !r.Revision.After(revision) {
			out = append(out, Change{Revision: revision, RemovedRunner: id})
		}
	}
	for zone := range old.ZonesOut {
		if !listed["zone "+zone] && !old.CarriedZones[zone] {
			out = append(out, Change{Revision: revision, ReturnedZone: zone, SeenAt: now})
		}
	}
	out = append(out, impliedDepartures(old, list, revision)...)
	out = append(out, impliedEnds(old, list, revision)...)
	out = append(out, impliedVersionsEnds(old, list, revision)...)
	return append(out, impliedRolloutEnds(old, list, revision)...)
}

// impliedDepartures returns the ends of the registrations that a complete list no longer
// contains.
func impliedDepartures(old *Snapshot, list []Change, revision era.Revision) []Change {
	listed := make(map[string]bool)
	for _, c := range list {
		if c.Instance != nil {
			listed[c.Instance.Name] = true
		}
	}
	var out []Change
	for name, i := range old.Instances {
		if !listed[name] && !i.Revision.Carried() {
			out = append(out, Change{Revision: revision, RemovedInstance: name})
		}
	}
	return out
}

// impliedVersionsEnds returns the ends of the records of versions that a complete list no
// longer contains.
func impliedVersionsEnds(old *Snapshot, list []Change, revision era.Revision) []Change {
	listed := make(map[string]bool)
	for _, c := range list {
		if c.Versions != nil {
			listed[c.Versions.Service] = true
		}
	}
	var out []Change
	for service := range old.Versions {
		if !listed[service] {
			out = append(out, Change{Revision: revision, EndedVersions: service})
		}
	}
	return out
}

// impliedRolloutEnds returns the ends of the orders and decisions that a complete list
// no longer contains. An order that was replaced by an invalid one stays.
func impliedRolloutEnds(old *Snapshot, list []Change, revision era.Revision) []Change {
	orders, decisions := make(map[string]bool), make(map[string]bool)
	for _, c := range list {
		switch {
		case c.RolloutOrder != nil:
			orders[c.RolloutOrder.Service] = true
		case c.IgnoredRollout != "":
			orders[c.IgnoredRollout] = true
		case c.Rollout != nil:
			decisions[c.Rollout.Service] = true
		}
	}
	var out []Change
	for service, o := range old.RolloutOrders {
		if !orders[service] && !o.Revision.Carried() {
			out = append(out, Change{Revision: revision, WithdrawnRollout: service})
		}
	}
	for service, st := range old.Rollouts {
		if !decisions[service] && !st.Revision.Carried() {
			out = append(out, Change{Revision: revision, EndedRollout: service})
		}
	}
	return out
}

// impliedEnds returns the ends of the quarantines that a complete list no longer
// contains.
func impliedEnds(old *Snapshot, list []Change, revision era.Revision) []Change {
	var out []Change
	for id, q := range old.Quarantines {
		if !q.Revision.Carried() && !slices.ContainsFunc(list, func(c Change) bool { return c.Quarantine != nil && c.Quarantine.ID == id }) {
			out = append(out, Change{Revision: revision, EndedQuarantine: id})
		}
	}
	return out
}

// logChanges logs changes of the snapshot.
func (f *follower) logChanges(old *Snapshot, changes []Change) {
	for _, c := range changes {
		switch {
		case c.Table != nil && (old.Table == nil || c.Table.Version() > old.Table.Version()):
			f.log.Info("configuration in force", "version", c.Table.Version(), "routes", len(c.Table.Config().Routes), "era", c.Revision.Era, "revision", c.Revision.Number,
				"viewMillis", f.current.Age().Milliseconds())
		case c.Runner != nil:
			f.logRunner(old, c)
		case c.Held:
			f.log.Info("removal of a runner held back", "runner", c.RemovedRunner, "revision", c.Revision.Number, "known", old.Runners[c.RemovedRunner] != nil)
		case c.RemovedRunner != "":
			f.log.Info("runner gone", "runner", c.RemovedRunner, "revision", c.Revision.Number, "known", old.Runners[c.RemovedRunner] != nil,
				"viewMillis", f.current.Age().Milliseconds())
		case c.ZoneOut != "":
			f.log.Info("zone out", "zone", c.ZoneOut, "revision", c.Revision.Number)
		case c.ReturnedZone != "":
			f.log.Info("zone back", "zone", c.ReturnedZone, "revision", c.Revision.Number)
		case c.RemovedInstance != "":
			f.log.Info("instance gone", "instance", c.RemovedInstance, "revision", c.Revision.Number)
		case c.Instance != nil:
			f.log.Info("instance seen", "instance", c.Instance.Name, "zone", c.Instance.Zone, "cpuShare", c.Instance.CPUShare, "revision", c.Revision.Number)
		default:
			f.logQuarantine(c)
			f.logRollout(old, c)
		}
	}
}

// logQuarantine logs the change of a quarantine.
func (f *follower) logQuarantine(c Change) {
	switch {
	case c.Quarantine != nil:
		f.log.Warn("prompt parts in quarantine", "quarantine", c.Quarantine.ID, "service", c.Quarantine.Service, "parts", c.Quarantine.Parts, "revision", c.Revision.Number)
	case c.EndedQuarantine != "":
		f.log.Info("quarantine ended", "quarantine", c.EndedQuarantine, "revision", c.Revision.Number)
	}
}

// logRollout logs the change of an order, or of the decision on it.
func (f *follower) logRollout(old *Snapshot, c Change) {
	switch {
	case c.RolloutOrder != nil:
		o := c.RolloutOrder
		if !old.RolloutOrders[o.Service].Revision.Before(o.Revision) {
			return
		}
		f.log.Info("rollout ordered", "service", o.Service, "target", o.Target, "durationMillis", o.Duration.Milliseconds(), "revision", c.Revision.Number)
		if old.Table != nil && old.Table.Service(o.Service) == nil {
			f.log.Warn("rollout of an unknown service ordered", "field", "service", "service", o.Service, "revision", c.Revision.Number)
		}
	case c.WithdrawnRollout != "":
		f.log.Info("rollout order withdrawn", "service", c.WithdrawnRollout, "revision", c.Revision.Number)
	case c.Rollout != nil:
		if st := c.Rollout; old.Rollouts[st.Service].Step < st.Step {
			f.log.Info("rollout decision read", "service", st.Service, "target", st.Target, "step", st.Step, "phase", st.Phase, "share", st.Share,
				"barred", st.Barred, "revision", c.Revision.Number)
		}
	case c.EndedRollout != "":
		f.log.Info("rollout decision removed", "service", c.EndedRollout, "revision", c.Revision.Number)
	}
}

func (f *follower) logRunner(old *Snapshot, c Change) {
	was, r := old.Runners[c.Runner.ID], c.Runner
	if was != nil && was.supersedes(r) {
		f.log.Info("older description of a runner not taken", "runner", r.ID, "revision", c.Revision.Number, "count", r.Count, "known", was.Count)
		return
	}
	if was == nil || was.Draining != r.Draining || was.Born != r.Born {
		f.log.Info("runner seen", "runner", r.ID, "service", r.Service, "zone", r.Zone, "draining", r.Draining,
			"coldMillis", r.Cold.Milliseconds(), "revision", c.Revision.Number, "viewRevision", old.Revision.Number, "viewMillis", f.current.Age().Milliseconds())
	}
}

func (f *follower) AdoptSnapshot(from string, s *Snapshot, freshness Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, old := f.clk.Now(), f.current.Load()
	if s.Revision.Era < old.Revision.Era {
		f.adoptEarlier(from, old, s)
		return
	}
	f.useFreshness(from, freshness, now)
	f.dropExpired(now)
	old = f.current.Load()
	unknown := s.RolloutOrders == nil && s.Rollouts == nil
	s = s.completed(old)
	switch {
	case s.Revision.Era > old.Revision.Era && old.Revision.Stored():
		f.log.Info("era learned from another instance", "instance", from, "era", s.Revision.Era)
		f.enterEra(old, s.with(s.removalChanges(), s.Revision), now)
	case s.Revision.After(old.Revision):
		next := s.with(s.removalChanges(), s.Revision)
		if f.outages.inGrace(now) {
			next = s.keepRunners(old)
		}
		f.departures.note(old, next, nil, now)
		if f.current.Advance(next.merge(old, f.departures.since(now), now)) {
			f.history.restart()
			f.relist = f.relist || (unknown && f.rollouts)
			f.log.Info("taken over from another instance", "instance", from, "era", s.Revision.Era, "revision", s.Revision.Number, "was", old.Revision.Number,
				"ageMillis", now.Sub(freshness.ConfirmedAt).Milliseconds(), "lapsed", len(next.HeldRemovals))
		}
	default:
		f.advanceTo(from, old, old.merge(s, f.departures.since(now), now))
	}
	if !s.Revision.Before(old.Revision) {
		f.current.Confirm(freshness.ConfirmedAt)
	}
}

// adoptEarlier takes the configuration of an instance that hasn't read that the store came back
// from a copy, if the view has only what the copy holds. The caller holds mu.
func (f *follower) adoptEarlier(from string, old, s *Snapshot) {
	f.log.Info("snapshot of an earlier era", "instance", from, "era", s.Revision.Era, "known", old.Revision.Era)
	if old.Late {
		f.advanceTo(from, old, old.withTableOf(s))
	}
}

// advanceTo replaces the view by next, to which another instance added items, unless it is the
// same. Changes don't continue a view with another configuration. The caller holds mu.
func (f *follower) advanceTo(from string, old, next *Snapshot) {
	if next == old {
		return
	}
	if next.Table != old.Table {
		f.history.restart()
	}
	f.current.Advance(next)
	f.log.Info("carried items taken over from another instance", "instance", from, "era", next.Revision.Era, "revision", next.Revision.Number,
		"version", next.version(), "was", old.version())
}

// completed returns the snapshot with the kinds of items that the older build it is from
// doesn't know, which says nothing about them.
func (s *Snapshot) completed(old *Snapshot) *Snapshot {
	kept := *s
	if s.RolloutOrders == nil && s.Rollouts == nil {
		kept.RolloutOrders, kept.Rollouts = old.RolloutOrders, old.Rollouts
	}
	if s.Versions == nil {
		kept.Versions = old.Versions
	}
	return &kept
}

func (f *follower) AdoptChanges(from string, changes []Change, revision era.Revision, freshness Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, old := f.clk.Now(), f.current.Load()
	if revision.Era != old.Revision.Era {
		// The changes don't continue this instance's view.
		f.log.Debug("changes of another era ignored", "instance", from, "era", revision.Era, "known", old.Revision.Era)
		return
	}
	f.useFreshness(from, freshness, now)
	f.dropExpired(now)
	old = f.current.Load()
	changes = slices.DeleteFunc(changes, func(c Change) bool {
		// An older removal is safe to apply, since it is compared with the
		// revision of the runner itself.
		return !c.Revision.After(old.Revision) && c.RemovedRunner == ""
	})
	if len(changes) > 0 || revision.After(old.Revision) {
		f.log.Debug("changes taken over from another instance", "instance", from, "changes", len(changes), "revision", revision.Number, "was", old.Revision.Number)
		f.history.add(changes)
		f.advance(old, f.outages.markRemovals(now, changes), revision)
	}
	if !revision.Before(old.Revision) {
		f.current.Confirm(freshness.ConfirmedAt)
	}
}

func (f *follower) View() (*Snapshot, Freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Load(), f.freshness()
}

// freshness returns how current and how reliable the view is. The caller holds mu, so that
// the view doesn't change meanwhile.
func (f *follower) freshness() Freshness {
	return Freshness{ConfirmedAt: f.clk.Now().Add(-f.current.Age()), ConnectedSince: f.outages.connectedSince}
}
