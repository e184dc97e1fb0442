package pool

import (
	"slices"
	"sync"
	"sync/atomic"
)

// The classes of work: indexes of a group's queues.
const (
	paying = 0
	free   = 1
)

func classOf(isPaying bool) int {
	if isPaying {
		return paying
	}
	return free
}

// groupKey names a group.
type groupKey struct{ service, model string }

// group is the runners that serve one service and model, and the asks that
// wait for them. It outlives topologies.
type group struct {
	key     groupKey
	members atomic.Pointer[members]
	latency estimate
	// waiting are the lengths of the queues, readable without mu.
	waiting [2]atomic.Int64
	turn    atomic.Uint32

	// waits are the estimated waits of a new ask, in nanoseconds.
	waits [2]atomic.Int64

	// mu guards the queues. It is taken before a runner's mu.
	mu     sync.Mutex
	queues [2]queue
}

// members are the runners of a group that this instance uses. They are
// immutable.
type members struct {
	// local are in this instance's availability zone.
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

// mustWait reports whether a new ask of the class goes behind others.
func (g *group) mustWait(isPaying bool) bool {
	if g.waiting[paying].Load() > 0 {
		return true
	}
	return !isPaying && g.waiting[free].Load() > 0
}

// changed puts out the length of a queue and the wait that it means; g.mu is
// held.
func (g *group) changed(class int) {
	q := &g.queues[class]
	g.waiting[class].Store(int64(q.size))
	g.waits[class].Store(int64(q.interval * float64(q.size+1)))
}

// usable reports whether the ask has a runner at all.
func (g *group) usable(ask *Ask) bool {
	for r := range g.members.Load().all {
		if !slices.Contains(ask.Exclude, r.id) {
			return true
		}
	}
	return false
}

// attempt is one try to take a place for an ask.
type attempt struct {
	p   *pools
	g   *group
	ask Ask
	now instant
	// timely is true while runners that are too slow for the ask are left out.
	timely bool
	// undone is set when free work gave a place back because paying work
	// had begun to wait; the runner it was on needs a dispatch.
	undone *runner
}

// on takes a place on r, or returns nil.
func (a *attempt) on(r *runner, why reason) *place {
	if len(a.ask.Exclude) > 0 && slices.Contains(a.ask.Exclude, r.id) {
		return nil
	}
	if r.cold.Load() && !a.p.holds(a.now) {
		return nil
	}
	if at := r.gainAt.Load(); at != 0 && a.now >= instant(at) {
		r.mu.Lock()
		r.setLimits(a.p.cfg, a.now)
		r.mu.Unlock()
	}
	if !a.ask.Paying && r.payingWaits() {
		return nil
	}
	if !r.take(a.ask.Paying) {
		return nil
	}
	return a.claim(&place{p: a.p, r: r, g: a.g, paying: a.ask.Paying, reason: why})
}

// claim makes a place that was taken known and returns it, or nil when it was
// given back. A free place is listed before the check, so that paying work
// that begins to wait either is seen here or sees the place there.
func (a *attempt) claim(pl *place) *place {
	if pl.paying {
		return pl
	}
	pl.link()
	if pl.r.payingWaits() {
		pl.undo()
		a.undone = pl.r
		return nil
	}
	return pl
}

// anywhere takes a place on one of the group's runners, or returns nil.
func (a *attempt) anywhere() *place {
	g := a.g
	m := g.members.Load()
	switch a.p.cfg.policy {
	case PolicyRoundRobin:
		return a.inTurn(g, m)
	case PolicyLeastReported:
		return a.leastReported(m)
	case PolicyTwoChoice:
	}
	typical := g.latency.value()
	for _, a.timely = range [...]bool{a.p.cfg.budgets, false} {
		if pl := a.among(m.local, typical, reasonTwoChoice); pl != nil {
			return pl
		}
		if pl := a.among(m.remote, typical, reasonOtherZone); pl != nil {
			return pl
		}
		if !a.timely {
			break
		}
	}
	return nil
}

// onTimely takes a place on r, unless r is too slow for the ask and others are
// to be tried first.
func (a *attempt) onTimely(r *runner, typical float64, why reason) *place {
	if a.timely && r.latency.at(a.now, typical)+r.latency.deviation() > float64(a.p.instantOf(a.ask.Deadline).sub(a.now)) {
		return nil
	}
	return a.on(r, why)
}

// among takes a place on one of the list's runners: by affinity if the ask
// has one, else on the cheaper of two, else on the first with a place.
func (a *attempt) among(list []*runner, typical float64, why reason) *place {
	n := len(list)
	if n == 0 {
		return nil
	}
	if a.ask.Affinity != 0 {
		if pl := a.byPrefix(list); pl != nil {
			return pl
		}
	}
	start := 0
	if n > 1 {
		draw := a.p.random()
		i := int(draw % uint64(n))
		j := (i + 1 + int((draw>>32)%uint64(n-1))) % n
		x, y := list[i], list[j]
		if y.cost(a.now, typical) < x.cost(a.now, typical) {
			x, y = y, x
		}
		if pl := a.onTimely(x, typical, why); pl != nil {
			return pl
		}
		if pl := a.onTimely(y, typical, why); pl != nil {
			return pl
		}
		start = i
	}
	for k := range n {
		if pl := a.onTimely(list[(start+k)%n], typical, reasonOnlyFree); pl != nil {
			return pl
		}
	}
	return nil
}

// byPrefix takes a place by rendezvous hashing with bounded loads: the
// highest score among the runners that are not far over the mean.
func (a *attempt) byPrefix(list []*runner) *place {
	sum := int64(1)
	for _, r := range list {
		sum += r.total.Load()
	}
	bound := int64(a.p.cfg.affinityBound*float64(sum)/float64(len(list))) + 1
	var best *runner
	score := uint64(0)
	for _, r := range list {
		n := r.total.Load()
		if n >= bound || n >= r.limitOf(a.ask.Paying) {
			continue
		}
		if s := mix(r.hash ^ a.ask.Affinity); best == nil || s > score {
			best, score = r, s
		}
	}
	if best == nil {
		return nil
	}
	return a.on(best, reasonAffinity)
}

func (a *attempt) inTurn(g *group, m *members) *place {
	n := m.len()
	for range n {
		i := int(g.turn.Add(1)) % n
		r := m.at(i)
		if pl := a.on(r, reasonRoundRobin); pl != nil {
			return pl
		}
	}
	return nil
}

func (a *attempt) leastReported(m *members) *place {
	var best *runner
	least := 0.0
	for r := range m.all {
		if r.total.Load() >= r.limitOf(a.ask.Paying) || slices.Contains(a.ask.Exclude, r.id) {
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
	return a.on(best, reasonLeastReported)
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
