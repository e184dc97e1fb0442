package placement

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/cost"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Methods that instances call on each other. A method whose parameters change gets
// another name, as in package stage, unless the new ones may be missing.
const (
	methodPlace    = "placement.engine"
	methodHome     = "placement.zone"
	methodProgress = "placement.tell"
)

const (
	// placeTimeout bounds the request to the owner for an engine. It allows for
	// several round trips and is short compared to the processing of a prompt.
	placeTimeout = 80 * time.Millisecond
	// progressTimeout bounds a progress report.
	progressTimeout = 300 * time.Millisecond
)

// NewShared returns a placer that has the calls of each shard placed by one
// instance, its owner, which tracks the calls of all instances. If the owner
// doesn't answer, this instance places the call by the calls that it tracks
// itself.
func NewShared(clk clock.Clock, self string, owners owner.Finder, mesh instance.Mesh, localPlacer Local, targets target.Set, log hclog.Logger) Placer {
	s := &shared{clk: clk, self: self, owners: owners, mesh: mesh, local: localPlacer, targets: targets, log: log}
	mesh.Handle(methodPlace, s.servePlace)
	mesh.Handle(methodHome, s.serveHome)
	mesh.Handle(methodProgress, s.serveProgress)
	return s
}

type shared struct {
	clk     clock.Clock
	self    string
	owners  owner.Finder
	mesh    instance.Mesh
	local   Local
	targets target.Set
	log     hclog.Logger
	// group tracks the progress reports in flight.
	group sync.WaitGroup
}

// placeBody is a request sent to another instance. UntilMicros is the time
// until Request.Deadline, since clocks are not compared between instances.
type placeBody struct {
	ID          string        `json:"id"`
	Shard       shard.Shard   `json:"shard"`
	Prompt      target.Prompt `json:"prompt"`
	Zone        string        `json:"zone,omitempty"`
	InputBytes  int64         `json:"inputBytes,omitempty"`
	Avoid       []string      `json:"avoid,omitempty"`
	UntilMicros int64         `json:"untilMicros"`
	// Route, MaxOutput and OutputHint are those of Request.Output. Older builds don't
	// send them.
	Route      string `json:"route,omitempty"`
	MaxOutput  int    `json:"maxOutput,omitempty"`
	OutputHint int    `json:"outputHint,omitempty"`
	// Version is that of Request. Older builds ignore it, and may choose another one.
	Version *string `json:"version,omitempty"`
}

