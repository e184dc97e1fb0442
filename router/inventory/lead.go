package inventory

import (
	"context"
	"slices"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/progress"
	"cicadawell.dev/router/routing"
	"github.com/cespare/xxhash/v2"
)

// wireChange is the wire form of a change. AgoMicros is the time since the
// answering instance read the return of a zone.
type wireChange struct {
	Revision     int64           `json:"revision"`
	Config       *routing.Config `json:"config,omitempty"`
	Patch        *routing.Patch  `json:"patch,omitempty"`
	Runner       *wireRunner     `json:"runner,omitempty"`
	RunnerGone   string          `json:"runnerGone,omitempty"`
	ZoneOut      string          `json:"zoneOut,omitempty"`
	ZoneBack     string          `json:"zoneBack,omitempty"`
	AgoMicros    int64           `json:"agoMicros,omitempty"`
	Instance     *wireInstance   `json:"instance,omitempty"`
	InstanceGone string          `json:"instanceGone,omitempty"`
	// Quarantine and QuarantineOver are unknown to older builds, which ignore them.
	Quarantine     *wireQuarantine `json:"quarantine,omitempty"`
	QuarantineOver string          `json:"quarantineOver,omitempty"`
	// The changes of rollouts are unknown to older builds, too.
	RolloutOrder     *wireRolloutOrder `json:"rolloutOrder,omitempty"`
	RolloutWithdrawn string            `json:"rolloutWithdrawn,omitempty"`
	Rollout          *wireRollout      `json:"rollout,omitempty"`
	RolloutOver      string            `json:"rolloutOver,omitempty"`
	// Versions and VersionsOver are unknown to older builds, too.
	Versions     *wireVersions `json:"versions,omitempty"`
	VersionsOver string        `json:"versionsOver,omitempty"`
}

// newWireChange converts a change. The configuration is left out.
func newWireChange(c Change, now time.Time) wireChange {
	wire := wireChange{
		Revision: c.Revision.Number, RunnerGone: c.RemovedRunner, ZoneOut: c.ZoneOut, ZoneBack: c.ReturnedZone,
		InstanceGone: c.RemovedInstance, QuarantineOver: c.EndedQuarantine,
		RolloutWithdrawn: c.WithdrawnRollout, RolloutOver: c.EndedRollout, VersionsOver: c.EndedVersions,
	}
	switch {
	case c.Runner != nil:
		r := newWireRunner(c.Runner, now)
		wire.Runner = &r
	case c.Instance != nil:
		i := newWireInstance(*c.Instance)
		wire.Instance = &i
	case c.Versions != nil:
		v := newWireVersions(*c.Versions)
		wire.Versions = &v
	case c.ReturnedZone != "":
		wire.AgoMicros = now.Sub(c.SeenAt).Microseconds()
	case c.Quarantine != nil:
		q := newWireQuarantine(c.Quarantine, now)
		wire.Quarantine = &q
	case c.RolloutOrder != nil:
		o := newWireRolloutOrder(*c.RolloutOrder, now)
		wire.RolloutOrder = &o
	case c.Rollout != nil:
		st := newWireRollout(*c.Rollout, now)
		wire.Rollout = &st
	}
	return wire
}

// newTable returns the table of a whole configuration or of a patch of the table own, or
// nil if there is neither.
func newTable(own *routing.Table, cfg *routing.Config, patch *routing.Patch) (*routing.Table, error) {
	switch {
	case cfg != nil:
		return routing.NewTable(*cfg)
	case patch == nil:
		return nil, nil
	}
	patched, err := patch.Apply(own)
	if err != nil {
		return nil, err
	}
	return routing.NewTable(patched)
}

