package stage

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/shard"
	"github.com/hashicorp/go-hclog"
)

// Methods that instances call on each other. A method whose parameters change gets
// another name, so that instances of different builds refuse each other's calls
// during an upgrade instead of misreading them.
const (
	methodMake    = "stage.order"
	methodAbandon = "stage.abandon"
	methodFree    = "stage.release"
	methodReserve = "stage.reservation"
	methodCancel  = "stage.cancellation"
)

const (
	// reserveTimeout bounds a reservation request to the owner: a fraction of the
	// duration of a stage.
	reserveTimeout = 100 * time.Millisecond
	// abandonTimeout bounds a notification to the owner: an abandoned or cancelled
	// order, or results to free.
	abandonTimeout = 300 * time.Millisecond
)

// NewShared returns a maker that has the pieces of each shard batched by one
// instance of the fleet, its owner. All instances choose the same owner as long
// as they see the same instances. If the owner doesn't answer, its successor is
// tried, and finally this instance's local maker. Pieces may be made twice
// then, which is harmless.
func NewShared(clk clock.Clock, self string, owners owner.Finder, mesh instance.Mesh, local Maker, log hclog.Logger) Maker {
	s := &shared{
		clk: clk, self: self, owners: owners, mesh: mesh, local: local, log: log,
		orders: make(map[string]context.CancelFunc),
	}
	mesh.Handle(methodMake, s.serveMake)
	mesh.Handle(methodAbandon, s.serveAbandon)
	mesh.Handle(methodFree, s.serveFree)
	mesh.Handle(methodReserve, s.serveReserve)
	mesh.Handle(methodCancel, s.serveCancel)
	return s
}

type shared struct {
	clk    clock.Clock
	self   string
	owners owner.Finder
	mesh   instance.Mesh
	local  Maker
	log    hclog.Logger
	// group tracks the notifications in flight.
	group sync.WaitGroup

	mu sync.Mutex
	// orders has the orders of other instances in progress here, by identifier.
	orders map[string]context.CancelFunc
}

// orderBody is an order sent to another instance. Times are sent as durations
// from now, since clocks are not compared between instances: UntilMicros is the
// time until Order.Deadline, and AfterMicros is Order.MinRemaining.
type orderBody struct {
	ID          string      `json:"id"`
	Shard       shard.Shard `json:"shard"`
	Pieces      int         `json:"pieces"`
	Call        string      `json:"call"`
	Stage       int         `json:"stage"`
	Key         string      `json:"key,omitempty"`
	Inputs      []string    `json:"inputs,omitempty"`
	UntilMicros int64       `json:"untilMicros"`
	DueMicros   int64       `json:"dueMicros"`
	Rank        int         `json:"rank"`
	AfterMicros int64       `json:"afterMicros"`
	Zone        string      `json:"zone,omitempty"`
	ResultBytes int64       `json:"resultBytes"`
}

type abandonBody struct {
	ID string `json:"id"`
}

type freeBody struct {
	Shard   shard.Shard `json:"shard"`
	Results []Result    `json:"results"`
}

func (s *shared) Make(ctx context.Context, o Order) []Result {
	previous := ""
	for {
		to := s.owners.OfShard(ownerKey, o.Shard)
		if to == "" || to == s.self {
			return s.local.Make(ctx, o)
		}
		results, err := s.makeRemote(ctx, to, o)
		if err == nil {
			return results
		}
		if ctx.Err() != nil {
			return allFailed(o, Abandoned)
		}
		s.log.Warn("owner of a stage doesn't answer", "owner", to, "service", o.Shard.Service, "shardZone", o.Shard.Zone, "order", o.ID, "error", err)
		// The connection may have been lost while the instance is still running:
		// retry once before it is marked as unavailable.
		if previous == to {
			s.owners.MarkUnavailable(to)
		}
		previous = to
	}
}

