package target

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/shard"
	"github.com/cespare/xxhash/v2"
)

// serviceRollout is the rollout of a service, which the set's mu guards.
type serviceRollout struct {
	// state is the decision with the highest step so far. Its Step is zero before the
	// first one.
	state rollout.State
	// order is the order in the snapshot; its Revision is zero without one.
	order rollout.Order
	// heldTarget is the version that gets nothing until the first decision on order, or
	// empty.
	heldTarget string
	// revision is the highest revision of an order that is known, by itself or from a
	// decision, and target the version that it is for.
	revision era.Revision
	target   string
	// noContact is set while there is no contact with the decider or with the store.
	noContact bool
	// credit is that of the current order.
	credit *credit
	// sentBefore has the calls that each version had been sent when the order became
	// known.
	sentBefore map[string]int64
}

// noteRollouts takes over the orders and decisions of a snapshot. The caller holds mu.
func (s *set) noteRollouts(old *view, next *inventory.Snapshot) {
	if !s.rollouts {
		return
	}
	for service, st := range next.Rollouts {
		s.applyState(st.Rebound(next.RolloutOrders[service]))
	}
	for service, o := range next.RolloutOrders {
		r := s.rolloutOf(service)
		r.state = r.state.Rebound(o)
		if o.Revision.After(r.order.Revision) {
			r.order, r.heldTarget = o, ""
			if r.holds(old, next, o) {
				r.heldTarget = o.Target
			}
			s.noteOrder(r, service, o.Revision, o.Target)
		}
	}
	for service, r := range s.services {
		if _, ordered := next.RolloutOrders[service]; !ordered {
			r.order, r.heldTarget = rollout.Order{Revision: r.order.Revision}, ""
		}
	}
}

// holds reports whether the target of a new order gets nothing until the first
// decision on the order. It does get calls if its rollout is running already, or if it
// is the only version that does, by runners that were there before the order.
func (r *serviceRollout) holds(old *view, next *inventory.Snapshot, o rollout.Order) bool {
	if !r.state.Order().Before(o.Revision) || (r.state.Phase == rollout.Running && r.state.Target == o.Target) {
		return false
	}
	p, before := r.plan(), false
	for _, runner := range next.Usable(o.Service) {
		if p != nil && !p.allows(runner.Version) {
			continue
		}
		if runner.Version != o.Target {
			return true
		}
		known := old.all[runner.ID]
		before = before || runner.Revision.Before(o.Revision) || (known != nil && incarnationOf(known.runner) == incarnationOf(runner))
	}
	return !before
}

// rolloutOf returns the rollout of a service. The caller holds mu.
func (s *set) rolloutOf(service string) *serviceRollout {
	r := s.services[service]
	if r == nil {
		r = &serviceRollout{credit: s.newCredit()}
		s.services[service] = r
	}
	return r
}

// noteOrder begins to count anew if an order is a new one. An order that is repeated
// while its rollout runs continues it. The caller holds mu.
func (s *set) noteOrder(r *serviceRollout, service string, revision era.Revision, target string) {
	if !revision.After(r.revision) {
		return
	}
	continued := r.state.Phase == rollout.Running && r.target == target
	r.revision, r.target = revision, target
	if continued {
		return
	}
	r.credit = s.newCredit()
	r.sentBefore = make(map[string]int64)
	for key, u := range s.usages {
		if key.service == service {
			r.sentBefore[key.version] = u.sent.Load()
		}
	}
}

// applyState applies a decision, and reports whether it is newer than the one in
// force. The caller holds mu.
func (s *set) applyState(st rollout.State) bool {
	r := s.rolloutOf(st.Service)
	// Two deciders may both decide a step for a moment. A rollback among their decisions
	// is in force, so that no instance goes on with a version that another one bars.
	rolledBack := st.Step == r.state.Step && st.Phase == rollout.RolledBack && r.state.Phase != rollout.RolledBack
	if st.Step <= r.state.Step && !rolledBack {
		return false
	}
	s.noteOrder(r, st.Service, st.Order(), st.Target)
	r.state = st
	if !st.Order().Before(r.order.Revision) {
		r.heldTarget = ""
	}
	s.log.Info("rollout decision applied", "service", st.Service, "target", st.Target, "step", st.Step, "phase", st.Phase, "share", st.Share,
		"runners", st.Runners, "barred", st.Barred, "reason", st.Reason)
	return true
}

