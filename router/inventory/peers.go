package inventory

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
)

// methodInventory asks an instance for what it knows.
const methodInventory = "inventory.get"

const (
	// askAfter is how long the store doesn't answer until other instances are
	// asked: longer than a lost answer, a fraction of the bounds on applying a
	// configuration.
	askAfter = 600 * time.Millisecond
	// askEvery is the pause between two questions.
	askEvery = 300 * time.Millisecond
	// askTimeout bounds a question.
	askTimeout = 500 * time.Millisecond
	// followEvery is the pause between two questions to the instance that reads
	// the store for others: a fraction of the bound on draining.
	followEvery = 400 * time.Millisecond
	// followTimeout bounds such a question: several round trips.
	followTimeout = 250 * time.Millisecond
	// restFor is how long an answer lets the store alone: until the next answer
	// is due, or its successor's.
	restFor = followEvery + 2*followTimeout
)

// ExchangeOption changes a default of an exchange.
type ExchangeOption func(*exchange)

// WithSeeds sets the identifiers of instances that are asked while no other is
// known.
func WithSeeds(ids []string) ExchangeOption { return func(e *exchange) { e.seeds = ids } }

// Exchange lets instances learn from each other what the store holds: those that
// the store doesn't answer from any other, and all from the one that reads the
// store for its neighbours.
type Exchange interface {
	// Run asks other instances until ctx ends.
	Run(ctx context.Context) error
}

// Leads finds the instances that read the store for their neighbours. Its methods
// are those of owner.Finder.
type Leads interface {
	First(matter string, n int) []string
	Away(name string)
}

// matter names what a lead is for.
const matter = "inventory"

// NewExchange returns the exchange of an instance. Without leads each instance
// reads the store itself.
func NewExchange(clk clock.Clock, self string, current *Current, f Follower, leads Leads, mesh instance.Mesh, numbers random.Source, log hclog.Logger, opts ...ExchangeOption) Exchange {
	e := &exchange{clk: clk, self: self, current: current, follower: f, leads: leads, mesh: mesh, random: numbers, log: log}
	for _, opt := range opts {
		opt(e)
	}
	mesh.Handle(methodInventory, e.serve)
	return e
}

type exchange struct {
	clk      clock.Clock
	self     string
	current  *Current
	follower Follower
	leads    Leads
	mesh     instance.Mesh
	random   random.Source
	log      hclog.Logger
	// seeds are asked while no other instance is known.
	seeds []string

	// lead is the instance that mark is of.
	lead string
	mark mark
}

// question tells what the asking instance has.
type question struct {
	Version int64 `json:"version"`
	// Changes is set by instances that follow this one, After what they have of
	// its changes.
	Changes bool `json:"changes,omitempty"`
	After   mark `json:"after,omitzero"`
}

// knowledge is a snapshot on its way to another instance.
type knowledge struct {
	// AgeMicros is how old the answering instance's confirmation is.
	AgeMicros int64 `json:"ageMicros"`
	// SteadyMicros is for how long the answering instance has heard of the store
	// without an outage.
	SteadyMicros int64 `json:"steadyMicros"`
	Revision     int64 `json:"revision"`
	// Mark is where the next changes begin.
	Mark mark `json:"mark,omitzero"`
	// Complete is set if Changes stand for all that follows.
	Complete bool          `json:"complete,omitempty"`
	Changes  []knownChange `json:"changes,omitempty"`
	// Config is left out where the asking instance has it.
	Config    *routing.Config `json:"config,omitempty"`
	Runners   []knownRunner   `json:"runners,omitempty"`
	ZonesOut  []string        `json:"zonesOut,omitempty"`
	ZonesBack []knownReturn   `json:"zonesBack,omitempty"`
	Instances []Instance      `json:"instances,omitempty"`
}

// knownRunner is a runner's description. What it says of its cold time counts
// from the answer.
type knownRunner struct {
	Runner
	ColdMicros int64 `json:"coldMicros"`
	// LapsedAt is the revision at which the description was removed, if that may
	// be a lapse.
	LapsedAt int64 `json:"lapsedAt,omitempty"`
}

// knownReturn is the return of a zone some time before the answer.
type knownReturn struct {
	Zone      string `json:"zone"`
	Revision  int64  `json:"revision"`
	AgoMicros int64  `json:"agoMicros"`
}

func (e *exchange) Run(ctx context.Context) error {
	var group sync.WaitGroup
	if e.leads != nil {
		group.Go(func() { e.follow(ctx) })
	}
	defer group.Wait()
	for e.clk.Sleep(ctx, askEvery) == nil {
		if e.follower.Failing() < askAfter && len(e.current.Load().Lapsed) == 0 {
			continue
		}
		others := slices.Sorted(maps.Keys(e.current.Load().Instances))
		others = slices.DeleteFunc(others, func(name string) bool { return name == e.self })
		if len(others) == 0 {
			others = e.seeds
		}
		if len(others) == 0 {
			continue
		}
		if name := others[e.random.IntN(len(others))]; ctx.Err() == nil {
			e.ask(ctx, name)
		}
	}
	return nil
}

