package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
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

const (
	// ownerKey is the key by which the owners of the evidence are chosen.
	ownerKey = "quarantine"
	// ownerCount is the number of instances that collect the evidence, so that it
	// survives the loss of one.
	ownerCount = 2
	// maxDeliveries bounds the instances to which a report is sent until ownerCount
	// have it.
	maxDeliveries = 4
	// reportTimeout bounds the delivery of a report to one instance.
	reportTimeout = 300 * time.Millisecond
	// maxAsked bounds the instances that are asked for answers before a quarantine is
	// written, and askTimeout the time for it.
	maxAsked   = 16
	askTimeout = 150 * time.Millisecond
	// reportInterval is the minimum time between two reports of an instance.
	reportInterval = 50 * time.Millisecond
	// maxReported bounds the suspects, and the parts with answers, of a report.
	maxReported = 64
	// maxRepeated bounds the earlier suspects that are reported again with new ones, for
	// owners that have just started.
	maxRepeated = 16
	// recentlyAnswered is the time after an answer in which a part isn't suspected.
	recentlyAnswered = 2 * time.Second
	// answeredInterval is the minimum time between two reports of the same part's
	// answers.
	answeredInterval = time.Second
	// storeTimeout bounds one write to the store, which takes two calls. firstBackoff is
	// the time between two, which doubles after each failure, up to lastBackoff.
	storeTimeout = 800 * time.Millisecond
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
	// probeTimeout bounds the check of a runner that may have crashed.
	probeTimeout = 200 * time.Millisecond
	// readDelay is the time after which a write to the store is in the snapshot. It is
	// repeated otherwise.
	readDelay = 2 * time.Second
	// maxInForce is the number of quarantines above which no more are written.
	maxInForce = 64
)

// Store keeps the quarantines in force. A quarantine ends after its life.
type Store interface {
	Put(ctx context.Context, q inventory.Quarantine, life time.Duration) error
	Remove(ctx context.Context, id string) error
}

// Prober checks runners whose connections broke.
type Prober interface {
	// Accepts reports whether a runner accepts connections.
	Accepts(ctx context.Context, r *inventory.Runner) bool
}

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

// seenSuspect is a suspect with its runner and the time of the crash.
type seenSuspect struct {
	Suspect
	runner *inventory.Runner
	at     time.Time
}

// report is what an instance has observed.
type report struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	// Answered has parts that are suspected or quarantined and had an answer.
	Answered []answeredPart `json:"answered,omitempty"`
}

type answeredPart struct {
	Service string `json:"service"`
	Part    string `json:"part"`
}

// answersRequest asks which parts of a service had an answer within a time.
type answersRequest struct {
	Service      string   `json:"service"`
	Parts        []string `json:"parts"`
	WithinMillis int64    `json:"withinMillis"`
}

type answersResponse struct {
	Parts []string `json:"parts,omitempty"`
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
	answered := g.answers.since(r.Service, parts, g.clk.Now().Add(-recentlyAnswered))
	parts = slices.DeleteFunc(parts, func(part string) bool { return slices.Contains(answered, part) })
	if len(parts) == 0 {
		return
	}
	proven := g.answers.since(r.Service, parts, time.Time{})
	g.outbox.Lock()
	if len(g.suspects) < maxReported {
		s := Suspect{Service: r.Service, Runner: r.ID, Born: r.Born, Zone: r.Zone, Parts: parts, Proven: proven}
		g.suspects = append(g.suspects, seenSuspect{Suspect: s, runner: r, at: g.clk.Now()})
	}
	g.outbox.Unlock()
	wake(g.toSend)
}

// reportAnswered reports parts that had an answer.
func (g *guard) reportAnswered(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	now := g.clk.Now()
	g.outbox.Lock()
	maps.DeleteFunc(g.reported, func(_ partKey, at time.Time) bool { return now.Sub(at) >= answeredInterval })
	for _, p := range parts {
		k := partKey{service, p}
		if _, ok := g.reported[k]; !ok && len(g.answered) < maxReported {
			g.answered[k], g.reported[k] = struct{}{}, now
		}
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
	var group sync.WaitGroup
	group.Go(func() { g.sendReports(ctx) })
	group.Go(func() { g.keepQuarantines(ctx) })
	group.Wait()
	return nil
}

// sendReports sends what was observed to the owners until ctx ends.
func (g *guard) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.toSend:
		}
		g.deliver(ctx, g.takeReport(g.acceptingRunners(ctx)))
		_ = g.clk.Sleep(ctx, reportInterval)
	}
}