// ownerKey is the key under which the owners of shards are chosen.
const ownerKey = "stage"

func allFailed(o Order, f Failure) []Result {
	out := make([]Result, o.Pieces)
	for i := range out {
		out[i].Failure = f
	}
	return out
}

// makeRemote sends an order to another instance and returns its results.
func (s *shared) makeRemote(ctx context.Context, to string, o Order) ([]Result, error) {
	now := s.clk.Now()
	body := orderBody{
		ID: o.ID, Shard: o.Shard, Pieces: o.Pieces, Call: o.Call, Stage: o.Stage, Key: o.Key, Inputs: o.Inputs,
		Rank: o.Rank, Zone: o.Zone, ResultBytes: o.ResultBytes,
		UntilMicros: o.Deadline.Sub(now).Microseconds(), DueMicros: o.Due.Sub(now).Microseconds(), AfterMicros: o.MinRemaining.Microseconds(),
	}
	var results []Result
	// Another request may detect first that the owner is unavailable.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.owners.Watch(to, cancel)()
	err := s.mesh.Call(instance.MarkIdempotent(callCtx), to, methodMake, body, &results)
	if err != nil && ctx.Err() != nil {
		s.group.Go(func() { s.abandon(to, o.ID) })
	}
	if err == nil && len(results) != o.Pieces {
		err = fault.New(fault.Internal, "found %d results for %d pieces", len(results), o.Pieces)
	}
	return results, err
}

// abandon notifies the owner that the results of an order are no longer needed.
func (s *shared) abandon(to, order string) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	if err := s.mesh.Call(instance.MarkIdempotent(ctx), to, methodAbandon, abandonBody{ID: order}, nil); err != nil {
		s.log.Debug("owner not notified of an abandoned order, the owner makes it needlessly", "owner", to, "order", order, "error", err)
	}
}

func (s *shared) serveMake(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var b orderBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode an order").WithField(methodMake)
	}
	if err := checkPieces(b.Pieces); err != nil {
		return nil, err
	}
	now := s.clk.Now()
	o := Order{
		ID: b.ID, Shard: b.Shard, Pieces: b.Pieces, Call: b.Call, Stage: b.Stage, Key: b.Key, Inputs: b.Inputs,
		Rank: b.Rank, Zone: b.Zone, ResultBytes: b.ResultBytes,
		Deadline: now.Add(micros(b.UntilMicros)), Due: now.Add(micros(b.DueMicros)), MinRemaining: micros(b.AfterMicros),
	}
	var results []Result
	instance.CancelOnDisconnect(ctx, func(ctx context.Context) {
		results = s.makeForPeer(ctx, o)
	})
	if len(results) > 0 && results[0].Failure == Refused {
		return nil, fault.New(fault.NotReady, "this instance has no runners of %q", b.Shard)
	}
	return results, nil
}

func checkPieces(n int) error {
	if n < 0 || n > MaxPieces {
		return fault.New(fault.BadRequest, "found %d, 0 to %d are allowed", n, MaxPieces).WithField("pieces")
	}
	return nil
}

// makeForPeer makes an order of another instance. If it was abandoned
// meanwhile, its results are freed here.
func (s *shared) makeForPeer(ctx context.Context, o Order) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.orders[o.ID] = cancel
	s.mu.Unlock()
	results := s.local.Make(ctx, o)
	s.mu.Lock()
	delete(s.orders, o.ID)
	s.mu.Unlock()
	if ctx.Err() != nil {
		s.local.Free(o.Shard, results)
	}
	return results
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (s *shared) serveAbandon(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b abandonBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode an abandoned order").WithField(methodAbandon)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.orders[b.ID]; cancel != nil {
		cancel()
	}
	return nil, nil
}

