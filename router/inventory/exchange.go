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
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/progress"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
)

// methodInventory requests the snapshot or the changes of an instance.
const methodInventory = "inventory.get"

const (
	// fetchAfter is how long the store has to be failing before other instances
	// are asked. It is longer than one lost answer takes, and a fraction of the
	// bound on applying a configuration.
	fetchAfter = 600 * time.Millisecond
	// fetchEvery is the delay between two requests for a snapshot.
	fetchEvery = 300 * time.Millisecond
	// askAfterReturn is how many others are asked after the store came back from a copy. They
	// may have read a later version before.
	askAfterReturn = 8
	// leadPollInterval is the delay between two requests for changes to a lead: a
	// fraction of the bound on draining.
	leadPollInterval = 400 * time.Millisecond
	// leadPollTimeout bounds the time in which nothing of the answer to a request for
	// changes arrives: several round trips.
	leadPollTimeout = 250 * time.Millisecond
	// suspendFor is how long reads of the store are suspended after an answer of
	// the lead: until the next answer, or that of the lead's successor, is due.
	suspendFor = leadPollInterval + 2*leadPollTimeout
)

// Bounds on requests to other instances. An answer may be as large as the configuration,
// so its duration depends on the link. Another instance is asked if it takes longer than
// the total.
var (
	// fetchLimits bound a request for a snapshot.
	fetchLimits = progress.Limits{Silence: 500 * time.Millisecond, Total: 2 * time.Second}
	// leadPollLimits bound a request for changes to a lead.
	leadPollLimits = progress.Limits{Silence: leadPollTimeout, Total: time.Second}
)

// ExchangeOption changes a default of NewExchange.
type ExchangeOption func(*exchange)

// WithSeeds sets the identifiers of instances that are asked while no other
// instances are known.
func WithSeeds(ids []string) ExchangeOption { return func(e *exchange) { e.seeds = ids } }

// WithRolloutsRequired sets whether the answers of leads of older builds, which don't have
// the changes of rollouts, are ignored. The default is false. If it is true, instances
// with such a lead read the store themselves.
func WithRolloutsRequired(on bool) ExchangeOption {
	return func(e *exchange) { e.rolloutsRequired = on }
}

// Exchange passes the content of the store between instances. An instance that
// gets no answers from the store, or that holds back removals of runners, fetches
// snapshots from other instances. Within a zone, a few instances, called
// leads, read the store. Each of the others follows one lead: its Follower gets
// the changes from that lead and reads the store only if they don't come in time.
type Exchange interface {
	// Run sends requests to other instances until ctx ends.
	Run(ctx context.Context) error
	// Starting reports whether this instance has just started and waits for the first answers
	// of others, since the store may hold an older copy of what is in force.
	Starting() bool
}

// LeadFinder chooses the leads of a zone. Its methods are those of owner.Finder.
type LeadFinder interface {
	Ranked(key string, n int) []string
	MarkUnavailable(name string)
}

// leadKey is the key by which leads are chosen.
const leadKey = "inventory"

// NewExchange returns the exchange of an instance and handles the requests of
// other instances. Without leads each instance reads the store itself.
func NewExchange(clk clock.Clock, self string, current *Current, f Follower, leads LeadFinder, mesh instance.Mesh, numbers random.Source, log hclog.Logger, opts ...ExchangeOption) Exchange {
	e := &exchange{clk: clk, self: self, current: current, follower: f, leads: leads, mesh: mesh, random: numbers, log: log, known: make(chan struct{}, 1), search: search{open: true}}
	for _, opt := range opts {
		opt(e)
	}
	current.Subscribe(e.recent.note)
	current.Subscribe(func(*Snapshot) {
		select {
		case e.known <- struct{}{}:
		default:
		}
	})
	mesh.Handle(methodInventory, e.serve)
	return e
}

