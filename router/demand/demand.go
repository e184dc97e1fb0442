// Package demand exchanges the request rates of teams between instances, so
// that each instance enforces its share of the teams' limits.
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

// methodDemand sends a report to the owner of its teams.
const methodDemand = "quota.demand"

const (
	// reportPeriod is the time between two reports.
	reportPeriod = time.Second
	// reportTimeout limits the round trip of one report.
	reportTimeout = 500 * time.Millisecond
	// fanOut is the maximum number of concurrent calls.
	fanOut = 16
)

// Limiter measures the demand at this instance and combines it with that of the
// other instances; it is implemented by quota.Limiter.
type Limiter interface {
	EndPeriod(now time.Time) map[string]quota.Report
	RecordReport(r quota.Report, now time.Time) quota.Totals
	ApplyTotals(t quota.Totals, now time.Time)
}

// Parts holds the dependencies of an exchange.
type Parts struct {
	Self    string
	Clock   clock.Clock
	Log     hclog.Logger
	Mesh    instance.Mesh
	Limiter Limiter
}

// Exchange exchanges the demand of teams with other instances.
type Exchange interface {
	// Run sends reports periodically until ctx ends.
	Run(ctx context.Context) error
}

// New returns an exchange and registers its handler on the mesh.
func New(p Parts) Exchange {
	e := &exchange{Parts: p}
	p.Mesh.Handle(methodDemand, e.handleReport)
	return e
}

type exchange struct{ Parts }

func (e *exchange) Run(ctx context.Context) error {
	for {
		if err := e.Clock.Sleep(ctx, reportPeriod); err != nil {
			return err
		}
		e.reportAll(ctx)
	}
}

// reportAll reports the demand at this instance to the owners of the teams. If
// an owner does not answer, the shares of its teams stay unchanged until they
// expire.
func (e *exchange) reportAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(fanOut)
	for owner, r := range e.Limiter.EndPeriod(e.Clock.Now()) {
		if owner == e.Self {
			now := e.Clock.Now()
			e.Limiter.ApplyTotals(e.Limiter.RecordReport(r, now), now)
			continue
		}
		group.Go(func() error {
			e.sendReport(ctx, owner, r)
			return nil
		})
	}
	_ = group.Wait()
}

func (e *exchange) sendReport(ctx context.Context, owner string, r quota.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var totals quota.Totals
	if err := e.Mesh.Call(instance.MarkIdempotent(ctx), owner, methodDemand, r, &totals); err != nil {
		e.Log.Debug("cannot report demand", "instance", owner, "error", err)
		return
	}
	e.Limiter.ApplyTotals(totals, e.Clock.Now())
}

// handleReport records the report of another instance. The sender is the
// instance that the connection belongs to, whatever the report says.
func (e *exchange) handleReport(_ context.Context, from string, raw json.RawMessage) (any, error) {
	var r quota.Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode report").WithField(methodDemand)
	}
	r.From = from
	return e.Limiter.RecordReport(r, e.Clock.Now()), nil
}
