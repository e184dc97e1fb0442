package placement

import (
	"time"

	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
)

// Preview is what would be chosen for a call, and why.
type Preview struct {
	// Owner is the instance that chooses, or empty if it is this one. The rest is what
	// this instance knows.
	Owner string
	// Target is nil if no engine is available.
	Target *target.Target
	// Engines are those that are considered, the preferred first.
	Engines []Engine
}

// Engine is an engine that is considered for a call.
type Engine struct {
	target.Considered
	// Placed counts the calls that were placed there.
	Placed int
	// Unread is how many tokens of the prompt the engine would have to read, Pending how
	// many it has yet to read for other calls.
	Unread, Pending int
	// Speed is how many times as long as expected of the service the engine takes.
	Speed float64
	// Expected is the time until the first event.
	Expected time.Duration
}

func (l *local) Preview(r Request) Preview {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.trackers[r.Shard.Service]
	if b == nil {
		b = newTracker(l.rules)
	}
	a := l.criteria(b, r)
	costOf := func(t *target.Target) time.Duration { return b.cost(t, a) }
	t, list := l.targets.Preview(r.Shard, costOf)
	if t == nil && r.Shard.Zone != "" {
		t, list = l.targets.Preview(shard.Whole(r.Shard.Service), costOf)
	}
	out := Preview{Target: t}
	for _, c := range list {
		e, w := b.of(c.Target), b.work(c.Target, a)
		ratio := e.ratio(a.now)
		out.Engines = append(out.Engines, Engine{
			Considered: c, Placed: e.running, Unread: e.uncachedTokens(a.prompt), Pending: e.pendingTokens, Speed: ratio,
			Expected: time.Duration(ratio * float64(b.times.Of(w))),
		})
	}
	return out
}

func (s *shared) Preview(r Request) Preview {
	out := s.local.Preview(r)
	if to := s.owners.OfShard(ownerKey, r.Shard); to != s.self {
		out.Owner = to
	}
	return out
}
