package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/relay"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/stage"
	"cicadawell.dev/router/target"
	"cicadawell.dev/router/telemetry"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pieceRunners makes all pieces after some time.
type pieceRunners struct{ takes time.Duration }

func (p pieceRunners) Run(ctx context.Context, _ *inventory.Runner, _ func() bool, batch []stage.Timed) ([]stage.Result, bool, error) {
	_ = clock.System().Sleep(ctx, p.takes)
	out := make([]stage.Result, len(batch))
	for i := range out {
		out[i] = stage.Result{Handle: fmt.Sprint(batch[i].Call, batch[i].Stage, i), Runner: "maker"}
	}
	return out, false, nil
}

func (pieceRunners) FreeBytes(context.Context, *inventory.Runner) (int64, error) { return 1 << 30, nil }

func (pieceRunners) Free(context.Context, *inventory.Runner, []string) error { return nil }

// countingBudget counts what is taken from a retry budget and added to it.
type countingBudget struct{ uses int }

func (b *countingBudget) Success(string) { b.uses++ }

func (b *countingBudget) Allow(string) bool { b.uses++; return true }

// step is one call with what happens before it.
type step struct {
	path string
	// wait is the time before the call. fails has the runner that fails, pauses the one
	// that pauses, or -1.
	wait          time.Duration
	fails, pauses int
	tokens        int
	pieces        []int
}

// scenario is a fleet and the calls to it.
type scenario struct {
	cold    map[int]bool
	absent  bool
	rollout float64
	steps   []step
	// queued is how many pieces of another call are in progress at the stage runner.
	queued int
}

// outcome is what became of a call.
type outcome struct {
	runner string
	status int
	retry  string
}

// separate gives each runner a different cost, as the order of equal ones depends on the
// order of a map. The gaps are smaller than what one more call costs.
func separate(t *testing.T, set target.Set, engines placement.Placer) {
	now := clock.System().Now()
	for i := range 4 {
		set.Find(fmt.Sprint("r", i)).Succeeded(now, time.Duration(20_000+3_137*i)*time.Microsecond)
		r := placement.Request{ID: fmt.Sprint("before", i), Shard: shard.Whole("s"), Prompt: target.Prompt{Tokens: 400_000 + 700*i}, Deadline: now.Add(time.Hour)}
		for j := range 4 {
			if j != i {
				r.Avoid = append(r.Avoid, set.Find(fmt.Sprint("r", j)))
			}
		}
		engines.Place(t.Context(), r)
	}
}

