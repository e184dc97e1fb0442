// Package demand tells the instances at which rates teams ask, so that each
// admits its part of the teams' limits.
package demand

import (
	"context"
	"encoding/json"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/quota"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// method brings a report to the home of its teams.
const method = "quota.demand"

const (
	// period is the time between two reports.
	period = time.Second
	// timeout bounds the way of one report and its answer.
	timeout = 500 * time.Millisecond
	// fanOut is how many reports are under way at once.
	fanOut = 16
)

// Quotas tells the demand here and takes in that of others.
type Quotas interface {
	Reports(now time.Time) map[string]quota.Report
	Collect(r quota.Report, now time.Time) quota.Totals
	Learn(t quota.Totals, now time.Time)
}

// Parts are what an exchange is built from.
type Parts struct {
	Self   string
	Clock  clock.Clock
	Log    hclog.Logger
	Mesh   instance.Mesh
	Quotas Quotas
}

// Exchange spreads the demand of teams.
type Exchange interface {
	// Run reports until ctx ends.
	Run(ctx context.Context) error
}

// New returns an exchange and sets its handler on the mesh.
func New(p Parts) Exchange {
	e := &exchange{Parts: p}
	p.Mesh.Handle(method, e.collect)
	return e
}

type exchange struct{ Parts }

func (e *exchange) Run(ctx context.Context) error {
	for {
		if err := e.Clock.Sleep(ctx, period); err != nil {
			return err
		}
		e.report(ctx)
	}
}

// report tells the homes of the teams that asked here of it. A home that does
// not answer leaves the shares of its teams as they are until they expire.
func (e *exchange) report(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(fanOut)
	for home, r := range e.Quotas.Reports(e.Clock.Now()) {
		if home == e.Self {
			now := e.Clock.Now()
			e.Quotas.Learn(e.Quotas.Collect(r, now), now)
			continue
		}
		group.Go(func() error {
			e.send(ctx, home, r)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) send(ctx context.Context, home string, r quota.Report) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var totals quota.Totals
	if err := e.Mesh.Call(instance.Repeatable(ctx), home, method, r, &totals); err != nil {
		e.Log.Debug("demand not reported", "instance", home, "error", err)
		return
	}
	e.Quotas.Learn(totals, e.Clock.Now())
}

// collect takes in the report of the instance that the connection belongs to.
func (e *exchange) collect(_ context.Context, from string, raw json.RawMessage) (any, error) {
	var r quota.Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode report").WithField(method)
	}
	r.From = from
	return e.Quotas.Collect(r, e.Clock.Now()), nil
}
