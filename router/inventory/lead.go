package inventory

import (
	"context"
	"slices"
	"time"

	"cicadawell.dev/router/routing"
	"github.com/cespare/xxhash/v2"
)

// knownChange is a change on its way to another instance.
type knownChange struct {
	Revision     int64           `json:"revision"`
	Config       *routing.Config `json:"config,omitempty"`
	Runner       *knownRunner    `json:"runner,omitempty"`
	RunnerGone   string          `json:"runnerGone,omitempty"`
	ZoneOut      string          `json:"zoneOut,omitempty"`
	ZoneBack     string          `json:"zoneBack,omitempty"`
	AgoMicros    int64           `json:"agoMicros,omitempty"`
	Instance     *Instance       `json:"instance,omitempty"`
	InstanceGone string          `json:"instanceGone,omitempty"`
}

func knownChangeOf(c Change, now time.Time) knownChange {
	k := knownChange{
		Revision: c.Revision, RunnerGone: c.RunnerGone, ZoneOut: c.ZoneOut, ZoneBack: c.ZoneBack,
		Instance: c.Instance, InstanceGone: c.InstanceGone,
	}
	switch {
	case c.Table != nil:
		cfg := c.Table.Config()
		k.Config = &cfg
	case c.Runner != nil:
		r := knownRunnerOf(c.Runner, now)
		k.Runner = &r
	case c.ZoneBack != "":
		k.AgoMicros = now.Sub(c.SeenAt).Microseconds()
	}
	return k
}

// changes returns the changes as this instance would have read them now.
func (k knowledge) changes(now time.Time) ([]Change, error) {
	out := make([]Change, 0, len(k.Changes))
	for _, known := range k.Changes {
		c := Change{
			Revision: known.Revision, RunnerGone: known.RunnerGone, ZoneOut: known.ZoneOut, ZoneBack: known.ZoneBack,
			Instance: known.Instance, InstanceGone: known.InstanceGone, SeenAt: now.Add(-micros(known.AgoMicros)),
		}
		if known.Config != nil {
			table, err := routing.NewTable(*known.Config)
			if err != nil {
				return nil, err
			}
			c.Table = table
		}
		if known.Runner != nil {
			c.Runner = known.Runner.runner(now)
		}
		out = append(out, c)
	}
	return out, nil
}

// followersPerLead is how many instances of a zone share a lead in the mean, so
// that what a lead tells stays below what an instance may spend on control.
const followersPerLead = 6

// chooseLead returns the instance to follow, or "" if this one reads the store.
// Large zones have several leads; each instance follows one of them, and leads
// follow nobody, so that what they tell is as young as their own reads.
func (e *exchange) chooseLead() string {
	leads := e.leads.First(matter, max(1, (e.neighbours()+followersPerLead-2)/followersPerLead))
	if len(leads) == 0 || slices.Contains(leads, e.self) {
		return ""
	}
	return leads[xxhash.Sum64String(e.self)%uint64(len(leads))]
}

// neighbours returns how many instances are in this one's zone.
func (e *exchange) neighbours() int {
	known := e.current.Load().Instances
	n := 0
	for _, i := range known {
		if i.Zone == known[e.self].Zone {
			n++
		}
	}
	return n
}

// follow asks the lead for changes until ctx ends.
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

// followOnce asks a lead once. It reports whether what it told is young enough
// to let the store alone. A lead that doesn't answer is away.
func (e *exchange) followOnce(ctx context.Context, lead string) bool {
	if lead != e.lead {
		e.lead, e.mark = lead, mark{}
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	start := e.clk.Now()
	k, err := e.question(ctx, lead, question{Changes: true, After: e.mark})
	if err != nil {
		e.log.Info("instance that reads the store for others doesn't answer", "instance", lead, "error", err)
		e.leads.Away(lead)
		return false
	}
	if err := e.adopt(lead, k, start); err != nil {
		e.log.Warn("what another instance knows was not understood", "instance", lead, "error", err)
		e.mark = mark{}
		return false
	}
	e.mark = k.Mark
	return e.follower.Rest(restFor)
}
