package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/cost"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Request describes a call that needs an engine.
type Request struct {
	// ID identifies the call; it is unique in the fleet.
	ID string
	// Shard has the engines that are preferred. If none of them is available, the
	// call is placed at any engine of the service.
	Shard  shard.Shard
	Prompt target.Prompt
	// Zone is where the inputs of the call are stored, and InputBytes is their
	// size.
	Zone       string
	InputBytes int64
	// Avoid lists the engines that were already tried.
	Avoid []*target.Target
	// Version is the only version that may run the call, or nil if any may. Accepts
	// restricts it to engines for further reasons; nil accepts all.
	Version *string
	Accepts func(*target.Target) bool
	// Deadline is the deadline of the call.
	Deadline time.Time
	// Output is what the call says about the length of its answer.
	Output cost.Request
}

// accepts reports whether an engine may run the call.
func (r Request) accepts(t *target.Target) bool {
	return (r.Version == nil || *r.Version == t.Runner().Version) && (r.Accepts == nil || r.Accepts(t))
}

// accepted returns those of the engines that may run the call.
func (r Request) accepted(engines []*target.Target) []*target.Target {
	refused := func(t *target.Target) bool { return !r.accepts(t) }
	if !slices.ContainsFunc(engines, refused) {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), refused)
}

// Place is an engine assigned to a call.
type Place interface {
	// Target returns the engine.
	Target() *target.Target
	// Expected returns the time until the first event that was expected when the
	// engine was chosen, or zero if it isn't known.
	Expected() time.Duration
	// Answered records the first event of the answer and the time that it took from
	// the dispatch, or zero if that isn't known.
	Answered(after time.Duration)
	// Completed records that the answer is complete, and how many output tokens it has.
	// Ended is called after it.
	Completed(tokens int)
	// Unreachable records that the engine couldn't be reached, so that other calls
	// avoid it during its backoff, and ends the call at this engine. A connection
	// that breaks later is weaker evidence, since all connections of one instance
	// may break together.
	Unreachable()
	// Ended records the end of the call at this engine.
	Ended()
}

// Placer assigns calls to engines.
type Placer interface {
	// Place chooses an engine for a call, or returns nil if there is none.
	Place(ctx context.Context, r Request) Place
	// Home returns the zone of the engine that would be chosen now, or "".
	Home(ctx context.Context, r Request) string
	// Preview returns what Place would choose now by what this instance knows. It places
	// nothing and sends nothing.
	Preview(r Request) Preview
}

// Local is a placer that considers only the calls placed through this instance.
type Local interface {
	Placer
	// Begin places a call for another instance and returns the runner's
	// identifier, or "", and the expected time until the first event. Answer,
	// Unreachable and End record the progress of that call.
	Begin(r Request) (runner string, expected time.Duration)
	Answer(id string, after time.Duration)
	Unreachable(id string)
	// End is told the output tokens of a complete answer, or zero.
	End(id string, tokens int)
}

// NewLocal returns a placer that tracks only the calls placed through this
// instance.
func NewLocal(clk clock.Clock, rules policy.Policy, current *inventory.Current, targets target.Set, log hclog.Logger) Local {
	return &local{clk: clk, rules: rules, current: current, targets: targets, log: log, trackers: make(map[string]*tracker), calls: make(map[string]*activeCall)}
}

type local struct {
	clk     clock.Clock
	rules   policy.Policy
	current *inventory.Current
	targets target.Set
	log     hclog.Logger

	mu       sync.Mutex
	trackers map[string]*tracker
	// calls has the calls in progress, by identifier.
	calls     map[string]*activeCall
	lastSweep time.Time
}

// activeCall is a call in progress at an engine.
type activeCall struct {
	tracker *tracker
	target  *target.Target
	// pendingTokens is how many prompt tokens the engine still has to process for
	// the call.
	pendingTokens int
	// work is what the engine had to do until the first event when the call began,
	// usual the time that this takes at an engine of usual speed, and expected at this
	// one.
	work            cost.Work
	usual, expected time.Duration
	begunAt         time.Time
	// request is what the call said about its output, and outputTokens what is expected
	// of it, or zero if that isn't known.
	request      cost.Request
	outputTokens int
	// outputTime is the time that this output is expected to take.
	outputTime time.Duration
	// answeredAt is the time of the first event, or of the end if there was none.
	answeredAt time.Time
	// learn is whether the time to the first event shows the speed of the engine.
	learn bool
	// expiresAt is when the call is dropped if its end was not reported.
	expiresAt time.Time
}

// sweepInterval is how often calls whose end was not reported are dropped.
const sweepInterval = time.Second

func (l *local) Place(_ context.Context, r Request) Place {
	c := l.begin(r)
	if c == nil {
		return nil
	}
	return &localPlace{local: l, target: c.target, id: r.ID, expected: c.expected}
}

