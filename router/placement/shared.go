package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Methods that other instances answer.
const (
	methodPlace = "placement.place"
	methodHome  = "placement.home"
	methodTell  = "placement.tell"
)

const (
	// placeTimeout bounds the question where a call goes: several round trips,
	// and little against what a prompt takes.
	placeTimeout = 80 * time.Millisecond
	// tellTimeout bounds the notice of a call's progress.
	tellTimeout = 300 * time.Millisecond
)

// NewShared returns a placer that has the calls of each service placed by one
// instance, which knows what all instances have sent. Without its answer the
// call is placed by what this instance knows.
func NewShared(clk clock.Clock, self string, owners owner.Finder, mesh instance.Mesh, own Local, targets target.Set, log hclog.Logger) Placer {
	s := &shared{clk: clk, self: self, owners: owners, mesh: mesh, own: own, targets: targets, log: log}
	mesh.Handle(methodPlace, s.servePlace)
	mesh.Handle(methodHome, s.serveHome)
	mesh.Handle(methodTell, s.serveTell)
	return s
}

type shared struct {
	clk     clock.Clock
	self    string
	owners  owner.Finder
	mesh    instance.Mesh
	own     Local
	targets target.Set
	log     hclog.Logger
	// group has the notices on their way.
	group sync.WaitGroup
}

// placeBody is a request on its way to another instance.
type placeBody struct {
	ID          string        `json:"id"`
	Service     string        `json:"service"`
	Prompt      target.Prompt `json:"prompt"`
	Zone        string        `json:"zone,omitempty"`
	InputBytes  int64         `json:"inputBytes,omitempty"`
	Avoid       []string      `json:"avoid,omitempty"`
	UntilMicros int64         `json:"untilMicros"`
}

// placedBody is the answer: the runner, or a zone.
type placedBody struct {
	Runner string `json:"runner,omitempty"`
	Zone   string `json:"zone,omitempty"`
}

// tellBody is the progress of a call.
type tellBody struct {
	ID    string `json:"id"`
	Ended bool   `json:"ended"`
	// Broke is set if the engine couldn't be reached.
	Broke bool `json:"broke,omitempty"`
}

// matter names what is owned.
func matter(service string) string { return "placement/" + service }

func (s *shared) ask(ctx context.Context, to, method string, r Request) (placedBody, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	b := placeBody{
		ID: r.ID, Service: r.Service, Prompt: r.Prompt, Zone: r.Zone, InputBytes: r.InputBytes,
		UntilMicros: r.Until.Sub(s.clk.Now()).Microseconds(),
	}
	for _, t := range r.Avoid {
		b.Avoid = append(b.Avoid, t.Runner().ID)
	}
	var out placedBody
	err := s.mesh.Call(instance.Repeatable(ctx), to, method, b, &out)
	return out, err
}

func (s *shared) Place(ctx context.Context, r Request) Place {
	to := s.owners.Of(matter(r.Service))
	if to == "" || to == s.self {
		return s.own.Place(ctx, r)
	}
	placed, err := s.ask(ctx, to, methodPlace, r)
	if err != nil && ctx.Err() == nil {
		// A connection may have been lost without its instance: ask once more.
		placed, err = s.ask(ctx, to, methodPlace, r)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("owner of a placement doesn't answer", "owner", to, "service", r.Service, "request", r.ID, "error", err)
			s.owners.Away(to)
		}
		return s.own.Place(ctx, r)
	}
	t := s.targets.Find(placed.Runner)
	if t == nil || !s.targets.MayUse(t) {
		// The owner's view is older or newer than this instance's.
		s.tell(to, tellBody{ID: r.ID, Ended: true})
		return s.own.Place(ctx, r)
	}
	return &remotePlace{shared: s, owner: to, target: t, id: r.ID}
}

func (s *shared) Home(ctx context.Context, r Request) string {
	to := s.owners.Of(matter(r.Service))
	if to == "" || to == s.self {
		return s.own.Home(ctx, r)
	}
	placed, err := s.ask(ctx, to, methodHome, r)
	if err != nil {
		s.log.Debug("home of a prompt not known", "owner", to, "request", r.ID, "error", err)
		return s.own.Home(ctx, r)
	}
	return placed.Zone
}

// tell passes the progress of a call on. A lost notice is made good when the
// call's time is over.
func (s *shared) tell(to string, b tellBody) {
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.Repeatable(ctx), to, methodTell, b, nil); err != nil {
			s.log.Debug("progress of a call not told", "owner", to, "request", b.ID, "error", err)
		}
	})
}

// decode returns a request of another instance. Engines that this instance
// doesn't know can't be chosen, so that they needn't be avoided.
func (s *shared) decode(method string, params json.RawMessage) (Request, error) {
	var b placeBody
	if err := json.Unmarshal(params, &b); err != nil {
		return Request{}, fault.Wrap(fault.BadRequest, err, "decode a request").WithField(method)
	}
	r := Request{
		ID: b.ID, Service: b.Service, Prompt: b.Prompt, Zone: b.Zone, InputBytes: b.InputBytes,
		Until: s.clk.Now().Add(time.Duration(b.UntilMicros) * time.Microsecond),
	}
	for _, id := range b.Avoid {
		if t := s.targets.Find(id); t != nil {
			r.Avoid = append(r.Avoid, t)
		}
	}
	return r, nil
}

func (s *shared) servePlace(_ context.Context, _ string, params json.RawMessage) (any, error) {
	r, err := s.decode(methodPlace, params)
	if err != nil {
		return nil, err
	}
	return placedBody{Runner: s.own.Begin(r)}, nil
}

func (s *shared) serveHome(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	r, err := s.decode(methodHome, params)
	if err != nil {
		return nil, err
	}
	return placedBody{Zone: s.own.Home(ctx, r)}, nil
}

func (s *shared) serveTell(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b tellBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode progress").WithField(methodTell)
	}
	switch {
	case b.Broke:
		s.own.Break(b.ID)
	case b.Ended:
		s.own.End(b.ID)
	default:
		s.own.Answer(b.ID)
	}
	return nil, nil
}

// remotePlace is a place in another instance's tracker.
type remotePlace struct {
	shared *shared
	owner  string
	target *target.Target
	id     string
	// end is used up by the one notice of the end.
	end sync.Once
}

func (p *remotePlace) Target() *target.Target { return p.target }

func (p *remotePlace) Answered() { p.shared.tell(p.owner, tellBody{ID: p.id}) }

func (p *remotePlace) Broke() { p.last(tellBody{ID: p.id, Ended: true, Broke: true}) }

func (p *remotePlace) Ended() { p.last(tellBody{ID: p.id, Ended: true}) }

func (p *remotePlace) last(b tellBody) { p.end.Do(func() { p.shared.tell(p.owner, b) }) }
