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

// Methods that other instances answer.
const (
	// methodExplain asks for the decisions on a request.
	methodExplain = "journal.explain"
	// methodVersion asks for the bundle version in force.
	methodVersion = "bundle.version"
)

const (
	// askTimeout bounds a question to one instance.
	askTimeout = time.Second
	// askAtOnce is how many instances are asked at once.
	askAtOnce = 32
)

// fleet tells which instances there are and what they decided.
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

// handle answers other instances about this one.
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

// each calls do for each known instance, several at once.
func (f *fleet) each(ctx context.Context, do func(ctx context.Context, row platformapi.Instance)) {
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for _, row := range f.registry.Known() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			do(ctx, row)
			return nil
		})
	}
	_ = group.Wait()
}

// Instances returns a row for each known instance.
func (f *fleet) Instances(ctx context.Context) ([]operatorapi.InstanceStatus, error) {
	var mu sync.Mutex
	out := []operatorapi.InstanceStatus{}
	f.each(ctx, func(ctx context.Context, row platformapi.Instance) {
		s := operatorapi.InstanceStatus{ID: row.ID, Zone: row.Zone, Address: row.Address, State: string(row.State)}
		var v versionAnswer
		if f.mesh.Call(instance.Repeatable(ctx), row.ID, methodVersion, struct{}{}, &v) == nil {
			s.Bundle = v.Bundle
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, s)
	})
	slices.SortFunc(out, func(a, b operatorapi.InstanceStatus) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

// Explain asks every instance what it decided: besides the one that took the
// request in, the home of its key has a part.
func (f *fleet) Explain(ctx context.Context, request string) (operatorapi.Explanation, error) {
	out := operatorapi.Explanation{Request: request, Decisions: []operatorapi.Decision{}}
	if _, ok := instanceOf(request); !ok {
		return out, fault.New(fault.BadRequest, "found %q, allowed is an identifier from an answer", request).WithField("request")
	}
	var mu sync.Mutex
	f.each(ctx, func(ctx context.Context, row platformapi.Instance) {
		var some []operatorapi.Decision
		err := f.mesh.Call(instance.Repeatable(ctx), row.ID, methodExplain, explainParams{Request: request}, &some)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Silent = append(out.Silent, row.ID)
			return
		}
		out.Decisions = append(out.Decisions, some...)
	})
	slices.Sort(out.Silent)
	sortDecisions(out.Decisions)
	return out, nil
}

func (f *fleet) decisions(request string) []operatorapi.Decision {
	kept := f.journal.Explain(request)
	out := make([]operatorapi.Decision, 0, len(kept))
	for _, d := range kept {
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

// sortDecisions puts decisions of several instances in the order of their time.
func sortDecisions(ds []operatorapi.Decision) {
	slices.SortStableFunc(ds, func(a, b operatorapi.Decision) int { return a.At.Compare(b.At) })
}