// Free releases results through the owner of their shard, which tracks the
// result memory of runners.
func (s *shared) Free(sh shard.Shard, results []Result) {
	results = slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Handle == "" })
	if len(results) == 0 {
		return
	}
	to := s.owners.OfShard(ownerKey, sh)
	if to == "" || to == s.self {
		s.local.Free(sh, results)
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.MarkIdempotent(ctx), to, methodFree, freeBody{Shard: sh, Results: results}, nil); err != nil {
			s.log.Debug("owner not reachable, this instance frees the results itself", "owner", to, "service", sh.Service, "shardZone", sh.Zone, "error", err)
			s.local.Free(sh, results)
		}
	})
}

func (s *shared) serveFree(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b freeBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode results to give up").WithField(methodFree)
	}
	s.local.Free(b.Shard, b.Results)
	return nil, nil
}

// reservationBody is a reservation sent to another instance, with times as in
// orderBody. ReadyMicros is the time until Reservation.EarliestArrival.
type reservationBody struct {
	ID          string      `json:"id"`
	Shard       shard.Shard `json:"shard"`
	Pieces      int         `json:"pieces"`
	ReadyMicros int64       `json:"readyMicros"`
	UntilMicros int64       `json:"untilMicros"`
	DueMicros   int64       `json:"dueMicros"`
	Rank        int         `json:"rank"`
	AfterMicros int64       `json:"afterMicros"`
}

type cancelBody struct {
	Shard shard.Shard `json:"shard"`
	ID    string      `json:"id"`
}

// Reserve asks the owner of the shard. If the owner doesn't answer, the order
// is not refused.
func (s *shared) Reserve(ctx context.Context, a Reservation) Forecast {
	to := s.owners.OfShard(ownerKey, a.Shard)
	if to == "" || to == s.self {
		return s.local.Reserve(ctx, a)
	}
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	now := s.clk.Now()
	body := reservationBody{
		ID: a.ID, Shard: a.Shard, Pieces: a.Pieces, Rank: a.Rank, ReadyMicros: a.EarliestArrival.Sub(now).Microseconds(),
		UntilMicros: a.Deadline.Sub(now).Microseconds(), DueMicros: a.Due.Sub(now).Microseconds(), AfterMicros: a.MinRemaining.Microseconds(),
	}
	var f Forecast
	if err := s.mesh.Call(instance.MarkIdempotent(ctx), to, methodReserve, body, &f); err != nil {
		if outer.Err() == nil {
			s.log.Warn("owner of a stage doesn't answer", "owner", to, "service", a.Shard.Service, "shardZone", a.Shard.Zone, "order", a.ID, "error", err)
			s.owners.MarkUnavailable(to)
		}
		return Forecast{}
	}
	return f
}

func (s *shared) serveReserve(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var b reservationBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a reservation").WithField(methodReserve)
	}
	if err := checkPieces(b.Pieces); err != nil {
		return nil, err
	}
	now := s.clk.Now()
	return s.local.Reserve(ctx, Reservation{
		ID: b.ID, Shard: b.Shard, Pieces: b.Pieces, Rank: b.Rank, EarliestArrival: now.Add(micros(b.ReadyMicros)),
		Deadline: now.Add(micros(b.UntilMicros)), Due: now.Add(micros(b.DueMicros)), MinRemaining: micros(b.AfterMicros),
	}), nil
}

// Cancel notifies the owner of the shard. If the notification is lost, the
// reservation stays until it expires.
func (s *shared) Cancel(sh shard.Shard, order string) {
	to := s.owners.OfShard(ownerKey, sh)
	if to == "" || to == s.self {
		s.local.Cancel(sh, order)
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.MarkIdempotent(ctx), to, methodCancel, cancelBody{Shard: sh, ID: order}, nil); err != nil {
			s.log.Debug("order not cancelled", "owner", to, "order", order, "error", err)
		}
	})
}

func (s *shared) serveCancel(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b cancelBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a cancellation").WithField(methodCancel)
	}
	s.local.Cancel(b.Shard, b.ID)
	return nil, nil
}