func (l *local) Home(_ context.Context, r Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, _ := l.choose(r, false); t != nil {
		return t.Runner().Zone
	}
	return ""
}

func (l *local) Begin(r Request) (string, time.Duration) {
	if c := l.begin(r); c != nil {
		return c.target.Runner().ID, c.expected
	}
	return "", 0
}

func (l *local) begin(r Request) *activeCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	t, a := l.choose(r, true)
	if t == nil {
		return nil
	}
	b := l.trackers[r.Shard.Service]
	e := b.of(t)
	pending, running, uncached := e.pendingTokens, e.running, e.uncachedTokens(r.Prompt)
	c := &activeCall{target: t, expiresAt: r.Deadline, request: r.Output}
	b.begin(c, a)
	l.log.Info("placed", "request", r.ID, "service", r.Shard.Service, "runner", t.Runner().ID, "zone", t.Runner().Zone, "tokens", r.Prompt.Tokens,
		"unread", uncached, "pending", pending, "running", running, "inputsIn", r.Zone, "tried", len(r.Avoid),
		"expectedMillis", c.expected.Milliseconds(), "usualMillis", c.usual.Milliseconds(),
		"waitMillis", c.work.Wait.Milliseconds(), "outputTokens", c.outputTokens)
	l.calls[r.ID] = c
	return c
}

// choose returns the engine with the lowest cost, and the criteria by which it was
// chosen. The caller holds mu.
func (l *local) choose(r Request, permit bool) (*target.Target, criteria) {
	service := r.Shard.Service
	b := l.trackers[service]
	if b == nil {
		b = newTracker(l.rules)
		l.trackers[service] = b
	}
	if table := l.current.Load().Table; table != nil {
		if svc := table.Service(service); svc != nil && svc.Engine != nil && svc.Engine.MemoryTokens > 0 {
			b.memoryTokens = int(svc.Engine.MemoryTokens)
		}
	}
	a := l.criteria(b, r)
	costOf := func(t *target.Target) time.Duration {
		if !r.accepts(t) {
			return target.ExcludedCost
		}
		return b.cost(t, a)
	}
	if t := l.targets.Choose(r.Shard, r.Avoid, permit, costOf); t != nil || r.Shard.Zone == "" {
		return t, a
	}
	return l.targets.Choose(shard.Whole(service), r.Avoid, permit, costOf), a
}

// criteria returns the criteria of a call. The caller holds mu.
func (l *local) criteria(b *tracker, r Request) criteria {
	a := criteria{prompt: r.Prompt, zone: r.Zone, inputBytes: r.InputBytes, ignoreCache: !l.rules.PromptCacheAffinity, now: l.clk.Now()}
	if l.rules.PromptHashing {
		a.home = b.home(r.Prompt, r.accepted(l.targets.UsableIn(r.Shard)))
	}
	return a
}

// sweep drops expired calls whose end was not reported, and the state of
// engines that are gone. The caller holds mu.
func (l *local) sweep() {
	now := l.clk.Now()
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for id, e := range l.calls {
		if now.After(e.expiresAt) {
			l.end(id, 0)
		}
	}
	for service, b := range l.trackers {
		b.retain(l.targets.Usable(service))
	}
}

func (l *local) Answer(id string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil {
		c.tracker.answered(c, after, l.clk.Now())
	}
}

func (l *local) Unreachable(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[id]; e != nil {
		e.target.ConnectionFailed(l.clk.Now())
		l.end(id, 0)
	}
}

func (l *local) End(id string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(id, tokens)
}

func (l *local) end(id string, tokens int) {
	c := l.calls[id]
	if c == nil {
		return
	}
	delete(l.calls, id)
	now := l.clk.Now()
	c.tracker.answered(c, 0, now)
	c.tracker.ended(c, tokens, now)
	if tokens > 0 && c.outputTokens > 0 {
		l.log.Debug("output", "request", id, "route", c.request.Route, "maxTokens", c.request.Max, "hintedTokens", c.request.Hint,
			"expectedTokens", c.outputTokens, "observedTokens", tokens)
	}
}

// localPlace is a Place tracked by this instance.
type localPlace struct {
	local    *local
	target   *target.Target
	id       string
	expected time.Duration
	// tokens are the output tokens of a complete answer.
	tokens int
}

func (p *localPlace) Target() *target.Target { return p.target }

func (p *localPlace) Expected() time.Duration { return p.expected }

func (p *localPlace) Answered(after time.Duration) { p.local.Answer(p.id, after) }

func (p *localPlace) Unreachable() { p.local.Unreachable(p.id) }

func (p *localPlace) Completed(tokens int) { p.tokens = tokens }

func (p *localPlace) Ended() { p.local.End(p.id, p.tokens) }