type exchange struct {
	clk      clock.Clock
	self     string
	current  *Current
	follower Follower
	leads    LeadFinder
	mesh     instance.Mesh
	random   random.Source
	log      hclog.Logger
	// seeds are asked while no other instance is known.
	seeds []string
	// rolloutsRequired is whether the answers of older builds are ignored.
	rolloutsRequired bool
	// recent has the configurations that other instances may still have.
	recent recentTables
	// search is for what was in force before the present era.
	search search
	// known receives a value when the view changes. Its buffer holds one value.
	known chan struct{}

	// lead is the instance that issued mark.
	lead string
	mark mark
}

// getRequest is a request for a snapshot or for changes. Version is that of the
// configuration that the requesting instance has.
type getRequest struct {
	Version int64 `json:"version"`
	// Changes is set in requests to a lead. After is the mark of the last answer.
	Changes bool `json:"changes,omitempty"`
	After   mark `json:"after,omitzero"`
	// Earlier is the era of the requesting instance in its search for what was in force
	// before that; zero in other requests. Older builds answer with a snapshot.
	Earlier int64 `json:"earlier,omitempty"`
	// Patches is set if the requesting instance takes patches of configurations and
	// compressed answers. Older builds take neither.
	Patches bool `json:"patches,omitempty"`
}

// getResponse is the wire form of a snapshot, or of changes if Complete is set.
type getResponse struct {
	// AgeMicros is the age of the answering instance's view.
	AgeMicros int64 `json:"ageMicros"`
	// SteadyMicros is for how long the answering instance has had answers of the
	// store without an outage.
	SteadyMicros int64 `json:"steadyMicros"`
	Revision     int64 `json:"revision"`
	// Era is that of all revisions in the response. It is missing in the answers of older
	// builds.
	Era int64 `json:"era,omitempty"`
	// EraMicros is for how long the era has been known, while items of an earlier one are
	// carried; zero otherwise.
	EraMicros int64 `json:"eraMicros,omitempty"`
	// Late is set if the answering instance knows only what the store holds in its present
	// era. The answer to a search has nothing more then. Older builds never set it.
	Late bool `json:"late,omitempty"`
	// Searching is set while the answering instance may still learn from others what was in
	// force before the era.
	Searching bool `json:"searching,omitempty"`
	// Mark is the position after the changes or the snapshot, for the next
	// request.
	Mark mark `json:"mark,omitzero"`
	// Complete is set if Changes are all changes after the requested mark.
	Complete bool         `json:"complete,omitempty"`
	Changes  []wireChange `json:"changes,omitempty"`
	// Config or Patch is the configuration. Both are omitted if the requesting instance
	// has that version.
	Config   *routing.Config `json:"config,omitempty"`
	Patch    *routing.Patch  `json:"patch,omitempty"`
	Runners  []wireRunner    `json:"runners,omitempty"`
	ZonesOut []string        `json:"zonesOut,omitempty"`
	// ZonesCarried has those of ZonesOut that are carried.
	ZonesCarried []string `json:"zonesCarried,omitempty"`
	// Ended has the items that have ended in the era, while EraMicros is set.
	Ended     []itemKey        `json:"ended,omitempty"`
	ZonesBack []wireZoneReturn `json:"zonesBack,omitempty"`
	Instances []wireInstance   `json:"instances,omitempty"`
	// Quarantines is missing in the answers of older builds.
	Quarantines []wireQuarantine `json:"quarantines,omitempty"`
	// HasRollouts is set if the changes, or RolloutOrders and Rollouts, include all
	// rollouts. Older builds have none of the three.
	HasRollouts   bool               `json:"hasRollouts,omitempty"`
	RolloutOrders []wireRolloutOrder `json:"rolloutOrders,omitempty"`
	Rollouts      []wireRollout      `json:"rollouts,omitempty"`
	// HasVersions is set if the changes, or Versions, include all records of versions.
	// Older builds have neither.
	HasVersions bool           `json:"hasVersions,omitempty"`
	Versions    []wireVersions `json:"versions,omitempty"`
	// Compressed is a whole response, compressed. All other fields are empty then.
	Compressed []byte `json:"compressed,omitempty"`
}

