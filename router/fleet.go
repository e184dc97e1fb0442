package main

import (
	"context"
	"encoding/json"
	"slices"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/settings"
)

// methodExplain asks an instance for its decisions on a request.
const methodExplain = "journal.explain"

// fleet tells which instances there are and what they decided.
type fleet struct {
	self    string
	list    platform.List
	mesh    instance.Network
	journal journal.Journal
	catalog *catalog.Current
}

func newFleet(cfg settings.Settings, list platform.List, mesh instance.Network, j journal.Writer, c *catalog.Current) *fleet {
	return &fleet{self: cfg.ID, list: list, mesh: mesh, journal: j, catalog: c}
}

type explainParams struct {
	Request string `json:"request"`
}

// handle answers other instances about decisions of this one.
func (f *fleet) handle() {
	f.mesh.Handle(methodExplain, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var p explainParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(methodExplain)
		}
		return f.decisions(p.Request), nil
	})
}

// Instances returns a row for each instance of the platform's list.
func (f *fleet) Instances(ctx context.Context) ([]operatorapi.InstanceStatus, error) {
	rows, err := f.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]operatorapi.InstanceStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, f.status(row))
	}
	return out, nil
}

func (f *fleet) status(row platformapi.Instance) operatorapi.InstanceStatus {
	s := operatorapi.InstanceStatus{ID: row.ID, Zone: row.Zone, Address: row.Address, State: string(row.State)}
	if row.ID == f.self {
		s.Bundle = f.catalog.Version()
	}
	return s
}

// Explain asks the instance that took the request in, and the others, since the
// home of a key may be another.
func (f *fleet) Explain(ctx context.Context, request string) (operatorapi.Explanation, error) {
	out := operatorapi.Explanation{Request: request, Decisions: []operatorapi.Decision{}}
	if _, ok := instanceOf(request); !ok {
		return out, fault.New(fault.BadRequest, "found %q, allowed is an identifier from an answer", request).WithField("request")
	}
	rows, err := f.list.Instances(ctx)
	if err != nil {
		return out, err
	}
	for _, row := range rows {
		var some []operatorapi.Decision
		if err := f.mesh.Call(ctx, row.ID, methodExplain, explainParams{Request: request}, &some); err != nil {
			out.Silent = append(out.Silent, row.ID)
			continue
		}
		out.Decisions = append(out.Decisions, some...)
	}
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
