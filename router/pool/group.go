package pool

import (
	"slices"
	"sync"
	"sync/atomic"
)

// The tier classes, which index a group's queues.
const (
	payingClass = 0
	freeClass   = 1
)

func classOf(isPaying bool) int {
	if isPaying {
		return payingClass
	}
	return freeClass
}

// groupKey identifies a group.
type groupKey struct{ service, model string }

// group holds the runners that serve one service and model, and the queues of
// requests for them. It is kept across topology updates.
type group struct {
	key     groupKey
	members atomic.Pointer[members]
	latency estimate
	// waiting holds the lengths of the queues, readable without mu.
	waiting    [2]atomic.Int64
	roundRobin atomic.Uint32

	// waitEstimates holds the expected wait of a new request, in nanoseconds.
	waitEstimates [2]atomic.Int64

	// mu guards the queues. Lock order: a group's mu before a runner's mu.
	mu     sync.Mutex
	queues [2]queue
}

// members holds the runners of a group that this instance uses. It is
// immutable.
type members struct {
	// local runners are in this instance's availability zone.
	local  []*runner
	remote []*runner
}

func (m *members) len() int { return len(m.local) + len(m.remote) }

func (m *members) all(yield func(*runner) bool) {
	for _, r := range m.local {
		if !yield(r) {
			return
		}
	}
	for _, r := range m.remote {
		if !yield(r) {
			return
		}
	}
}

// mustWait reports whether a new request of the class has to queue behind
// others.
func (g *group) mustWait(isPaying bool) bool {
	if g.waiting[payingClass].Load() > 0 {
		return true
	}
	return !isPaying && g.waiting[freeClass].Load() > 0
}

// publishQueueLength updates the published length of a queue and the expected
// wait; g.mu is held.
func (g *group) publishQueueLength(class int) {
	q := &g.queues[class]
	g.waiting[class].Store(int64(q.size))
	g.waitEstimates[class].Store(int64(q.serveInterval * float64(q.size+1)))
}

// hasCandidate reports whether the group has a runner that the request does not
// exclude.
func (g *group) hasCandidate(req *Request) bool {
	for r := range g.members.Load().all {
		if !slices.Contains(req.Exclude, r.id) {
			return true
		}
	}
	return false
}

// acquisition is one try to take a slot for a request.
type acquisition struct {
	p   *pools
	g   *group
	req Request
	now instant
	// onlyTimely skips runners that are expected to miss the request's
	// deadline.
	onlyTimely bool
	// redispatch is set to the runner of a slot that a free request gave up
	// because paying work began to wait; the runner needs a dispatch.
	redispatch *runner
}

// tryRunner takes a slot on r, or returns nil.
func (a *acquisition) tryRunner(r *runner, why reason) *slot {
	if len(a.req.Exclude) > 0 && slices.Contains(a.req.Exclude, r.id) {
		return nil
	}
	if r.cold.Load() && !a.p.viewValid(a.now) {
		return nil
	}
	if at := r.grantAt.Load(); at != 0 && a.now >= instant(at) {
		r.mu.Lock()
		r.updateLimits(a.p.cfg, a.now)
		r.mu.Unlock()
	}
	if !a.req.Paying && r.hasPayingWaiters() {
		return nil
	}
	if !r.tryReserve(a.req.Paying) {
		return nil
	}
	return a.register(&slot{p: a.p, r: r, g: a.g, paying: a.req.Paying, reason: why})
}

// register adds a reserved free-tier slot to its runner's list and returns it,
// or returns nil after giving it back because paying work waits. The slot is
// listed before this check: paying work that begins to wait is either noticed
// by the check or finds the slot in the list and preempts it. A paying-tier
// slot needs no entry.
func (a *acquisition) register(pl *slot) *slot {
	if pl.paying {
		return pl
	}
	pl.link()
	if pl.r.hasPayingWaiters() {
		pl.rollBack()
		a.redispatch = pl.r
		return nil
	}
	return pl
}