// wireRunner is the wire form of a runner's description. ColdMicros is the rest
// of its cold start at the time of the answer.
type wireRunner struct {
	Runner
	Revision   int64 `json:"Revision"`
	ColdMicros int64 `json:"coldMicros"`
	// LapsedAt is the revision at which the description was removed, if the
	// removal is held back, as in Snapshot.HeldRemovals.
	LapsedAt int64 `json:"lapsedAt,omitempty"`
}

// wireZoneReturn is the wire form of a zone's return. AgoMicros is the time
// since the answering instance read the return.
type wireZoneReturn struct {
	Zone      string `json:"zone"`
	Revision  int64  `json:"revision"`
	AgoMicros int64  `json:"agoMicros"`
}

// wireInstance is the wire form of a registration.
type wireInstance struct {
	Instance
	Revision int64 `json:"Revision"`
}

// wireVersions is the wire form of a record of versions.
type wireVersions struct {
	ServiceVersions
	Revision int64 `json:"revision"`
}

// wireQuarantine is the wire form of a quarantine. AgoMicros is the time since the
// answering instance read it.
type wireQuarantine struct {
	Quarantine
	Revision  int64 `json:"Revision"`
	AgoMicros int64 `json:"agoMicros"`
}

// wireRolloutOrder is the wire form of an order. AgoMicros is the time since the
// answering instance read it.
type wireRolloutOrder struct {
	rollout.Order
	Revision  int64 `json:"revision"`
	AgoMicros int64 `json:"agoMicros"`
}

// wireRollout is the wire form of a decision, with the store's revision of it.
// AgoMicros is the time since the answering instance read it.
type wireRollout struct {
	rollout.State
	Revision  int64 `json:"revision"`
	AgoMicros int64 `json:"agoMicros"`
}

func (e *exchange) Run(ctx context.Context) error {
	var group sync.WaitGroup
	if e.leads != nil {
		group.Go(func() { e.followLead(ctx) })
	}
	group.Go(func() { e.runSearch(ctx) })
	defer group.Wait()
	known, round := int64(0), 0
	for e.clk.Sleep(ctx, fetchEvery) == nil {
		view := e.current.Load()
		if known > 0 && view.Revision.Era > known {
			round = askAfterReturn
		}
		known = view.Revision.Era
		if round == 0 && e.follower.FailingFor() < fetchAfter && len(view.HeldRemovals) == 0 {
			continue
		}
		round = max(0, round-1)
		others := slices.Sorted(maps.Keys(view.Instances))
		others = slices.DeleteFunc(others, func(name string) bool { return name == e.self })
		if len(others) == 0 {
			others = e.seeds
		}
		if len(others) == 0 {
			continue
		}
		if name := others[e.random.IntN(len(others))]; ctx.Err() == nil {
			e.fetchSnapshot(ctx, name)
		}
	}
	return nil
}

// fetchSnapshot requests the snapshot of another instance and adopts it.
func (e *exchange) fetchSnapshot(ctx context.Context, name string) {
	ctx, cancel := progress.WithLimits(ctx, e.clk, clock.SystemTimers(), fetchLimits)
	defer cancel()
	start, own := e.clk.Now(), e.current.Load().Table
	resp, err := e.fetch(ctx, name, own, getRequest{})
	if err != nil {
		e.log.Debug("could not fetch the snapshot of another instance", "instance", name, "error", err)
		return
	}
	if err := e.adopt(name, resp, own, start); err != nil {
		e.log.Warn("invalid answer from another instance", "instance", name, "error", err)
	}
}