// changes converts the changes, as if this instance, with the configuration own, had read
// them now.
func (resp getResponse) changes(own *routing.Table, now time.Time) ([]Change, error) {
	out := make([]Change, 0, len(resp.Changes))
	for _, wire := range resp.Changes {
		c := Change{
			Revision: resp.at(wire.Revision), RemovedRunner: wire.RunnerGone, ZoneOut: wire.ZoneOut, ReturnedZone: wire.ZoneBack,
			RemovedInstance: wire.InstanceGone, SeenAt: now.Add(-micros(wire.AgoMicros)),
			EndedQuarantine: wire.QuarantineOver, WithdrawnRollout: wire.RolloutWithdrawn, EndedRollout: wire.RolloutOver,
			EndedVersions: wire.VersionsOver,
		}
		table, err := newTable(own, wire.Config, wire.Patch)
		if err != nil {
			return nil, err
		}
		c.Table = table
		if wire.Instance != nil {
			i := resp.instance(*wire.Instance)
			c.Instance = &i
		}
		if wire.Versions != nil {
			v := resp.serviceVersions(*wire.Versions)
			c.Versions = &v
		}
		if wire.Runner != nil {
			c.Runner = resp.runner(*wire.Runner, now)
		}
		if wire.Quarantine != nil {
			c.Quarantine = resp.quarantine(*wire.Quarantine, now)
		}
		if wire.RolloutOrder != nil {
			o := resp.order(*wire.RolloutOrder, now)
			c.RolloutOrder = &o
		}
		if wire.Rollout != nil {
			st := resp.state(*wire.Rollout, now)
			c.Rollout = &st
		}
		out = append(out, c)
	}
	return out, nil
}

// maxMeanFollowers is an upper limit on the mean number of instances that follow
// a lead. It keeps the traffic of a lead below the bound on an instance's control
// traffic.
const maxMeanFollowers = 6

// chooseLead returns the lead to follow, or "" if this instance reads the store
// itself. Large zones have several leads; each other instance follows one of
// them. Leads follow no lead, so their answers are as recent as their own reads.
func (e *exchange) chooseLead() string {
	leads := e.leads.Ranked(leadKey, max(1, (e.zoneSize()+maxMeanFollowers-2)/maxMeanFollowers))
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

// followLead requests changes from a lead until ctx ends. If a request fails, it
// tries the next lead at once. After an invalid or too old answer it stays with
// the lead until the next request is due.
func (e *exchange) followLead(ctx context.Context) {
	for e.clk.Sleep(ctx, leadPollInterval) == nil {
		lead := e.chooseLead()
		for ctx.Err() == nil && lead != "" && !e.followLeadOnce(ctx, lead) {
			next := e.chooseLead()
			if next == lead {
				break
			}
			lead = next
		}
	}
}

// followLeadOnce requests changes from a lead once and suspends reads of the store
// after a valid answer. It reports whether the view is recent enough for the
// reads to stay suspended until the next request. If the request fails with any
// error, even one that the lead answers, the lead is marked as unavailable.
func (e *exchange) followLeadOnce(ctx context.Context, lead string) bool {
	if lead != e.lead {
		e.log.Info("getting changes from another instance", "instance", lead, "was", e.lead)
		e.lead, e.mark = lead, mark{}
	}
	ctx, cancel := progress.WithLimits(ctx, e.clk, clock.SystemTimers(), leadPollLimits)
	defer cancel()
	start, own := e.clk.Now(), e.current.Load().Table
	resp, err := e.fetch(ctx, lead, own, getRequest{Changes: true, After: e.mark})
	if err != nil {
		e.log.Info("instance that reads the store for others doesn't answer", "instance", lead, "error", err)
		e.leads.MarkUnavailable(lead)
		return false
	}
	if e.rolloutsRequired && !resp.HasRollouts {
		e.log.Debug("instance of an older build knows no rollouts; reading the store", "instance", lead)
		e.mark = mark{}
		return false
	}
	switch known := e.current.Load().Revision.Era; {
	case resp.Era < known:
		// It is of an older build, or hasn't learned of the era; then its marks change.
		e.log.Debug("instance that reads the store for others is in an earlier era", "instance", lead, "era", resp.Era, "known", known)
		e.mark = resp.Mark
		return false
	case resp.Era > known && resp.Complete:
		e.mark = mark{} // for a snapshot
		return false
	}
	if err := e.adopt(lead, resp, own, start); err != nil {
		e.log.Warn("invalid answer from another instance", "instance", lead, "error", err)
		e.mark = mark{}
		return false
	}
	e.mark = resp.Mark
	return e.follower.SuspendReads(suspendFor)
}
