package soak

import (
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"github.com/matryer/is"
)

func TestSeedDeterminesPlan(t *testing.T) {
	var text strings.Builder
	for _, f := range NewPlan(7, 8*time.Second) {
		text.WriteString(f.String() + "\n")
	}
	golden.Check(t, "testdata/plan.txt", text.String())
}

// observationsWithoutViolation returns the observations of a soak without violations.
func observationsWithoutViolation(at time.Time) observations {
	return observations{
		records: []runner.Record{{Runner: "r", Zone: "z", Runs: []runner.Run{
			{Team: "t", Key: "ran", Request: "1", From: "router1", At: at},
		}}},
		during: &load.Result{Classes: []*load.ClassResult{{Name: "booking", Sent: 2, InTime: 1, CallOutcomes: []load.CallOutcome{
			{Team: "t", Key: "ran", Outcome: fault.Run}, {Team: "t", Key: "refused", Outcome: fault.NotRun, NotRun: []string{"2"}},
		}}}},
		after: &load.Result{Classes: []*load.ClassResult{{Name: "booking", Sent: 100, InTime: 90, Late: 10}}},
	}
}

// TestViolationsAreFound guards against violations that the checks of a soak
// miss, or report although a pause or takeoutLimit allows them. Each case changes the
// observations of a soak without violations.
func TestViolationsAreFound(t *testing.T) {
	now := time.Unix(100, 0)
	run := func(s *observations) *runner.Run { return &s.records[0].Runs[0] }
	for name, c := range map[string]struct {
		change func(s *observations)
		want   string
	}{
		"kept":                  {func(*observations) {}, ""},
		"run twice":             {func(s *observations) { s.records[0].Runs = append(s.records[0].Runs, *run(s)) }, "1 run twice"},
		"refused and run":       {func(s *observations) { run(s).Request = "2" }, "1 falsely not run"},
		"answered and not run":  {func(s *observations) { run(s).Key = "other" }, "1 falsely run"},
		"wrong answer":          {func(s *observations) { s.during.Classes[0].Wrong = []string{"crossed"} }, "wrong answer: crossed"},
		"not served afterwards": {func(s *observations) { s.after.Classes[0].InTime = 80 }, "90 of 100 calls served"},
		"zone out": {func(s *observations) {
			s.takeouts = []takeout{{zone: "z", from: now.Add(-time.Minute), to: now.Add(time.Second)}}
		}, "runner r got a run"},
		"runner out": {func(s *observations) {
			s.takeouts = []takeout{{runner: "r", from: now.Add(-time.Minute), to: now.Add(time.Second)}}
		}, "runner r got a run"},
		"just taken out": {func(s *observations) {
			s.takeouts = []takeout{{zone: "z", from: now.Add(-takeoutLimit), to: now.Add(time.Second)}}
		}, ""},
		"back before": {func(s *observations) { s.takeouts = []takeout{{zone: "z", from: now.Add(-time.Minute), to: now}} }, ""},
		"by a router that stood still": {func(s *observations) {
			s.takeouts = []takeout{{zone: "z", from: now.Add(-time.Minute), to: now.Add(time.Second)}}
			s.pauses = []pause{{router: "router1", from: now.Add(-5 * time.Second), to: now.Add(-time.Second)}}
		}, ""},
		"by another one": {func(s *observations) {
			s.takeouts = []takeout{{zone: "z", from: now.Add(-time.Minute), to: now.Add(time.Second)}}
			s.pauses = []pause{{router: "router2", from: now.Add(-5 * time.Second), to: now.Add(-time.Second)}}
		}, "runner r got a run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := observationsWithoutViolation(now)
			c.change(&s)
			_, violations := s.violations()
			if c.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.True(strings.Contains(violations[0].Error(), c.want))
		})
	}
}