// fetch sends a request for what is missing in this instance's view with the configuration
// own, which may be nil.
func (e *exchange) fetch(ctx context.Context, name string, own *routing.Table, req getRequest) (getResponse, error) {
	req.Patches = true
	if own != nil {
		req.Version = own.Version()
	}
	start := e.clk.Now()
	var raw json.RawMessage
	if err := e.mesh.Call(instance.MarkIdempotent(ctx), name, methodInventory, req, &raw); err != nil {
		return getResponse{}, err
	}
	LogSize(e.log, name, len(raw), e.clk.Now().Sub(start))
	var resp getResponse
	if err := json.Unmarshal(raw, &resp); err != nil {
		return getResponse{}, fault.Wrap(fault.Internal, err, "decode an answer").WithField(methodInventory)
	}
	return resp.decompressed()
}

// adopt passes the answer to a request made at start, with the configuration own, to the
// follower.
func (e *exchange) adopt(name string, resp getResponse, own *routing.Table, start time.Time) error {
	now := e.clk.Now()
	freshness := Freshness{ConfirmedAt: start.Add(-micros(resp.AgeMicros)), ConnectedSince: now.Add(-micros(resp.SteadyMicros))}
	if resp.Complete {
		changes, err := resp.changes(own, now)
		if err != nil {
			return err
		}
		e.follower.AdoptChanges(name, changes, resp.at(resp.Revision), freshness)
		return nil
	}
	s, err := resp.snapshot(own, now)
	if err != nil {
		return err
	}
	e.follower.AdoptSnapshot(name, s, freshness)
	e.noteSnapshot(name, resp)
	return nil
}

func (e *exchange) serve(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req getRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodInventory)
	}
	if e.current.Load().Table == nil {
		return nil, fault.New(fault.NotReady, "nothing is known here")
	}
	resp := e.response(req)
	if !req.Patches {
		return resp, nil
	}
	return resp.compressed()
}

// response returns the changes after the requested mark, or a snapshot.
func (e *exchange) response(req getRequest) getResponse {
	now := e.clk.Now()
	if !req.Changes {
		view, freshness := e.follower.View()
		if view.Late && req.Earlier > 0 && req.Earlier <= view.Revision.Era {
			return getResponse{Revision: view.Revision.Number, Era: view.Revision.Era, Late: true, Searching: e.search.searching()}
		}
		return e.snapshotResponse(view, freshness, req, now)
	}
	u := e.follower.UpdateSince(req.After)
	if !u.complete {
		resp := e.snapshotResponse(u.snapshot, u.freshness, req, now)
		resp.Mark = u.mark
		return resp
	}
	resp := getResponse{Revision: u.snapshot.Revision.Number, Era: u.snapshot.Revision.Era, Mark: u.mark, Complete: true, HasRollouts: true, HasVersions: true}
	resp.setFreshness(u.freshness, now)
	for _, c := range u.changes {
		wire := newWireChange(c, now)
		if c.Table != nil {
			wire.Config, wire.Patch = e.configFor(c.Table, req)
		}
		resp.Changes = append(resp.Changes, wire)
	}
	return resp
}

// configFor returns a configuration in the form that the requesting instance takes: whole,
// or as the difference from the one that it has. Both are nil if it has that version.
func (e *exchange) configFor(table *routing.Table, req getRequest) (*routing.Config, *routing.Patch) {
	switch {
	case table.Version() == req.Version:
		return nil, nil
	case !req.Patches:
		cfg := table.Config()
		return &cfg, nil
	}
	patch := routing.NewPatch(e.recent.find(req.Version), table)
	return nil, &patch
}

