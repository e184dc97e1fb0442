package inventory

import (
	"context"
	"slices"
	"time"

	"cicadawell.dev/router/routing"
	"github.com/cespare/xxhash/v2"
)

// wireChange is the wire form of a change. AgoMicros is the time since the
// answering instance read the return of a zone.
type wireChange struct {
	Revision     int64           `json:"revision"`
	Config       *routing.Config `json:"config,omitempty"`
	Runner       *wireRunner     `json:"runner,omitempty"`
	RunnerGone   string          `json:"runnerGone,omitempty"`
	ZoneOut      string          `json:"zoneOut,omitempty"`
	ZoneBack     string          `json:"zoneBack,omitempty"`
	AgoMicros    int64           `json:"agoMicros,omitempty"`
	Instance     *Instance       `json:"instance,omitempty"`
	InstanceGone string          `json:"instanceGone,omitempty"`
}

func newWireChange(c Change, now time.Time) wireChange {
	k := wireChange{
		Revision: c.Revision, RunnerGone: c.RemovedRunner, ZoneOut: c.ZoneOut, ZoneBack: c.ReturnedZone,
		Instance: c.Instance, InstanceGone: c.RemovedInstance,
	}
	switch {
	case c.Table != nil:
		cfg := c.Table.Config()
		k.Config = &cfg
	case c.Runner != nil:
		r := newWireRunner(c.Runner, now)
		k.Runner = &r
	case c.ReturnedZone != "":
		k.AgoMicros = now.Sub(c.SeenAt).Microseconds()
	}
	return k
}

// changes converts the changes, as if this instance had read them now.
func (k getResponse) changes(now time.Time) ([]Change, error) {
	out := make([]Change, 0, len(k.Changes))
	for _, wire := range k.Changes {
		c := Change{
			Revision: wire.Revision, RemovedRunner: wire.RunnerGone, ZoneOut: wire.ZoneOut, ReturnedZone: wire.ZoneBack,
			Instance: wire.Instance, RemovedInstance: wire.InstanceGone, SeenAt: now.Add(-micros(wire.AgoMicros)),
		}
		if wire.Config != nil {
			table, err := routing.NewTable(*wire.Config)
			if err != nil {
				return nil, err
			}
			c.Table = table
		}
		if wire.Runner != nil {
			c.Runner = wire.Runner.runner(now)
		}
		out = append(out, c)
	}
	return out, nil
}

// followersPerLead is the mean number of followers of a lead. It keeps the
// traffic of a lead below the bound on an instance's control traffic.
const followersPerLead = 6

// chooseLead returns the lead to follow, or "" if this instance reads the store
// itself. Large zones have several leads; each other instance follows one of
// them. Leads follow nobody, so their answers are as recent as their own reads.
func (e *exchange) chooseLead() string {
	leads := e.leads.Ranked(leadKey, max(1, (e.zoneSize()+followersPerLead-2)/followersPerLead))
	if len(leads) == 0 || slices.Contains(leads, e.self) {
		return ""
	}
	return leads[xxhash.Sum64String(e.self)%uint64(len(leads))]
}

// zoneSize returns the number of known instances in this instance's zone.
func (e *exchange) zoneSize() int {
	known := e.current.Load().Instances
	n := 0
	for _, i := range known {
		if i.Zone == known[e.self].Zone {
			n++
		}
	}
	return n
}

// follow requests changes from a lead until ctx ends. If a lead fails, it tries
// the next one at once.
func (e *exchange) follow(ctx context.Context) {
	for e.clk.Sleep(ctx, followEvery) == nil {
		lead := e.chooseLead()
		for ctx.Err() == nil && lead != "" && !e.followOnce(ctx, lead) {
			next := e.chooseLead()
			if next == lead {
				break
			}
			lead = next
		}
	}
}

// followOnce requests changes from a lead once. It reports whether the answer is
// recent enough for reads of the store to be suspended. A lead that doesn't
// answer is marked as unavailable.
func (e *exchange) followOnce(ctx context.Context, lead string) bool {
	if lead != e.lead {
		e.lead, e.mark = lead, mark{}
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	start := e.clk.Now()
	k, err := e.fetch(ctx, lead, getRequest{Changes: true, After: e.mark})
	if err != nil {
		e.log.Info("instance that reads the store for others doesn't answer", "instance", lead, "error", err)
		e.leads.MarkUnavailable(lead)
		return false
	}
	if err := e.adopt(lead, k, start); err != nil {
		e.log.Warn("invalid answer from another instance", "instance", lead, "error", err)
		e.mark = mark{}
		return false
	}
	e.mark = k.Mark
	return e.follower.SuspendReads(suspendFor)
}
