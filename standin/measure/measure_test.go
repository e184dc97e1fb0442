package measure

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// sampleTrial returns a trial whose metrics are easy to check: three of four paying
// calls in time, and a quarter of the runner time spent on the fourth.
func sampleTrial() trial {
	paying := &load.ClassResult{
		Name: payingClass, Sent: 4, InTime: 3, Late: 1, InTimeRequests: []string{"r1", "r2", "r3"},
		Seconds: []load.Second{{Sent: 1, InTime: 1}, {Sent: 1, InTime: 0}, {Sent: 1, InTime: 1}, {Sent: 1, InTime: 1}, {}},
	}
	run := func(request string, at time.Duration) runner.Run {
		return runner.Run{Request: request, Stage: "encode", At: start.Add(at), BusyMicros: 1000}
	}
	return trial{
		name: "cicadawell",
		result: &load.Result{Classes: []*load.ClassResult{
			paying,
			{Name: freeClass, Sent: 10, InTime: 4, Refused: map[fault.Kind]int{fault.Overloaded: 6}},
			{Name: bookingClass, Sent: 1, InTime: 1},
			{Name: lookupClass, Sent: 1, InTime: 1},
		}},
		records: []runner.Record{
			{Zone: outZone, Runs: []runner.Run{run("r1", 0), run("r2", 2*time.Second), run("r3", 9*time.Second)}},
			{Zone: "zone2", Runs: []runner.Run{run("late", 5*time.Second)}, MaxColdLoad: 3, ColdSlots: 2, Collapses: 1},
		},
		eventTimes: []time.Time{start.Add(time.Second), start.Add(8 * time.Second)},
		outcomes:   scene.OutcomeCounts{Calls: 1, Ran: 1},
	}
}

func TestTableShowsMetrics(t *testing.T) {
	sc := scenario{name: "zone", duration: 2 * time.Second, events: make([]event, 2)}
	var buf bytes.Buffer
	writeTable(&buf, sc, []trial{sampleTrial()})
	writeRefusals(&buf, []trial{sampleTrial()})
	golden.Check(t, "testdata/table.md", buf.String())
}

func TestTrialMetrics(t *testing.T) {
	is := is.New(t)
	tr := sampleTrial()
	is.Equal(worstAttainment(tr.result.Class(payingClass)), 2.0/3)
	is.Equal(runnerTimeOf(tr).wastedShare(), 0.25)
	excess, collapses := coldOverload(tr.records)
	is.Equal([]int{excess, collapses}, []int{1, 1})
	is.Equal(lastRunDelay(tr.records, outZone, tr.eventTimes[0], tr.eventTimes[1]), time.Second)
}

func TestPageAndPlotAreWritten(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	sc, err := findScenario("zone") // with its events
	is.NoErr(err)
	plan, err := scene.PlanOf("taxiline")
	is.NoErr(err)
	cfg := Config{Scenario: "zone", Size: "taxiline", Dir: dir, Seed: 1, Clock: clock.System()}
	is.NoErr(writeResults(cfg, sc, plan, []trial{sampleTrial()}))
	for _, name := range []string{"zone-taxiline.md", "zone-taxiline.png"} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

// TestEveryPlanIsAValidBundle guards against plans whose bundle routers reject.
func TestEveryPlanIsAValidBundle(t *testing.T) {
	for _, size := range []string{"demo", "taxiline", "loimekoda"} {
		is := is.New(t)
		plan, err := scene.PlanOf(size)
		is.NoErr(err)
		b := plan.Bundle()
		for _, r := range plan.Runners() {
			r.Address = "127.0.0.1:1"
			b.Runners = append(b.Runners, r)
		}
		is.NoErr(b.Validate())
		is.Equal(countRunners(b.Runners, "generate"), map[string]int{"demo": 2, "taxiline": 10, "loimekoda": 20}[size])
	}
}

func countRunners(runners []bundle.Runner, service string) int {
	n := 0
	for _, r := range runners {
		if r.Service == service {
			n++
		}
	}
	return n
}