// play serves the calls of a scenario, and asks asked times before each where it would
// go. It returns the outcomes and the last answer before each call.
func play(t *testing.T, sc scenario, asked int) (outcomes []outcome, said []operatorapi.Where) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Services[0].ColdPerSecond = 2
	cfg.Services[1].Batches.Slots, cfg.Services[2].Batches.Slots = 1, 1
	// Stages of one service would reserve in any order, with other forecasts for each.
	cfg.Routes[5].Stages = []routing.Stage{{Service: "p"}, {Service: "q", After: []int{0}}}
	table, err := routing.NewTable(cfg)
	is.NoErr(err)
	clk, log, rules := clock.System(), hclog.NewNullLogger(), policy.Default()
	current := inventory.NewCurrent(clk)
	set := target.NewSet(clk, func(_ string, perSecond float64) float64 { return perSecond }, time.Second, target.WithRollouts(true), target.WithRandom(random.NewSeeded(1)))
	current.Subscribe(set.Update)
	s := &inventory.Snapshot{Table: table, Revision: era.New(0, 1), Runners: map[string]*inventory.Runner{
		"p0": {ID: "p0", Service: "p", Zone: "z", Slots: 1}, "q0": {ID: "q0", Service: "q", Zone: "z", Slots: 1},
	}}
	for i := range 4 {
		r := &inventory.Runner{ID: fmt.Sprint("r", i), Service: "s", Zone: fmt.Sprint("z", i%2), Slots: 1, Version: fmt.Sprint("v", i/2), Draining: sc.absent}
		if sc.cold[i] {
			r.Cold, r.SeenAt = time.Hour, clk.Now()
		}
		s.Runners[r.ID] = r
	}
	current.Advance(s)
	current.Confirm(clk.Now())
	engines := placement.NewLocal(clk, rules, current, set, log)
	separate(t, set, engines)
	if sc.rollout > 0 {
		set.ApplyRollout(rollout.State{Service: "s", Target: "v1", Step: 1, Phase: rollout.Running, Share: sc.rollout})
	}
	pools := stage.NewPools(clk, rules, current, set, pieceRunners{takes: 150 * time.Millisecond}, log)
	budget := &countingBudget{}
	f := &fakeRunners{responses: []response{good}}
	r := relay.New(relay.Parts{
		Clock: clk, Timers: clock.SystemTimers(), Current: current, Refresh: func(context.Context) error { return errors.New("away") }, Targets: set,
		Engines: engines, Shards: shard.NewBalancer(clk, current), Pieces: pools, Runners: f, RetryBudget: budget,
		Meter: telemetry.NewRelay(), Log: log, Zone: "z0", Policy: rules, Random: random.NewSeeded(1),
	})
	if sc.queued > 0 {
		pools.Reserve(t.Context(), stage.Reservation{
			ID: "other", Shard: shard.Whole("p"), Pieces: sc.queued, EarliestArrival: clk.Now().Add(time.Hour), Due: clk.Now().Add(time.Hour), Deadline: clk.Now().Add(time.Hour),
		})
	}
	for i, st := range sc.steps {
		is.NoErr(clk.Sleep(t.Context(), st.wait))
		current.Confirm(clk.Now())
		if st.fails >= 0 {
			set.Find(fmt.Sprint("r", st.fails)).ConnectionFailed(clk.Now())
		}
		if st.pauses >= 0 {
			set.Observe(set.Find(fmt.Sprint("r", st.pauses)).Runner(), target.Notice{Pause: 200 * time.Millisecond})
		}
		parts := []target.Part{{ID: fmt.Sprint("p", st.tokens), Tokens: st.tokens}, {ID: fmt.Sprint("own", i), Tokens: 5}}
		c := &relay.Call{
			ID: fmt.Sprint("call", i), Method: http.MethodPost, Target: st.path, Path: st.path, Host: host, Header: http.Header{}, Key: "key", Arrived: clk.Now(),
			Prompt: target.Prompt{Parts: parts, Tokens: st.tokens + 5}, Pieces: st.pieces, PieceKey: "k",
		}
		f.responses = []response{good}
		if st.path != "/safe/1" && st.path != "/once/1" {
			f.responses = []response{streamOf(one, false)}
		}
		var where operatorapi.Where
		for range asked {
			before := budget.uses
			where = r.Explain(c)
			is.Equal(budget.uses, before) // asking uses no retry budget
		}
		said = append(said, where)
		f.given, f.sent = nil, nil
		w := httptest.NewRecorder()
		r.Serve(t.Context(), w, c)
		o := outcome{status: w.Code, retry: w.Header().Get("Retry-After")}
		if len(f.sent) > 0 {
			o.runner = f.sent[0].Runner.ID
		}
		outcomes = append(outcomes, o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pools.Close(ctx)
	return outcomes, said
}

// drawScenario draws a fleet with cold, failing and pausing runners and calls of all
// kinds, known and unknown.
func drawScenario(rt *rapid.T) scenario {
	sc := scenario{cold: make(map[int]bool), absent: rapid.IntRange(0, 9).Draw(rt, "absent") == 0, queued: rapid.SampledFrom([]int{0, 0, 10, 200}).Draw(rt, "queued")}
	for i := range 4 {
		sc.cold[i] = rapid.IntRange(0, 2).Draw(rt, "cold") == 0
	}
	sc.rollout = rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(rt, "share")
	for range rapid.IntRange(1, 8).Draw(rt, "calls") {
		sc.steps = append(sc.steps, step{
			path: rapid.SampledFrom([]string{"/safe/1", "/once/1", "/stream/1", "/staged/1", "/closed/1", "/none"}).Draw(rt, "path"),
			wait: time.Duration(rapid.IntRange(0, 600).Draw(rt, "wait")) * time.Millisecond, fails: rapid.IntRange(-4, 3).Draw(rt, "fails"),
			pauses: rapid.IntRange(-4, 3).Draw(rt, "pauses"), tokens: rapid.IntRange(1, 3).Draw(rt, "tokens") * 1000,
			pieces: rapid.SampledFrom([][]int{{2, 3}, {2, 0}, {1}}).Draw(rt, "pieces"),
		})
	}
	return sc
}

// TestExplainChangesNothingProperty guards against questions that take permits, credit of
// rollouts, reservations or placements: all calls end as without the questions.
func TestExplainChangesNothingProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		var without, with []outcome
		synctest.Test(t, func(t *testing.T) { without, _ = play(t, sc, 0) })
		synctest.Test(t, func(t *testing.T) { with, _ = play(t, sc, 3) })
		if fmt.Sprint(without) != fmt.Sprint(with) {
			rt.Fatalf("%+v\nends as  %v\nand with questions as %v", sc, without, with)
		}
	})
}

// TestExplainSaysWhatNextCallDoesProperty guards against answers that differ from the
// decision on the next call: its runner, or the status and the time of its refusal.
func TestExplainSaysWhatNextCallDoesProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		var got []outcome
		var said []operatorapi.Where
		synctest.Test(t, func(t *testing.T) { got, said = play(t, sc, 1) })
		for i, w := range said {
			// The runner is chosen after the stages, which take time, so that pauses, backoffs
			// and permits may have changed. What the forecasts refuse has to agree.
			if len(w.Stages) > 0 && (w.Refusal == nil || w.Refusal.Kind == string(fault.NoRunner)) {
				if got[i].status == http.StatusServiceUnavailable && got[i].runner == "" && w.Refusal == nil {
					rt.Fatalf("call %d of %+v\nis refused, expected a runner by %+v", i, sc, w)
				}
				continue
			}
			want := outcome{runner: w.Chosen, status: http.StatusOK}
			if w.Refusal != nil {
				want.status = fault.ResponseOf(fault.Kind(w.Refusal.Kind)).Status
				if w.Refusal.RetryMillis > 0 {
					want.retry = strconv.FormatFloat(float64(w.Refusal.RetryMillis)/1000, 'f', 3, 64)
				}
			}
			if got[i] != want {
				rt.Fatalf("call %d of %+v\nends as %+v, expected %+v by %+v", i, sc, got[i], want, w)
			}
		}
	})
}

// TestExplainCountsEarlierStages guards against forecasts without the pieces of the call's
// own stages before.
func TestExplainCountsEarlierStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, said := play(t, scenario{steps: []step{{path: "/patient/1", fails: -1, pauses: -1, tokens: 1000, pieces: []int{2, 2}}}}, 1)
		is.Equal(len(said[0].Stages), 2)
		is.Equal(said[0].Stages[1].WaitMicros/1000, 2*said[0].Stages[0].WaitMicros/1000)
	})
}
