package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Methods that instances call on each other: methodReport reports crashes and answers
// to an owner of the evidence, methodAnswers asks an instance which parts it has seen
// an answer for.
const (
	methodReport  = "quarantine.report"
	methodAnswers = "quarantine.answers"
)

// recentlyAnswered is the time after an answer in which a part isn't suspected.
const recentlyAnswered = 2 * time.Second

// Option changes a default of NewGuard.
type Option func(*guard)

// WithProber has the guard tell runners that crashed from those that only broke a
// connection. Without it all count as crashed.
func WithProber(p Prober) Option { return func(g *guard) { g.prober = p } }

// Guard refuses calls by the quarantines in force, and collects the evidence for
// new ones.
type Guard interface {
	// Blocked reports whether a call must not be sent to a runner, and for how long.
	Blocked(service string, p target.Prompt) (time.Duration, bool)
	// Answered records that a runner has begun to answer a call.
	Answered(service string, p target.Prompt)
	// Crashed records that the connection to a runner broke before the answer to a
	// call began.
	Crashed(r *inventory.Runner, p target.Prompt)
	// Run sends reports and writes quarantines until ctx ends.
	Run(ctx context.Context) error
}

// NewGuard returns the guard of an instance.
func NewGuard(clk clock.Clock, self string, current *inventory.Current, owners owner.Finder, mesh instance.Mesh, store Store, log hclog.Logger, opts ...Option) Guard {
	g := &guard{
		clk: clk, self: self, current: current, owners: owners, mesh: mesh, store: store, log: log, answers: newAnswers(),
		detector: NewDetector(), written: make(map[string]time.Time), withdrawn: make(map[string]inventory.Quarantine),
		answered: make(map[partKey]struct{}), reported: make(map[partKey]time.Time), removed: make(map[string]time.Time), toSend: make(chan struct{}, 1), toDecide: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.rules.Store(&rules{})
	mesh.Handle(methodReport, g.serveReport)
	mesh.Handle(methodAnswers, g.serveAnswers)
	current.Subscribe(g.update)
	return g
}

// rules is an immutable index of the quarantines in force, by service.
type rules map[string][]*inventory.Quarantine

type guard struct {
	clk     clock.Clock
	self    string
	current *inventory.Current
	owners  owner.Finder
	mesh    instance.Mesh
	store   Store
	prober  Prober // may be nil
	paths   Paths  // may be nil
	log     hclog.Logger
	rules   atomic.Pointer[rules]
	answers *answers
	// toSend and toDecide wake up the loops of Run. Their buffers hold one value.
	toSend, toDecide chan struct{}

	outbox sync.Mutex
	// suspects and answered are still to be reported. sent has the latest suspects that
	// were reported, reported the times at which parts with answers were reported last.
	suspects []seenSuspect
	sent     []seenSuspect
	answered map[partKey]struct{}
	reported map[partKey]time.Time

	// mu guards what an owner knows.
	mu       sync.Mutex
	detector *Detector
	// written has the quarantines that were written, with the times of the writes.
	written map[string]time.Time
	// withdrawn has what is left of the quarantines that are to be replaced, by
	// identifier. removed has the times at which some were.
	withdrawn map[string]inventory.Quarantine
	removed   map[string]time.Time
}

// update replaces the rules by those of a snapshot, and reports the parts in new
// ones that had an answer since the first crash.
func (g *guard) update(s *inventory.Snapshot) {
	old := *g.rules.Load()
	next := make(rules)
	for _, q := range s.Quarantines {
		if Validate(q) == nil {
			next[q.Service] = append(next[q.Service], q)
		}
	}
	if len(old) == 0 && len(next) == 0 {
		return
	}
	g.rules.Store(&next)
	wake(g.toDecide)
	for service, list := range next {
		for _, q := range list {
			if !slices.Contains(old[service], q) {
				g.reportAnswered(service, g.answeredParts(q))
			}
		}
	}
}

// answeredParts returns the parts of a quarantine that had an answer here since the
// first crash.
func (g *guard) answeredParts(q *inventory.Quarantine) []string {
	return g.answers.since(q.Service, q.Parts, q.SeenAt.Add(-q.Evidence))
}

func (g *guard) Blocked(service string, p target.Prompt) (time.Duration, bool) {
	list := (*g.rules.Load())[service]
	if len(list) == 0 {
		return 0, false
	}
	parts := sharedParts(p)
	for _, q := range list {
		rest, ok := without(*q, g.answeredParts(q))
		if ok && containsAll(parts, rest.Parts) {
			return max(time.Second, q.SeenAt.Add(Life).Sub(g.clk.Now())), true
		}
	}
	return 0, false
}

func (g *guard) Answered(service string, p target.Prompt) {
	parts := sharedParts(p)
	if len(parts) == 0 {
		return
	}
	g.answers.note(service, parts, g.clk.Now())
	var ruled []string
	for _, q := range (*g.rules.Load())[service] {
		for _, part := range q.Parts {
			if slices.Contains(parts, part) {
				ruled = append(ruled, part)
			}
		}
	}
	g.reportAnswered(service, ruled)
}

func (g *guard) Crashed(r *inventory.Runner, p target.Prompt) {
	parts := sharedParts(p)
	parts = withoutParts(parts, g.answers.since(r.Service, parts, g.clk.Now().Add(-recentlyAnswered)))
	if len(parts) == 0 {
		return
	}
	proven := g.answers.since(r.Service, parts, time.Time{})
	if len(parts) > maxCallParts {
		// Parts without any answer are likelier to be the cause.
		parts = slices.Concat(withoutParts(parts, proven), proven)[:maxCallParts]
		proven = g.answers.since(r.Service, parts, time.Time{})
	}
	g.outbox.Lock()
	if len(g.suspects) < maxReported {
		s := Suspect{Service: r.Service, Runner: r.ID, Born: r.Born, Zone: r.Zone, Parts: parts, Proven: proven}
		g.suspects = append(g.suspects, seenSuspect{Suspect: s, runner: r, at: g.clk.Now()})
	}
	g.outbox.Unlock()
	wake(g.toSend)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *guard) Run(ctx context.Context) error {
	if g.paths != nil {
		defer g.paths.Watch(g.lostPaths)()
	}
	var group sync.WaitGroup
	group.Go(func() { g.sendReports(ctx) })
	group.Go(func() { g.keepQuarantines(ctx) })
	group.Wait()
	return nil
}
