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
	"github.com/hashicorp/go-hclog"
)

// Methods that other instances answer.
const (
	methodMake    = "stage.make"
	methodAbandon = "stage.abandon"
	methodFree    = "stage.free"
	methodReserve = "stage.reserve"
	methodCancel  = "stage.cancel"
)

const (
	// reserveTimeout bounds the question whether an order can be made: a
	// fraction of what a stage takes.
	reserveTimeout = 100 * time.Millisecond
	// abandonTimeout bounds the notice that an order is of no use any more.
	abandonTimeout = 300 * time.Millisecond
)

// NewShared returns a maker that has the pieces of each service gathered at one
// instance of the fleet, which is the same for all as long as they know the same
// instances. If it doesn't answer, its successor is asked; the last resort is
// this instance's own maker. Pieces may be made twice then, which does no harm.
func NewShared(clk clock.Clock, self string, owners owner.Finder, mesh instance.Mesh, own Maker, log hclog.Logger) Maker {
	s := &shared{
		clk: clk, self: self, owners: owners, mesh: mesh, own: own, log: log,
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
	own    Maker
	log    hclog.Logger
	// group has the notices on their way.
	group sync.WaitGroup

	mu sync.Mutex
	// orders has those of other instances that are being made here.
	orders map[string]context.CancelFunc
}

// orderBody is an order on its way to another instance. Times are durations,
// since clocks are not compared between instances.
type orderBody struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Pieces      []Piece `json:"pieces"`
	UntilMicros int64   `json:"untilMicros"`
	DueMicros   int64   `json:"dueMicros"`
	Rank        int     `json:"rank"`
	AfterMicros int64   `json:"afterMicros"`
	Zone        string  `json:"zone,omitempty"`
	ResultBytes int64   `json:"resultBytes"`
}

type abandonBody struct {
	ID string `json:"id"`
}

type freeBody struct {
	Service string   `json:"service"`
	Results []Result `json:"results"`
}

func (s *shared) Make(ctx context.Context, o Order) []Result {
	last := ""
	for {
		to := s.owners.Of(matter(o.Service))
		if to == "" || to == s.self {
			return s.own.Make(ctx, o)
		}
		results, err := s.ask(ctx, to, o)
		if err == nil {
			return results
		}
		if ctx.Err() != nil {
			return failed(o, Abandoned)
		}
		s.log.Warn("owner of a stage doesn't answer", "owner", to, "service", o.Service, "order", o.ID, "error", err)
		// A connection may have been lost without its instance: ask once more.
		if last == to {
			s.owners.Away(to)
		}
		last = to
	}
}

// matter names what is owned.
func matter(service string) string { return "stage/" + service }

func failed(o Order, f Failure) []Result {
	out := make([]Result, len(o.Pieces))
	for i := range out {
		out[i].Failure = f
	}
	return out
}

// ask has an order made by another instance.
func (s *shared) ask(ctx context.Context, to string, o Order) ([]Result, error) {
	now := s.clk.Now()
	body := orderBody{
		ID: o.ID, Service: o.Service, Pieces: o.Pieces, Rank: o.Rank, Zone: o.Zone, ResultBytes: o.ResultBytes,
		UntilMicros: o.Until.Sub(now).Microseconds(), DueMicros: o.Due.Sub(now).Microseconds(), AfterMicros: o.After.Microseconds(),
	}
	var results []Result
	// Others may notice sooner that the owner is away.
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.owners.Watch(to, cancel)()
	err := s.mesh.Call(instance.Repeatable(asking), to, methodMake, body, &results)
	if err != nil && ctx.Err() != nil {
		s.group.Go(func() { s.abandon(to, o.ID) })
	}
	if err == nil && len(results) != len(o.Pieces) {
		err = fault.New(fault.Internal, "found %d results for %d pieces", len(results), len(o.Pieces))
	}
	return results, err
}

// abandon tells the owner that an order is of no use any more.
func (s *shared) abandon(to, order string) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	if err := s.mesh.Call(instance.Repeatable(ctx), to, methodAbandon, abandonBody{ID: order}, nil); err != nil {
		s.log.Debug("order not abandoned, it is made in vain", "owner", to, "order", order, "error", err)
	}
}

