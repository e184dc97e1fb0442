package placement

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Request asks for an engine.
type Request struct {
	// ID is that of the call; it is unique in the fleet.
	ID      string
	Service string
	Prompt  target.Prompt
	// Zone is where the inputs of the call are, and InputBytes how long they
	// are.
	Zone       string
	InputBytes int64
	// Avoid are engines that were tried already.
	Avoid []*target.Target
	// Until is when the call is given up.
	Until time.Time
}

// Place is an engine for a call.
type Place interface {
	// Target is the engine.
	Target() *target.Target
	// Answered notes the first event.
	Answered()
	// Broke notes that the engine couldn't be reached, so that others aren't
	// placed there at once; and the end. Connections that break later say less:
	// those of one instance may all break together.
	Broke()
	// Ended notes the end of the call at this engine.
	Ended()
}

// Placer chooses engines.
type Placer interface {
	// Place chooses an engine for a call, or returns nil if there is none.
	Place(ctx context.Context, r Request) Place
	// Home returns the zone of the engine that would be chosen now, or "".
	Home(ctx context.Context, r Request) string
}

// Local is a placer by what this instance has placed itself.
type Local interface {
	Placer
	// Begin, Answer, Break and End are the steps of a call that another instance has
	// placed here. Begin returns the runner's identifier, or "".
	Begin(r Request) string
	Answer(id string)
	Break(id string)
	End(id string)
}

// NewLocal returns a placer that knows of its own calls only.
func NewLocal(clk clock.Clock, rules policy.Policy, current *inventory.Current, targets target.Set, log hclog.Logger) Local {
	return &local{clk: clk, rules: rules, current: current, targets: targets, log: log, trackers: make(map[string]*tracker), calls: make(map[string]*entry)}
}

type local struct {
	clk     clock.Clock
	rules   policy.Policy
	current *inventory.Current
	targets target.Set
	log     hclog.Logger

	mu       sync.Mutex
	trackers map[string]*tracker
	// calls has those that run at an engine.
	calls map[string]*entry
	swept time.Time
}

// entry is a call in a tracker.
type entry struct {
	tracker *tracker
	target  *target.Target
	// tokens are still to be read.
	tokens int
	// until is when the entry is dropped if nobody told of the end.
	until time.Time
}

// sweepEvery is how often calls are looked for whose end wasn't told.
const sweepEvery = time.Second

func (l *local) Place(_ context.Context, r Request) Place {
	t := l.begin(r)
	if t == nil {
		return nil
	}
	return &localPlace{local: l, target: t, id: r.ID}
}

func (l *local) Home(_ context.Context, r Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.choose(r, false); t != nil {
		return t.Runner().Zone
	}
	return ""
}

func (l *local) Begin(r Request) string {
	if t := l.begin(r); t != nil {
		return t.Runner().ID
	}
	return ""
}

func (l *local) begin(r Request) *target.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	t := l.choose(r, true)
	if t == nil {
		return nil
	}
	b := l.trackers[r.Service]
	e := b.of(t)
	l.log.Info("placed", "request", r.ID, "service", r.Service, "runner", t.Runner().ID, "zone", t.Runner().Zone, "tokens", r.Prompt.Tokens,
		"unread", e.unread(r.Prompt), "pending", e.pending, "running", e.running, "inputsIn", r.Zone, "tried", len(r.Avoid))
	l.calls[r.ID] = &entry{tracker: b, target: t, tokens: b.begin(t, r.Prompt, l.clk.Now()), until: r.Until}
	return t
}

// choose returns the cheapest engine. The caller holds mu.
func (l *local) choose(r Request, permit bool) *target.Target {
	b := l.trackers[r.Service]
	if b == nil {
		b = newTracker()
		l.trackers[r.Service] = b
	}
	if table := l.current.Load().Table; table != nil {
		if svc := table.Service(r.Service); svc != nil && svc.Engine != nil && svc.Engine.MemoryTokens > 0 {
			b.memory = int(svc.Engine.MemoryTokens)
		}
	}
	a := ask{prompt: r.Prompt, zone: r.Zone, bytes: r.InputBytes, anywhere: !l.rules.KeptPrompts}
	if l.rules.PromptHomes {
		a.home = b.home(r.Prompt, l.targets.Usable(r.Service))
	}
	return l.targets.Choose(r.Service, r.Avoid, permit, func(t *target.Target) time.Duration { return b.cost(t, a) })
}

// sweep drops the calls whose end wasn't told, and engines that are gone. The
// caller holds mu.
func (l *local) sweep() {
	now := l.clk.Now()
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for id, e := range l.calls {
		if now.After(e.until) {
			l.end(id)
		}
	}
	for service, b := range l.trackers {
		b.retain(l.targets.Usable(service))
	}
}

func (l *local) Answer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer(id)
}

func (l *local) answer(id string) {
	if e := l.calls[id]; e != nil {
		e.tracker.of(e.target).pending -= e.tokens
		e.tokens = 0
	}
}

func (l *local) Break(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[id]; e != nil {
		e.target.Broke(l.clk.Now())
		l.end(id)
	}
}

func (l *local) End(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(id)
}

func (l *local) end(id string) {
	if e := l.calls[id]; e != nil {
		l.answer(id)
		e.tracker.of(e.target).running--
		delete(l.calls, id)
	}
}

// localPlace is a place of this instance's own tracker.
type localPlace struct {
	local  *local
	target *target.Target
	id     string
}

func (p *localPlace) Target() *target.Target { return p.target }

func (p *localPlace) Answered() { p.local.Answer(p.id) }

func (p *localPlace) Broke() { p.local.Break(p.id) }

func (p *localPlace) Ended() { p.local.End(p.id) }
