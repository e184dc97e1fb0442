package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

type idleMesh struct{ instance.Mesh }

func (idleMesh) Handle(string, instance.Handler) {}

type idleTargets struct{}

func (idleTargets) ApplyRollout(rollout.State)     {}
func (idleTargets) SetRolloutContact(string, bool) {}

func (idleTargets) RolloutUsage(string, string) target.RolloutUsage {
	return target.RolloutUsage{Runners: rollout.Counts{Baseline: 20, Candidate: 20}, BaselineVersions: []string{"v1"}}
}

// exampleReport returns a report with answers on four routes.
func exampleReport(n int, at int64) report {
	r := report{Instance: fmt.Sprint("i", n), Incarnation: 1, Sequence: at, Report: rollout.Report{Service: "s", OrderRevision: 2, Step: 1, Evidence: rollout.Evidence{}}}
	for route := range 4 {
		var e rollout.RouteEvidence
		for k := range 200 {
			e.Baseline.Add(false, time.Duration(20+k)*time.Millisecond)
			e.Candidate.Add(false, time.Duration(20+k)*time.Millisecond)
		}
		r.Evidence[fmt.Sprint("route-", route)] = e
	}
	return r
}

// decidingFleet returns the controller of the decider of a fleet.
func decidingFleet(b testing.TB, instances int) *controller {
	b.Helper()
	current := inventory.NewCurrent(clock.System())
	table, err := routing.NewTable(routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}})
	if err != nil {
		b.Fatal(err)
	}
	s := &inventory.Snapshot{Table: table, Revision: era.New(0, 3), Instances: map[string]inventory.Instance{}, RolloutOrders: map[string]rollout.Order{}, Rollouts: map[string]rollout.State{}}
	for n := range instances {
		name := fmt.Sprint("i", n)
		s.Instances[name] = inventory.Instance{Name: name}
	}
	now := clock.System().Now()
	s.RolloutOrders["s"] = rollout.Order{Service: "s", Target: "v2", Duration: time.Hour, Revision: era.New(0, 2), SeenAt: now}
	s.Rollouts["s"] = rollout.State{Service: "s", Target: "v2", OrderRevision: 2, Step: 1, Phase: rollout.Running, Share: 0.02, Duration: time.Hour, Revision: era.New(0, 3), SeenAt: now}
	current.Advance(s)
	owners := owner.NewFinder(clock.System(), current)
	c := New(clock.System(), owners.Of(ownerKeyPrefix+"s"), current, owners, idleMesh{}, idleTargets{}, rollout.NewRecorder(), nil,
		rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}, hclog.NewNullLogger()).(*controller)
	c.update(s)
	current.Confirm(now)
	for n := range instances {
		c.answerTo(exampleReport(n, 1))
	}
	return c
}

// BenchmarkReport is what the decider of 450 instances does for each report.
func BenchmarkReport(b *testing.B) {
	c := decidingFleet(b, 450)
	data, err := json.Marshal(exampleReport(1, 2))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := c.serveReport(context.Background(), "i1", data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

// BenchmarkDecide is what the decider of 450 instances does ten times a second.
func BenchmarkDecide(b *testing.B) {
	c := decidingFleet(b, 450)
	for b.Loop() {
		c.mu.Lock()
		in, _ := c.input(c.services["s"], c.clk.Now())
		rollout.Decide(in, c.bounds)
		c.mu.Unlock()
	}
}