// tryAny takes a slot on one of the group's runners, or returns nil.
func (a *acquisition) tryAny() *slot {
	g := a.g
	m := g.members.Load()
	switch a.p.cfg.policy {
	case PolicyRoundRobin:
		return a.tryRoundRobin(g, m)
	case PolicyLeastReported:
		return a.tryLeastReported(m)
	case PolicyTwoChoice:
	}
	groupMean := g.latency.meanLatency()
	for _, a.onlyTimely = range [...]bool{a.p.cfg.deadlineChecks, false} {
		if pl := a.tryList(m.local, groupMean, reasonTwoChoice); pl != nil {
			return pl
		}
		if pl := a.tryList(m.remote, groupMean, reasonOtherZone); pl != nil {
			return pl
		}
		if !a.onlyTimely {
			break
		}
	}
	return nil
}

// tryTimely takes a slot on r, unless onlyTimely is set and r is expected to
// miss the request's deadline.
func (a *acquisition) tryTimely(r *runner, groupMean float64, why reason) *slot {
	if a.onlyTimely && r.latency.decayedMean(a.now, groupMean)+r.latency.meanDeviation() > float64(a.p.instantOf(a.req.Deadline).sub(a.now)) {
		return nil
	}
	return a.tryRunner(r, why)
}

// tryList takes a slot on one of the listed runners: by affinity if the request
// has one, else on the cheaper of two random runners, else on the first with a
// slot.
func (a *acquisition) tryList(list []*runner, groupMean float64, why reason) *slot {
	n := len(list)
	if n == 0 {
		return nil
	}
	if a.req.Affinity != 0 {
		if pl := a.tryAffinity(list); pl != nil {
			return pl
		}
	}
	start := 0
	if n > 1 {
		draw := a.p.random()
		i := int(draw % uint64(n))
		j := (i + 1 + int((draw>>32)%uint64(n-1))) % n
		x, y := list[i], list[j]
		if y.cost(a.now, groupMean) < x.cost(a.now, groupMean) {
			x, y = y, x
		}
		if pl := a.tryTimely(x, groupMean, why); pl != nil {
			return pl
		}
		if pl := a.tryTimely(y, groupMean, why); pl != nil {
			return pl
		}
		start = i
	}
	for k := range n {
		if pl := a.tryTimely(list[(start+k)%n], groupMean, reasonFirstAvailable); pl != nil {
			return pl
		}
	}
	return nil
}

// tryAffinity takes a slot by rendezvous hashing with bounded loads: on the
// runner with the highest score among those that have a slot available and
// whose load is within affinityBound times the mean.
func (a *acquisition) tryAffinity(list []*runner) *slot {
	sum := int64(1)
	for _, r := range list {
		sum += r.inFlight.Load()
	}
	bound := int64(a.p.cfg.affinityBound*float64(sum)/float64(len(list))) + 1
	var best *runner
	score := uint64(0)
	for _, r := range list {
		n := r.inFlight.Load()
		if n >= bound || n >= r.limitOf(a.req.Paying) {
			continue
		}
		if s := mix(r.hash ^ a.req.Affinity); best == nil || s > score {
			best, score = r, s
		}
	}
	if best == nil {
		return nil
	}
	return a.tryRunner(best, reasonAffinity)
}

func (a *acquisition) tryRoundRobin(g *group, m *members) *slot {
	n := m.len()
	for range n {
		i := int(g.roundRobin.Add(1)) % n
		r := m.at(i)
		if pl := a.tryRunner(r, reasonRoundRobin); pl != nil {
			return pl
		}
	}
	return nil
}

func (a *acquisition) tryLeastReported(m *members) *slot {
	var best *runner
	least := 0.0
	for r := range m.all {
		if r.inFlight.Load() >= r.limitOf(a.req.Paying) || slices.Contains(a.req.Exclude, r.id) {
			continue
		}
		load := float64(r.reportedLoad.Load()) / float64(max(1, r.desc.Load().Slots))
		if best == nil || load < least {
			best, least = r, load
		}
	}
	if best == nil {
		return nil
	}
	return a.tryRunner(best, reasonLeastReported)
}

func (m *members) at(i int) *runner {
	if i < len(m.local) {
		return m.local[i]
	}
	return m.remote[i-len(m.local)]
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
