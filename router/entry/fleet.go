package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/settings"
	"golang.org/x/sync/errgroup"
)

// Methods that instances call on each other.
const (
	// methodExplain returns the decisions on a request.
	methodExplain = "journal.explain"
	// methodVersion returns the bundle version in force.
	methodVersion = "bundle.version"
)

const (
	// queryTimeout bounds the query to one instance.
	queryTimeout = time.Second
	// maxConcurrentQueries is how many instances are queried at once.
	maxConcurrentQueries = 32
)

// fleet queries all known instances for their status and their decisions.
type fleet struct {
	self     string
	registry *registry
	mesh     instance.Network
	journal  journal.Journal
	catalog  *catalog.Current
}

func newFleet(cfg settings.Settings, g *registry, mesh instance.Network, j journal.Writer, c *catalog.Current) *fleet {
	return &fleet{self: cfg.ID, registry: g, mesh: mesh, journal: j, catalog: c}
}

type explainParams struct {
	Request string `json:"request"`
}

// versionAnswer is the bundle version in force at an instance.
type versionAnswer struct {
	Bundle uint64 `json:"bundle"`
}

// handle registers the methods that answer other instances' queries.
func (f *fleet) handle() {
	f.mesh.Handle(methodExplain, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var p explainParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(methodExplain)
		}
		return f.decisions(p.Request), nil
	})
	f.mesh.Handle(methodVersion, func(context.Context, string, json.RawMessage) (any, error) {
		return versionAnswer{Bundle: f.catalog.Version()}, nil
	})
}

// forEachInstance calls do for each known instance, up to maxConcurrentQueries
// at once, and waits for all of them.
func (f *fleet) forEachInstance(ctx context.Context, do func(ctx context.Context, row platformapi.Instance)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, row := range f.registry.Known() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			do(ctx, row)
			return nil
		})
	}
	_ = group.Wait()
}

// Instances returns a row for each known instance. The bundle version is zero
// for an instance that does not answer.
func (f *fleet) Instances(ctx context.Context) ([]operatorapi.InstanceStatus, error) {
	var mu sync.Mutex
	out := []operatorapi.InstanceStatus{}
	f.forEachInstance(ctx, func(ctx context.Context, row platformapi.Instance) {
		s := operatorapi.InstanceStatus{ID: row.ID, Zone: row.Zone, Address: row.Address, State: string(row.State)}
		var v versionAnswer
		if f.mesh.Call(instance.MarkIdempotent(ctx), row.ID, methodVersion, struct{}{}, &v) == nil {
			s.Bundle = v.Bundle
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, s)
	})
	slices.SortFunc(out, func(a, b operatorapi.InstanceStatus) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

// Explain collects the decisions on a request from every instance. Besides the
// instance that accepted the request, the home instance of its idempotency key
// records decisions. Instances that do not answer are listed in Unreachable.
func (f *fleet) Explain(ctx context.Context, request string) (operatorapi.Explanation, error) {
	out := operatorapi.Explanation{Request: request, Decisions: []operatorapi.Decision{}}
	if _, ok := instanceOf(request); !ok {
		return out, fault.New(fault.BadRequest, "found %q, allowed is an identifier from an answer", request).WithField("request")
	}
	var mu sync.Mutex
	f.forEachInstance(ctx, func(ctx context.Context, row platformapi.Instance) {
		var decisions []operatorapi.Decision
		err := f.mesh.Call(instance.MarkIdempotent(ctx), row.ID, methodExplain, explainParams{Request: request}, &decisions)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Unreachable = append(out.Unreachable, row.ID)
			return
		}
		out.Decisions = append(out.Decisions, decisions...)
	})
	slices.Sort(out.Unreachable)
	sortDecisions(out.Decisions)
	return out, nil
}

func (f *fleet) decisions(request string) []operatorapi.Decision {
	recorded := f.journal.Explain(request)
	out := make([]operatorapi.Decision, 0, len(recorded))
	for _, d := range recorded {
		out = append(out, operatorapi.Decision{
			At:       d.At,
			Instance: f.self,
			Step:     string(d.Step),
			Stage:    d.Stage,
			Attempt:  d.Attempt,
			Runner:   d.Runner,
			Reason:   d.Reason,
			Micros:   d.Took.Microseconds(),
		})
	}
	return out
}

// sortDecisions sorts the decisions of several instances by time.
func sortDecisions(ds []operatorapi.Decision) {
	slices.SortStableFunc(ds, func(a, b operatorapi.Decision) int { return a.At.Compare(b.At) })
}