func (s *set) ApplyRollout(st rollout.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollouts && s.applyState(st) {
		s.renewView()
	}
}

func (s *set) SetRolloutContact(service string, inContact bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rollouts || s.rolloutOf(service).noContact == !inContact {
		return
	}
	s.rolloutOf(service).noContact = !inContact
	s.log.Info("contact of a rollout changed", "service", service, "inContact", inContact)
	s.renewView()
}

// renewView applies changed rollouts to the targets. The caller holds mu.
func (s *set) renewView() {
	v := s.view.Load()
	s.view.Store(s.newView(v.snapshot, v.all))
}

// plan is how the calls of one service are divided among the versions of its runners.
type plan struct {
	// barred has the versions that get no calls.
	barred map[string]bool
	// only is the only version that gets calls, or empty.
	only string
	// target is the version that gets the given share of the calls, if it is above 0
	// and below 1. runners is how many of its runners get them; zero means all.
	target  string
	share   float64
	runners int
	credit  *credit
	// baseline and candidates are the usable targets of the other versions and of
	// target, while the share is above 0 and below 1.
	baseline, candidates map[shard.Shard][]*Target
}

// plans returns the plans of the services that a rollout restricts. The caller holds
// mu.
func (s *set) plans() map[string]*plan {
	plans := make(map[string]*plan)
	for service, r := range s.services {
		if p := r.plan(); p != nil {
			plans[service] = p
		}
	}
	return plans
}

// plan returns the plan of a rollout, or nil if it restricts nothing.
func (r *serviceRollout) plan() *plan {
	st := r.state
	p := &plan{barred: make(map[string]bool), target: st.Target, runners: st.Runners, credit: r.credit}
	for _, version := range st.Barred {
		p.barred[version] = true
	}
	if r.heldTarget != "" {
		p.barred[r.heldTarget] = true
	}
	switch {
	case st.Phase == rollout.RolledBack:
		p.barred[st.Target] = true
	case st.Phase != rollout.Running:
	case st.Share >= 1:
		p.only = st.Target
	case st.Share <= 0 || r.noContact:
		p.barred[st.Target] = true
	default:
		p.share = st.Share
	}
	if len(p.barred) == 0 && p.only == "" && !p.split() {
		return nil
	}
	return p
}

// split reports whether calls go to the target version by its share.
func (p *plan) split() bool { return p.share > 0 }

// allows reports whether runners of a version get calls.
func (p *plan) allows(version string) bool {
	return !p.barred[version] && (p.only == "" || version == p.only)
}

// restrict divides the usable targets of a service by version, and removes those of
// the target version beyond the number that gets calls.
func (p *plan) restrict(v *view, service string) {
	if !p.split() {
		return
	}
	chosen := p.choose(service, v.usable[shard.Whole(service)])
	p.baseline, p.candidates = make(map[shard.Shard][]*Target), make(map[shard.Shard][]*Target)
	for sh, targets := range v.usable {
		if sh.Service != service {
			continue
		}
		var usable []*Target
		for _, t := range targets {
			switch {
			case t.runner.Version != p.target:
				p.baseline[sh] = append(p.baseline[sh], t)
			case chosen[t]:
				p.candidates[sh] = append(p.candidates[sh], t)
			default:
				continue
			}
			usable = append(usable, t)
		}
		v.usable[sh] = usable
	}
}

// choose returns the targets of the target version that get calls. All instances
// choose the same ones, by rendezvous hashing, so that each of them has the load that
// the decision intends.
func (p *plan) choose(service string, usable []*Target) map[*Target]bool {
	hash := func(t *Target) uint64 { return xxhash.Sum64String(service + "/" + p.target + "/" + t.runner.ID) }
	var all []*Target
	for _, t := range usable {
		if t.runner.Version == p.target {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a.runner.ID, b.runner.ID))
	})
	if p.runners > 0 {
		all = all[:min(p.runners, len(all))]
	}
	chosen := make(map[*Target]bool, len(all))
	for _, t := range all {
		chosen[t] = true
	}
	return chosen
}