// acceptingRunners returns the identifiers of the runners of new suspects that accept
// connections, and so may not have crashed.
func (g *guard) acceptingRunners(ctx context.Context) map[string]bool {
	if g.prober == nil {
		return nil
	}
	g.outbox.Lock()
	runners := make(map[string]*inventory.Runner)
	for _, s := range g.suspects {
		runners[s.Runner] = s.runner
	}
	g.outbox.Unlock()
	accepting := make(map[string]bool)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	for id, r := range runners {
		group.Go(func() {
			ok := g.prober.Accepts(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			accepting[id] = ok
		})
	}
	group.Wait()
	return accepting
}

// takeReport returns what is to be reported, and earlier suspects if there are new
// ones. The parts of suspects at runners that accept connections count as proven.
func (g *guard) takeReport(accepting map[string]bool) report {
	now := g.clk.Now()
	g.outbox.Lock()
	defer g.outbox.Unlock()
	var r report
	for k := range g.answered {
		r.Answered = append(r.Answered, answeredPart{Service: k.service, Part: k.part})
	}
	clear(g.answered)
	if len(g.suspects) == 0 {
		return r
	}
	for i, s := range g.suspects {
		if accepting[s.Runner] {
			g.suspects[i].Proven = s.Parts
		}
	}
	for _, s := range slices.Concat(g.sent, g.suspects) {
		answered := g.answers.since(s.Service, s.Parts, s.at)
		s.Parts = slices.DeleteFunc(slices.Clone(s.Parts), func(p string) bool { return slices.Contains(answered, p) })
		s.AgeMillis = now.Sub(s.at).Milliseconds()
		if len(s.Parts) > 0 && now.Sub(s.at) < evidenceLife {
			r.Suspects = append(r.Suspects, s.Suspect)
		}
	}
	g.sent = append(g.sent, g.suspects...)
	g.sent = slices.Delete(g.sent, 0, max(0, len(g.sent)-maxRepeated))
	g.suspects = nil
	return r
}

// deliver sends a report to the owners. If one doesn't answer, its successor gets
// the report.
func (g *guard) deliver(ctx context.Context, r report) {
	tried := make(map[string]bool)
	for delivered := 0; delivered < ownerCount && len(tried) < maxDeliveries && ctx.Err() == nil; {
		var to string
		for _, name := range g.owners.Ranked(ownerKey, maxDeliveries) {
			if !tried[name] {
				to = name
				break
			}
		}
		if to == "" {
			if delivered == 0 && !tried[g.self] {
				g.accept(g.self, r)
			}
			return
		}
		tried[to] = true
		if to == g.self {
			g.accept(g.self, r)
			delivered++
			continue
		}
		calling, cancel := context.WithTimeout(ctx, reportTimeout)
		err := g.mesh.Call(instance.MarkIdempotent(calling), to, methodReport, r, nil)
		cancel()
		if err != nil {
			g.log.Info("owner of the quarantines doesn't answer", "owner", to, "error", err)
			g.owners.MarkUnavailable(to)
			continue
		}
		delivered++
	}
}

func (g *guard) serveReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a report").WithField(methodReport)
	}
	g.accept(from, r)
	return nil, nil
}

// accept adds a report to the evidence of this instance.
func (g *guard) accept(from string, r report) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range r.Suspects[:min(len(r.Suspects), maxRepeated+maxReported)] {
		if !g.detector.Report(from, s, now) {
			continue
		}
		g.log.Info("prompt parts suspected", "service", s.Service, "runner", s.Runner, "zone", s.Zone, "parts", s.Parts, "agoMillis", s.AgeMillis, "reporter", from)
	}
	inForce := g.current.Load().Quarantines
	for _, a := range r.Answered[:min(len(r.Answered), maxReported)] {
		g.detector.Answered(a.Service, []string{a.Part}, now)
		for _, q := range inForce {
			if q.Service == a.Service && slices.Contains(q.Parts, a.Part) {
				g.withdraw(*q, now, a.Part)
			}
		}
	}
	wake(g.toDecide)
}

// withdraw takes parts out of a quarantine in force. The caller holds mu.
func (g *guard) withdraw(q inventory.Quarantine, now time.Time, parts ...string) {
	if now.Sub(g.removed[q.ID]) < readDelay {
		return
	}
	rest, ok := g.withdrawn[q.ID]
	if !ok {
		rest = q
	}
	rest, _ = without(rest, parts)
	g.withdrawn[q.ID] = rest
}

// keepQuarantines writes and removes quarantines until ctx ends.
func (g *guard) keepQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.toDecide:
		}
		for backoff := firstBackoff; ctx.Err() == nil; {
			more, err := g.settleOne(ctx)
			if !more {
				break
			}
			_ = g.clk.Sleep(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
			if err == nil {
				backoff = firstBackoff
			}
		}
	}
}