// snapshotResponse returns the response with a snapshot.
func (e *exchange) snapshotResponse(s *Snapshot, freshness Freshness, req getRequest, now time.Time) getResponse {
	resp := getResponse{
		Revision: s.Revision.Number, Era: s.Revision.Era, ZonesOut: slices.Sorted(maps.Keys(s.ZonesOut)),
		ZonesCarried: slices.Sorted(maps.Keys(s.CarriedZones)),
	}
	resp.setFreshness(freshness, now)
	resp.Late, resp.Searching = s.Late, s.Revision.Era > 0 && e.search.searching()
	if !s.EraSince.IsZero() {
		resp.Ended = slices.Collect(maps.Keys(s.Ended))
		resp.EraMicros = max(1, now.Sub(s.EraSince).Microseconds())
	}
	resp.Config, resp.Patch = e.configFor(s.Table, req)
	for zone, back := range s.ReturnedZones {
		resp.ZonesBack = append(resp.ZonesBack, wireZoneReturn{Zone: zone, Revision: back.Revision.Number, AgoMicros: now.Sub(back.SeenAt).Microseconds()})
	}
	for id, r := range s.Runners {
		wire := newWireRunner(r, now)
		wire.LapsedAt = s.HeldRemovals[id].Number
		resp.Runners = append(resp.Runners, wire)
	}
	for _, q := range s.Quarantines {
		resp.Quarantines = append(resp.Quarantines, newWireQuarantine(q, now))
	}
	for _, i := range s.Instances {
		resp.Instances = append(resp.Instances, newWireInstance(i))
	}
	resp.HasVersions = true
	for _, v := range s.Versions {
		resp.Versions = append(resp.Versions, newWireVersions(v))
	}
	resp.HasRollouts = true
	for _, o := range s.RolloutOrders {
		resp.RolloutOrders = append(resp.RolloutOrders, newWireRolloutOrder(o, now))
	}
	for _, st := range s.Rollouts {
		resp.Rollouts = append(resp.Rollouts, newWireRollout(st, now))
	}
	return resp
}