// baselineOr returns the usable targets of the baseline, or those of the target
// version if there are none.
func (p *plan) baselineOr(v *view, sh shard.Shard) []*Target {
	if len(p.baseline[sh]) > 0 {
		return p.baseline[sh]
	}
	return v.usable[sh]
}

// primary returns the targets of a service that most calls go to.
func (s *set) primary(service string) []*Target {
	v, sh := s.view.Load(), shard.Whole(service)
	if p := v.rollouts[service]; p != nil && p.split() {
		return p.baselineOr(v, sh)
	}
	return v.usable[sh]
}

// chooseInRollout chooses a target of the version that the credit allows. The baseline
// replaces a missing candidate, but the candidate gets no call beyond the credit.
func (s *set) chooseInRollout(p *plan, sh shard.Shard, avoid []*Target, among func([]*Target) *Target) *Target {
	if p.credit.take(p.share) {
		if t := among(s.healthyCandidates(p, sh, avoid)); t != nil {
			return t
		}
		p.credit.giveBack(p.share)
	}
	t := among(p.baseline[sh])
	if t != nil {
		p.credit.add(p.share)
	}
	return t
}

// healthyCandidates returns the targets of the target version that aren't in backoff:
// those of the shard, or else all of them, as the few that get calls are in few zones.
func (s *set) healthyCandidates(p *plan, sh shard.Shard, avoid []*Target) []*Target {
	now := s.clk.Now()
	for _, of := range []shard.Shard{sh, shard.Whole(sh.Service)} {
		var healthy []*Target
		for _, t := range p.candidates[of] {
			if !slices.Contains(avoid, t) && (!s.backOff || !t.inBackoff(now)) {
				healthy = append(healthy, t)
			}
		}
		if len(healthy) > 0 {
			return healthy
		}
	}
	return nil
}

// takeRolloutPermit takes the permit of a target of a service that a rollout restricts.
func (s *set) takeRolloutPermit(v *view, p *plan, t *Target) bool {
	r := t.Runner()
	if !p.allows(r.Version) {
		return false
	}
	if !p.split() {
		return s.takeColdPermit(v, t)
	}
	if r.Version != p.target {
		if !s.takeColdPermit(v, t) {
			return false
		}
		p.credit.add(p.share)
		return true
	}
	if !slices.Contains(p.candidates[shard.Whole(r.Service)], t) || !p.credit.take(p.share) {
		return false
	}
	if s.takeColdPermit(v, t) {
		return true
	}
	p.credit.giveBack(p.share)
	return false
}

func (s *set) Candidate(t *Target) (candidate, credit bool) {
	r := t.Runner()
	p := s.view.Load().rollouts[r.Service]
	if p == nil || !p.split() || r.Version != p.target {
		return false, true
	}
	return true, p.credit.sufficient(p.share)
}

func (s *set) RolloutUsage(service, target string) RolloutUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out RolloutUsage
	add := func(c *rollout.Counts, version string, n int64) {
		if version == target {
			c.Candidate += n
		} else {
			c.Baseline += n
		}
	}
	var sentBefore map[string]int64
	if r := s.services[service]; r != nil {
		sentBefore = r.sentBefore
	}
	for key, u := range s.usages {
		if key.service != service {
			continue
		}
		add(&out.InFlight, key.version, u.running.Load()+u.held.Load())
		add(&out.Sent, key.version, u.sent.Load()-sentBefore[key.version])
		if key.version != target {
			out.BaselineAtMostOnce += u.atMostOnce.Load()
		}
	}
	versions := make(map[string]bool)
	v := s.view.Load()
	for _, r := range v.snapshot.Runners {
		if r.Service != service {
			continue
		}
		if r.Version != target {
			versions[r.Version] = true
		}
		if _, leaving := s.leaving[incarnationOf(r)]; !leaving && !r.Draining && !v.snapshot.ZonesOut[r.Zone] {
			add(&out.Runners, r.Version, 1)
		}
	}
	out.BaselineVersions = slices.Sorted(maps.Keys(versions))
	return out
}

