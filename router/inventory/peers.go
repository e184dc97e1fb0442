package inventory

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
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
)

// Exchange lets instances that the store doesn't answer learn from those that it
// does.
type Exchange interface {
	// Run asks other instances, while the source fails, until ctx ends.
	Run(ctx context.Context) error
}

// NewExchange returns the exchange of an instance.
func NewExchange(clk clock.Clock, self string, current *Current, f Follower, mesh instance.Mesh, numbers random.Source, log hclog.Logger) Exchange {
	e := &exchange{clk: clk, self: self, current: current, follower: f, mesh: mesh, random: numbers, log: log}
	mesh.Handle(methodInventory, e.serve)
	return e
}

type exchange struct {
	clk      clock.Clock
	self     string
	current  *Current
	follower Follower
	mesh     instance.Mesh
	random   random.Source
	log      hclog.Logger
}

// question tells what the asking instance has.
type question struct {
	Version int64 `json:"version"`
}

// knowledge is a snapshot on its way to another instance.
type knowledge struct {
	// AgeMicros is how old the answering instance's confirmation is.
	AgeMicros int64 `json:"ageMicros"`
	Revision  int64 `json:"revision"`
	// Config is left out where the asking instance has it.
	Config    *routing.Config `json:"config,omitempty"`
	Runners   []knownRunner   `json:"runners"`
	ZonesOut  []string        `json:"zonesOut"`
	ZonesBack []knownReturn   `json:"zonesBack"`
	Instances []Instance      `json:"instances"`
}

// knownRunner is a runner's description. What it says of its cold time counts
// from the answer.
type knownRunner struct {
	Runner
	ColdMicros int64 `json:"coldMicros"`
}

// knownReturn is the return of a zone some time before the answer.
type knownReturn struct {
	Zone      string `json:"zone"`
	Revision  int64  `json:"revision"`
	AgoMicros int64  `json:"agoMicros"`
}

func (e *exchange) Run(ctx context.Context) error {
	for e.clk.Sleep(ctx, askEvery) == nil {
		if e.follower.Failing() < askAfter {
			continue
		}
		others := slices.Sorted(maps.Keys(e.current.Load().Instances))
		others = slices.DeleteFunc(others, func(name string) bool { return name == e.self })
		if len(others) == 0 {
			continue
		}
		if name := others[e.random.IntN(len(others))]; ctx.Err() == nil {
			e.ask(ctx, name)
		}
	}
	return nil
}

func (e *exchange) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	start := e.clk.Now()
	own := e.current.Load()
	var q question
	if own.Table != nil {
		q.Version = own.Table.Version()
	}
	var k knowledge
	if err := e.mesh.Call(instance.Repeatable(ctx), name, methodInventory, q, &k); err != nil {
		e.log.Debug("another instance didn't tell what it knows", "instance", name, "error", err)
		return
	}
	s, err := k.snapshot(own.Table, e.clk.Now())
	if err != nil {
		e.log.Warn("what another instance knows was not understood", "instance", name, "error", err)
		return
	}
	e.follower.Adopt(name, s, start.Add(-time.Duration(k.AgeMicros)*time.Microsecond))
}

func (e *exchange) serve(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodInventory)
	}
	s := e.current.Load()
	if s.Table == nil {
		return nil, fault.New(fault.NotReady, "nothing is known here")
	}
	k := knowledge{
		AgeMicros: e.current.Age().Microseconds(), Revision: s.Revision,
		ZonesOut: slices.Sorted(maps.Keys(s.ZonesOut)), Instances: slices.Collect(maps.Values(s.Instances)),
	}
	if s.Table.Version() != q.Version {
		cfg := s.Table.Config()
		k.Config = &cfg
	}
	now := e.clk.Now()
	for zone, back := range s.ZonesBack {
		k.ZonesBack = append(k.ZonesBack, knownReturn{Zone: zone, Revision: back.Revision, AgoMicros: now.Sub(back.SeenAt).Microseconds()})
	}
	for _, r := range s.Runners {
		k.Runners = append(k.Runners, knownRunner{Runner: *r, ColdMicros: (r.Cold - now.Sub(r.SeenAt)).Microseconds()})
	}
	return k, nil
}

// snapshot returns the knowledge with a known configuration where it is left
// out.
func (k knowledge) snapshot(table *routing.Table, now time.Time) (*Snapshot, error) {
	s := &Snapshot{
		Table: table, Revision: k.Revision, Runners: make(map[string]*Runner, len(k.Runners)),
		ZonesOut: make(map[string]bool), ZonesBack: make(map[string]Return), Instances: make(map[string]Instance),
	}
	if k.Config != nil {
		t, err := routing.NewTable(*k.Config)
		if err != nil {
			return nil, err
		}
		s.Table = t
	}
	for _, r := range k.Runners {
		runner := r.Runner
		runner.Cold, runner.SeenAt = time.Duration(r.ColdMicros)*time.Microsecond, now
		s.Runners[runner.ID] = &runner
	}
	for _, b := range k.ZonesBack {
		s.ZonesBack[b.Zone] = Return{Revision: b.Revision, SeenAt: now.Add(-time.Duration(b.AgoMicros) * time.Microsecond)}
	}
	for _, z := range k.ZonesOut {
		s.ZonesOut[z] = true
	}
	for _, i := range k.Instances {
		s.Instances[i.Name] = i
	}
	return s, nil
}