// setFreshness sets how current and how reliable the answering instance's view
// is.
func (resp *getResponse) setFreshness(s Freshness, now time.Time) {
	resp.AgeMicros = now.Sub(s.ConfirmedAt).Microseconds()
	if !s.ConnectedSince.IsZero() {
		resp.SteadyMicros = now.Sub(s.ConnectedSince).Microseconds()
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func newWireRunner(r *Runner, now time.Time) wireRunner {
	return wireRunner{Runner: *r, Revision: r.Revision.Number, ColdMicros: (r.Cold - now.Sub(r.SeenAt)).Microseconds()}
}

// at returns a revision of the response.
func (resp getResponse) at(number int64) era.Revision { return era.New(resp.Era, number) }

// runner converts the description, as if this instance had read it now.
func (resp getResponse) runner(r wireRunner, now time.Time) *Runner {
	out := r.Runner
	out.Revision, out.Cold, out.SeenAt = resp.at(r.Revision), micros(r.ColdMicros), now
	return &out
}

func newWireInstance(i Instance) wireInstance {
	return wireInstance{Instance: i, Revision: i.Revision.Number}
}

func (resp getResponse) instance(i wireInstance) Instance {
	out := i.Instance
	out.Revision = resp.at(i.Revision)
	return out
}

func newWireVersions(v ServiceVersions) wireVersions {
	return wireVersions{ServiceVersions: v, Revision: v.Revision.Number}
}

func (resp getResponse) serviceVersions(v wireVersions) ServiceVersions {
	out := v.ServiceVersions
	out.Revision = resp.at(v.Revision)
	return out
}

func newWireQuarantine(q *Quarantine, now time.Time) wireQuarantine {
	return wireQuarantine{Quarantine: *q, Revision: q.Revision.Number, AgoMicros: now.Sub(q.SeenAt).Microseconds()}
}

// quarantine converts the quarantine, as if this instance had read it itself.
func (resp getResponse) quarantine(q wireQuarantine, now time.Time) *Quarantine {
	out := q.Quarantine
	out.Revision, out.SeenAt = resp.at(q.Revision), now.Add(-micros(q.AgoMicros))
	return &out
}

func newWireRolloutOrder(o rollout.Order, now time.Time) wireRolloutOrder {
	return wireRolloutOrder{Order: o, Revision: o.Revision.Number, AgoMicros: now.Sub(o.SeenAt).Microseconds()}
}

// order converts the order, as if this instance had read it itself.
func (resp getResponse) order(o wireRolloutOrder, now time.Time) rollout.Order {
	out := o.Order
	out.Revision, out.SeenAt = resp.at(o.Revision), now.Add(-micros(o.AgoMicros))
	return out
}

func newWireRollout(st rollout.State, now time.Time) wireRollout {
	return wireRollout{State: st, Revision: st.Revision.Number, AgoMicros: now.Sub(st.SeenAt).Microseconds()}
}

// state converts the decision, as if this instance had read it itself.
func (resp getResponse) state(s wireRollout, now time.Time) rollout.State {
	out := s.InEra(resp.Era)
	out.Revision, out.SeenAt = resp.at(s.Revision), now.Add(-micros(s.AgoMicros))
	return out
}

// snapshot converts the response, with the given configuration if it has none.
func (resp getResponse) snapshot(table *routing.Table, now time.Time) (*Snapshot, error) {
	s := &Snapshot{
		Table: table, Revision: resp.at(resp.Revision), Late: resp.Late, Runners: make(map[string]*Runner, len(resp.Runners)),
		ZonesOut: make(map[string]bool), CarriedZones: make(map[string]bool), ReturnedZones: make(map[string]ZoneReturn), Instances: make(map[string]Instance),
		HeldRemovals: make(map[string]era.Revision), Quarantines: make(map[string]*Quarantine),
	}
	if t, err := newTable(table, resp.Config, resp.Patch); err != nil {
		return nil, err
	} else if t != nil {
		s.Table = t
	}
	for _, r := range resp.Runners {
		s.Runners[r.ID] = resp.runner(r, now)
		if r.LapsedAt > 0 {
			s.HeldRemovals[r.ID] = resp.at(r.LapsedAt)
		}
	}
	for _, b := range resp.ZonesBack {
		s.ReturnedZones[b.Zone] = ZoneReturn{Revision: resp.at(b.Revision), SeenAt: now.Add(-micros(b.AgoMicros))}
	}
	for _, z := range resp.ZonesOut {
		s.ZonesOut[z] = true
	}
	resp.carried(s, now)
	for _, i := range resp.Instances {
		s.Instances[i.Name] = resp.instance(i)
	}
	for _, q := range resp.Quarantines {
		s.applyQuarantine(Change{Quarantine: resp.quarantine(q, now)})
	}
	if resp.HasVersions {
		s.Versions = make(map[string]ServiceVersions)
		for _, v := range resp.Versions {
			s.Versions[v.Service] = resp.serviceVersions(v)
		}
	}
	if resp.HasRollouts {
		s.RolloutOrders, s.Rollouts = resp.rollouts(now)
	}
	return s, nil
}

// carried sets what the response says of items that are carried.
func (resp getResponse) carried(s *Snapshot, now time.Time) {
	s.Ended = make(map[itemKey]bool, len(resp.Ended))
	if resp.EraMicros == 0 {
		return
	}
	s.EraSince = now.Add(-micros(resp.EraMicros))
	for _, z := range resp.ZonesCarried {
		s.CarriedZones[z] = true
	}
	for _, key := range resp.Ended {
		s.Ended[key] = true
	}
}

func (resp getResponse) rollouts(now time.Time) (map[string]rollout.Order, map[string]rollout.State) {
	orders, states := make(map[string]rollout.Order), make(map[string]rollout.State)
	for _, o := range resp.RolloutOrders {
		orders[o.Service] = resp.order(o, now)
	}
	for _, st := range resp.Rollouts {
		states[st.Service] = resp.state(st, now)
	}
	return orders, states
}