func (s *shared) serveMake(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var b orderBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode an order").WithField(methodMake)
	}
	now := s.clk.Now()
	o := Order{
		ID: b.ID, Service: b.Service, Pieces: b.Pieces, Rank: b.Rank, Zone: b.Zone, ResultBytes: b.ResultBytes,
		Until: now.Add(micros(b.UntilMicros)), Due: now.Add(micros(b.DueMicros)), After: micros(b.AfterMicros),
	}
	var results []Result
	instance.WhileConnected(ctx, func(ctx context.Context) {
		results = s.makeFor(ctx, o)
	})
	if len(results) > 0 && results[0].Failure == Refused {
		return nil, fault.New(fault.NotReady, "this instance has no runners of %q", b.Service)
	}
	return results, nil
}

// makeFor makes an order of another instance. Results that nobody waits for any
// more are given up here.
func (s *shared) makeFor(ctx context.Context, o Order) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.orders[o.ID] = cancel
	s.mu.Unlock()
	results := s.own.Make(ctx, o)
	s.mu.Lock()
	delete(s.orders, o.ID)
	s.mu.Unlock()
	if ctx.Err() != nil {
		s.own.Free(o.Service, results)
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

// Free has results given up by the owner of their service, which counts the
// room at runners.
func (s *shared) Free(service string, results []Result) {
	results = slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Handle == "" })
	if len(results) == 0 {
		return
	}
	to := s.owners.Of(matter(service))
	if to == "" || to == s.self {
		s.own.Free(service, results)
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.Repeatable(ctx), to, methodFree, freeBody{Service: service, Results: results}, nil); err != nil {
			s.log.Debug("results given up by this instance itself", "owner", to, "service", service, "error", err)
			s.own.Free(service, results)
		}
	})
}

func (s *shared) serveFree(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b freeBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode results to give up").WithField(methodFree)
	}
	s.own.Free(b.Service, b.Results)
	return nil, nil
}

// reservationBody is a reservation on its way to another instance.
type reservationBody struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Pieces      int    `json:"pieces"`
	ReadyMicros int64  `json:"readyMicros"`
	UntilMicros int64  `json:"untilMicros"`
	DueMicros   int64  `json:"dueMicros"`
	Rank        int    `json:"rank"`
	AfterMicros int64  `json:"afterMicros"`
}

type cancelBody struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// Reserve asks the owner of the service. Without an answer nothing is known
// against the order.
func (s *shared) Reserve(ctx context.Context, a Reservation) Forecast {
	to := s.owners.Of(matter(a.Service))
	if to == "" || to == s.self {
		return s.own.Reserve(ctx, a)
	}
	outer := ctx
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	now := s.clk.Now()
	body := reservationBody{
		ID: a.ID, Service: a.Service, Pieces: a.Pieces, Rank: a.Rank, ReadyMicros: a.Ready.Sub(now).Microseconds(),
		UntilMicros: a.Until.Sub(now).Microseconds(), DueMicros: a.Due.Sub(now).Microseconds(), AfterMicros: a.After.Microseconds(),
	}
	var f Forecast
	if err := s.mesh.Call(instance.Repeatable(ctx), to, methodReserve, body, &f); err != nil {
		if outer.Err() == nil {
			s.log.Warn("owner of a stage doesn't answer", "owner", to, "service", a.Service, "order", a.ID, "error", err)
			s.owners.Away(to)
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
	now := s.clk.Now()
	return s.own.Reserve(ctx, Reservation{
		ID: b.ID, Service: b.Service, Pieces: b.Pieces, Rank: b.Rank, Ready: now.Add(micros(b.ReadyMicros)),
		Until: now.Add(micros(b.UntilMicros)), Due: now.Add(micros(b.DueMicros)), After: micros(b.AfterMicros),
	}), nil
}

// Cancel tells the owner of the service. If it doesn't hear, the place is kept
// for a while in vain.
func (s *shared) Cancel(service, order string) {
	to := s.owners.Of(matter(service))
	if to == "" || to == s.self {
		s.own.Cancel(service, order)
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		if err := s.mesh.Call(instance.Repeatable(ctx), to, methodCancel, cancelBody{Service: service, ID: order}, nil); err != nil {
			s.log.Debug("order not cancelled", "owner", to, "order", order, "error", err)
		}
	})
}

func (s *shared) serveCancel(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b cancelBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a cancellation").WithField(methodCancel)
	}
	s.own.Cancel(b.Service, b.ID)
	return nil, nil
}