// placedBody is the response: the identifier of the runner that was chosen, or
// the zone of the prompt's home.
type placedBody struct {
	Runner string `json:"runner,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// ExpectedMicros is the expected time until the first event. Older builds don't
	// send it.
	ExpectedMicros int64 `json:"expectedMicros,omitempty"`
}

// progressBody reports the progress of a call: its first event, or its end.
type progressBody struct {
	ID    string `json:"id"`
	Ended bool   `json:"ended"`
	// Broke is set if the engine couldn't be reached.
	Broke bool `json:"broke,omitempty"`
	// AfterMicros is the time from the dispatch to the first event. Older builds don't
	// send it.
	AfterMicros int64 `json:"afterMicros,omitempty"`
	// Tokens are the output tokens of a complete answer. Older builds don't send them.
	Tokens int `json:"tokens,omitempty"`
}

// ownerKey is the key under which the owners of shards are chosen.
const ownerKey = "placement"

// callOwner calls a method of the owner with a request.
func (s *shared) callOwner(ctx context.Context, to, method string, r Request) (placedBody, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	b := placeBody{
		ID: r.ID, Shard: r.Shard, Prompt: r.Prompt, Zone: r.Zone, InputBytes: r.InputBytes,
		UntilMicros: r.Deadline.Sub(s.clk.Now()).Microseconds(), Route: r.Output.Route, MaxOutput: r.Output.Max, OutputHint: r.Output.Hint,
		Version: r.Version,
	}
	for _, t := range slices.Concat(s.targets.Excluded(r.Shard.Service), r.Avoid) {
		b.Avoid = append(b.Avoid, t.Runner().ID)
	}
	var out placedBody
	err := s.mesh.Call(instance.MarkIdempotent(ctx), to, method, b, &out)
	return out, err
}

func (s *shared) Place(ctx context.Context, r Request) Place {
	to := s.owners.OfShard(ownerKey, r.Shard)
	if to == "" || to == s.self {
		return s.local.Place(ctx, r)
	}
	placed, err := s.callOwner(ctx, to, methodPlace, r)
	if err != nil && ctx.Err() == nil {
		// The connection may have been lost while the instance is still running:
		// retry once.
		placed, err = s.callOwner(ctx, to, methodPlace, r)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.log.Warn("owner of a placement doesn't answer", "owner", to, "service", r.Shard.Service, "shardZone", r.Shard.Zone, "request", r.ID, "error", err)
			s.owners.MarkUnavailable(to)
		}
		return s.local.Place(ctx, r)
	}
	t := s.targets.Find(placed.Runner)
	if t == nil || !s.targets.AcceptsCalls(t) || !r.accepts(t) {
		// The owner's snapshot is older or newer than this instance's, or it is an older build.
		s.reportProgress(to, progressBody{ID: r.ID, Ended: true})
		return s.local.Place(ctx, r)
	}
	return &remotePlace{shared: s, owner: to, target: t, id: r.ID, expected: micros(placed.ExpectedMicros)}
}

func (s *shared) Home(ctx context.Context, r Request) string {
	to := s.owners.OfShard(ownerKey, r.Shard)
	if to == "" || to == s.self {
		return s.local.Home(ctx, r)
	}
	placed, err := s.callOwner(ctx, to, methodHome, r)
	if err != nil {
		s.log.Debug("owner didn't return the home of a prompt, choosing locally", "owner", to, "request", r.ID, "error", err)
		return s.local.Home(ctx, r)
	}
	return placed.Zone
}

// reportProgress sends the progress of a call to its owner. If a report is
// lost, the owner drops the call at its deadline.
func (s *shared) reportProgress(to string, b progressBody) {
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.MarkIdempotent(ctx), to, methodProgress, b, nil); err != nil {
			s.log.Debug("progress of a call not reported", "owner", to, "request", b.ID, "error", err)
		}
	})
}

// decode decodes a request of another instance. Engines to avoid that this
// instance doesn't know are ignored, since they can't be chosen.
func (s *shared) decode(method string, params json.RawMessage) (Request, error) {
	var b placeBody
	if err := json.Unmarshal(params, &b); err != nil {
		return Request{}, fault.Wrap(fault.BadRequest, err, "decode a request").WithField(method)
	}
	r := Request{
		ID: b.ID, Shard: b.Shard, Prompt: b.Prompt, Zone: b.Zone, InputBytes: b.InputBytes,
		Deadline: s.clk.Now().Add(micros(b.UntilMicros)), Output: cost.Request{Route: b.Route, Max: b.MaxOutput, Hint: b.OutputHint},
		Version: b.Version,
	}
	for _, id := range b.Avoid {
		if t := s.targets.Find(id); t != nil {
			r.Avoid = append(r.Avoid, t)
		}
	}
	return r, nil
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (s *shared) servePlace(_ context.Context, _ string, params json.RawMessage) (any, error) {
	r, err := s.decode(methodPlace, params)
	if err != nil {
		return nil, err
	}
	runner, expected := s.local.Begin(r)
	return placedBody{Runner: runner, ExpectedMicros: expected.Microseconds()}, nil
}

func (s *shared) serveHome(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	r, err := s.decode(methodHome, params)
	if err != nil {
		return nil, err
	}
	return placedBody{Zone: s.local.Home(ctx, r)}, nil
}

func (s *shared) serveProgress(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b progressBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode progress").WithField(methodProgress)
	}
	switch {
	case b.Broke:
		s.local.Unreachable(b.ID)
	case b.Ended:
		s.local.End(b.ID, b.Tokens)
	default:
		s.local.Answer(b.ID, micros(b.AfterMicros))
	}
	return nil, nil
}

// remotePlace is a Place tracked by another instance.
type remotePlace struct {
	shared *shared
	owner  string
	target *target.Target
	id     string
	// expected is zero if the owner didn't say.
	expected time.Duration
	// tokens are the output tokens of a complete answer.
	tokens int
	// endOnce ensures that the end is reported only once.
	endOnce sync.Once
}

func (p *remotePlace) Target() *target.Target { return p.target }

func (p *remotePlace) Expected() time.Duration { return p.expected }

func (p *remotePlace) Answered(after time.Duration) {
	p.shared.reportProgress(p.owner, progressBody{ID: p.id, AfterMicros: after.Microseconds()})
}

func (p *remotePlace) Unreachable() { p.reportEnd(progressBody{ID: p.id, Ended: true, Broke: true}) }

func (p *remotePlace) Completed(tokens int) { p.tokens = tokens }

func (p *remotePlace) Ended() { p.reportEnd(progressBody{ID: p.id, Ended: true, Tokens: p.tokens}) }

func (p *remotePlace) reportEnd(b progressBody) {
	p.endOnce.Do(func() { p.shared.reportProgress(p.owner, b) })
}