// ask takes over all that another instance knows.
func (e *exchange) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	start := e.clk.Now()
	k, err := e.question(ctx, name, question{})
	if err != nil {
		e.log.Debug("another instance didn't tell what it knows", "instance", name, "error", err)
		return
	}
	if err := e.adopt(name, k, start); err != nil {
		e.log.Warn("what another instance knows was not understood", "instance", name, "error", err)
	}
}

func (e *exchange) question(ctx context.Context, name string, q question) (knowledge, error) {
	if own := e.current.Load().Table; own != nil {
		q.Version = own.Version()
	}
	var k knowledge
	err := e.mesh.Call(instance.Repeatable(ctx), name, methodInventory, q, &k)
	return k, err
}

// adopt takes over what another instance told in answer to a question that was
// asked at start.
func (e *exchange) adopt(name string, k knowledge, start time.Time) error {
	now := e.clk.Now()
	standing := Standing{Confirmed: start.Add(-micros(k.AgeMicros)), Steady: now.Add(-micros(k.SteadyMicros))}
	if k.Complete {
		changes, err := k.changes(now)
		if err != nil {
			return err
		}
		e.follower.AdoptChanges(name, changes, k.Revision, standing)
		return nil
	}
	s, err := k.snapshot(e.current.Load().Table, now)
	if err != nil {
		return err
	}
	e.follower.Adopt(name, s, standing)
	return nil
}

func (e *exchange) serve(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodInventory)
	}
	if e.current.Load().Table == nil {
		return nil, fault.New(fault.NotReady, "nothing is known here")
	}
	now := e.clk.Now()
	if !q.Changes {
		return e.all(e.current.Load(), e.follower.Standing(), q.Version, now), nil
	}
	t := e.follower.Tell(q.After)
	if !t.complete {
		k := e.all(t.snapshot, t.standing, q.Version, now)
		k.Mark = t.mark
		return k, nil
	}
	k := knowledge{Revision: t.snapshot.Revision, Mark: t.mark, Complete: true}
	k.stand(t.standing, now)
	for _, c := range t.changes {
		k.Changes = append(k.Changes, knownChangeOf(c, now))
	}
	return k, nil
}

// all returns a snapshot on its way to an instance that has a version of the
// configuration.
func (e *exchange) all(s *Snapshot, standing Standing, version int64, now time.Time) knowledge {
	k := knowledge{
		Revision: s.Revision, ZonesOut: slices.Sorted(maps.Keys(s.ZonesOut)), Instances: slices.Collect(maps.Values(s.Instances)),
	}
	k.stand(standing, now)
	if s.Table.Version() != version {
		cfg := s.Table.Config()
		k.Config = &cfg
	}
	for zone, back := range s.ZonesBack {
		k.ZonesBack = append(k.ZonesBack, knownReturn{Zone: zone, Revision: back.Revision, AgoMicros: now.Sub(back.SeenAt).Microseconds()})
	}
	for id, r := range s.Runners {
		known := knownRunnerOf(r, now)
		known.LapsedAt = s.Lapsed[id]
		k.Runners = append(k.Runners, known)
	}
	return k
}

// stand notes how far the answering instance's view can be relied on.
func (k *knowledge) stand(s Standing, now time.Time) {
	k.AgeMicros = now.Sub(s.Confirmed).Microseconds()
	if !s.Steady.IsZero() {
		k.SteadyMicros = now.Sub(s.Steady).Microseconds()
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func knownRunnerOf(r *Runner, now time.Time) knownRunner {
	return knownRunner{Runner: *r, ColdMicros: (r.Cold - now.Sub(r.SeenAt)).Microseconds()}
}

// runner returns the runner as this instance would have read it now.
func (r knownRunner) runner(now time.Time) *Runner {
	out := r.Runner
	out.Cold, out.SeenAt = micros(r.ColdMicros), now
	return &out
}

// snapshot returns the knowledge with a known configuration where it is left
// out.
func (k knowledge) snapshot(table *routing.Table, now time.Time) (*Snapshot, error) {
	s := &Snapshot{
		Table: table, Revision: k.Revision, Runners: make(map[string]*Runner, len(k.Runners)),
		ZonesOut: make(map[string]bool), ZonesBack: make(map[string]Return), Instances: make(map[string]Instance),
		Lapsed: make(map[string]int64),
	}
	if k.Config != nil {
		t, err := routing.NewTable(*k.Config)
		if err != nil {
			return nil, err
		}
		s.Table = t
	}
	for _, r := range k.Runners {
		s.Runners[r.ID] = r.runner(now)
		if r.LapsedAt > 0 {
			s.Lapsed[r.ID] = r.LapsedAt
		}
	}
	for _, b := range k.ZonesBack {
		s.ZonesBack[b.Zone] = Return{Revision: b.Revision, SeenAt: now.Add(-micros(b.AgoMicros))}
	}
	for _, z := range k.ZonesOut {
		s.ZonesOut[z] = true
	}
	for _, i := range k.Instances {
		s.Instances[i.Name] = i
	}
	return s, nil
}