// settleOne makes one write to the store, and reports whether more may be due.
func (g *guard) settleOne(ctx context.Context) (more bool, err error) {
	due, old := g.due()
	if due != nil && g.refutedByAnswers(ctx, *due) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case due != nil:
		err = g.store.Put(ctx, *due, Life)
		g.log.Warn("quarantine written", "quarantine", due.ID, "service", due.Service, "parts", due.Parts, "evidenceMillis", due.Evidence.Milliseconds(), "error", err)
		if err == nil {
			g.mu.Lock()
			g.written[due.ID] = g.clk.Now()
			g.mu.Unlock()
		}
	case old != "":
		err = g.store.Remove(ctx, old)
		g.log.Info("quarantine withdrawn", "quarantine", old, "error", err)
		if err == nil {
			g.mu.Lock()
			delete(g.withdrawn, old)
			delete(g.written, old)
			g.removed[old] = g.clk.Now()
			g.mu.Unlock()
		}
	default:
		return g.awaitsRead(), nil
	}
	return true, err
}

// refutedByAnswers asks other instances whether parts of a quarantine had an answer
// since the first crash, and clears the evidence for them. Instances that don't
// answer in time are passed over.
func (g *guard) refutedByAnswers(ctx context.Context, q inventory.Quarantine) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := answersRequest{Service: q.Service, Parts: q.Parts, WithinMillis: q.Evidence.Milliseconds()}
	var group sync.WaitGroup
	var mu sync.Mutex
	var answered []string
	for _, name := range g.owners.Ranked(q.ID, maxAsked) {
		if name == g.self {
			continue
		}
		group.Go(func() {
			var resp answersResponse
			if err := g.mesh.Call(instance.MarkIdempotent(ctx), name, methodAnswers, req, &resp); err != nil {
				g.log.Debug("instance not asked for answers", "instance", name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, resp.Parts...)
		})
	}
	group.Wait()
	answered = slices.DeleteFunc(answered, func(p string) bool { return !slices.Contains(q.Parts, p) })
	if len(answered) == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Answered(q.Service, answered, g.clk.Now())
	if rest, ok := g.withdrawn[q.ID]; ok {
		g.withdrawn[q.ID], _ = without(rest, answered)
	}
	return true
}

func (g *guard) serveAnswers(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req answersRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodAnswers)
	}
	within := min(max(0, req.WithinMillis), evidenceLife.Milliseconds())
	at := g.clk.Now().Add(-time.Duration(within) * time.Millisecond)
	return answersResponse{Parts: g.answers.since(req.Service, req.Parts, at)}, nil
}

// due returns a quarantine to write, or the identifier of one to remove.
func (g *guard) due() (*inventory.Quarantine, string) {
	now := g.clk.Now()
	inForce := g.current.Load().Quarantines
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := func(q inventory.Quarantine) bool {
		_, ok := inForce[q.ID]
		return !ok && now.Sub(g.written[q.ID]) >= readDelay && len(inForce) < maxInForce
	}
	for _, q := range g.decide(inForce, now) {
		if missing(q) {
			return &q, ""
		}
	}
	if len(g.withdrawn) == 0 {
		return nil, ""
	}
	id := slices.Min(slices.Collect(maps.Keys(g.withdrawn)))
	if rest := g.withdrawn[id]; len(rest.Parts) > 0 && missing(rest) {
		return &rest, ""
	}
	return nil, id
}

// decide returns the quarantines that the evidence calls for, without the parts
// that had an answer at this instance. The caller holds mu.
func (g *guard) decide(inForce map[string]*inventory.Quarantine, now time.Time) []inventory.Quarantine {
	var known []inventory.Quarantine
	for _, q := range inForce {
		known = append(known, *q)
	}
	for {
		list, refuted := g.detector.Decide(known, now)
		for _, id := range refuted {
			g.withdraw(inventory.Quarantine{ID: id}, now)
		}
		cleared := false
		for _, q := range list {
			if answered := g.answers.since(q.Service, q.Parts, now.Add(-q.Evidence)); len(answered) > 0 {
				g.detector.Answered(q.Service, answered, now)
				cleared = true
			}
		}
		if !cleared {
			return list
		}
	}
}

// awaitsRead reports whether a write isn't in the snapshot yet, and forgets the
// others.
func (g *guard) awaitsRead() bool {
	now := g.clk.Now()
	inForce := g.current.Load().Quarantines
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.written, func(id string, at time.Time) bool { return inForce[id] != nil || now.Sub(at) >= 2*readDelay })
	maps.DeleteFunc(g.removed, func(_ string, at time.Time) bool { return now.Sub(at) >= readDelay })
	return len(g.written) > 0
}