// credit is how many calls may go to the target version of a rollout at this instance.
// It increases by the share with each call, so that over all calls the target version
// gets no more than its share and one call. It takes no lock, as all calls of the
// service share it.
type credit struct {
	// micros is the credit in millionths of a call.
	micros atomic.Int64
}

const (
	// oneCall is the credit that a call takes.
	oneCall = 1_000_000
	// maxCredit bounds the credit that is saved while no candidate takes calls. It
	// allows for a call that found no permit, and for no burst.
	maxCredit = 2 * oneCall
)

// newCredit returns the credit at the start of a rollout: a random part of a call, so
// that not all instances send the first call at the same time.
func (s *set) newCredit() *credit {
	c := &credit{}
	c.micros.Store(int64(s.random.IntN(oneCall)))
	return c
}

func shareMicros(share float64) int64 { return int64(share * oneCall) }

// take takes the credit of a call to the candidate, which itself adds the share. It
// takes nothing and returns false if that isn't enough.
func (c *credit) take(share float64) bool {
	for {
		old := c.micros.Load()
		next := old + shareMicros(share) - oneCall
		if next < 0 {
			return false
		}
		if c.micros.CompareAndSwap(old, next) {
			return true
		}
	}
}

// sufficient reports whether take would be successful now.
func (c *credit) sufficient(share float64) bool {
	return c.micros.Load()+shareMicros(share) >= oneCall
}

// add adds the credit of a call that went to the baseline.
func (c *credit) add(share float64) { c.addMicros(shareMicros(share)) }

func (c *credit) addMicros(n int64) {
	for {
		old := c.micros.Load()
		if c.micros.CompareAndSwap(old, min(old+n, maxCredit)) {
			return
		}
	}
}

// giveBack returns what take took for a call that found no candidate.
func (c *credit) giveBack(share float64) { c.addMicros(oneCall - shareMicros(share)) }

// usageKey identifies the runners of one version of a service.
type usageKey struct{ service, version string }

// usage counts what this instance has at the runners of one version, those included
// whose descriptions were removed. A nil usage counts nothing.
type usage struct {
	// running counts the calls in flight, atMostOnce those of them that must not run
	// more than once.
	running, atMostOnce atomic.Int64
	// held counts the results of stages that are still needed.
	held atomic.Int64
	// sent counts all calls.
	sent atomic.Int64
}

func (u *usage) begin(atMostOnce bool) {
	if u == nil {
		return
	}
	u.sent.Add(1)
	u.running.Add(1)
	if atMostOnce {
		u.atMostOnce.Add(1)
	}
}

func (u *usage) end(atMostOnce bool) {
	if u == nil {
		return
	}
	u.running.Add(-1)
	if atMostOnce {
		u.atMostOnce.Add(-1)
	}
}

// usageOf returns the usage of a version, or nil unless rollouts are carried out. The
// caller holds mu.
func (s *set) usageOf(service, version string) *usage {
	if !s.rollouts {
		return nil
	}
	key := usageKey{service: service, version: version}
	u := s.usages[key]
	if u == nil {
		u = &usage{}
		s.usages[key] = u
	}
	return u
}

// forgetUsages drops the usages of versions without runners and without calls, unless
// a rollout of the service still reports them. The caller holds mu.
func (s *set) forgetUsages(next *inventory.Snapshot) {
	if len(s.usages) == 0 {
		return
	}
	described := make(map[usageKey]bool)
	for _, r := range next.Runners {
		described[usageKey{service: r.Service, version: r.Version}] = true
	}
	maps.DeleteFunc(s.usages, func(key usageKey, u *usage) bool {
		r := s.services[key.service]
		reported := r != nil && (r.state.Phase == rollout.Running || r.order.Service != "")
		return !described[key] && !reported && u.running.Load() == 0 && u.held.Load() == 0
	})
}
