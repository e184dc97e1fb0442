package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/roster/viewlease"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// localMesh connects ledgers in one process.
type localMesh struct {
	id  string
	all map[string]*localMesh
	// handlers are by method.
	handlers map[string]instance.Handler
	// callError returns the error of a call that fails; nil delivers all calls.
	callError func(to, method string) error
}

func newLocalMesh(all map[string]*localMesh, id string) *localMesh {
	m := &localMesh{id: id, all: all, handlers: make(map[string]instance.Handler)}
	all[id] = m
	return m
}

func (m *localMesh) Handle(method string, h instance.Handler) { m.handlers[method] = h }

func (m *localMesh) SetAddresses(map[string]string) {}

func (m *localMesh) Call(ctx context.Context, to, method string, params, result any) error {
	if m.callError != nil {
		if err := m.callError(to, method); err != nil {
			return err
		}
	}
	if m.all[to] == nil {
		return fault.New(fault.HomeUnsettled, "no such instance")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := m.all[to].handlers[method](ctx, m.id, raw)
	if err != nil {
		return fault.Of(err).Message().Err()
	}
	raw, err = json.Marshal(response)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// countingRunner is a runner that counts the runs of each key.
type countingRunner struct {
	mu   sync.Mutex
	runs map[string]int
	// response decides how a run ends; nil echoes the input.
	response func(call ledger.Call) (callerapi.Response, error)
}

func (r *countingRunner) RunOnce(_ context.Context, call ledger.Call, guard func() error) (callerapi.Response, error) {
	if err := guard(); err != nil {
		return callerapi.Response{}, err
	}
	r.mu.Lock()
	r.runs[call.Team+"/"+call.Key]++
	r.mu.Unlock()
	if r.response != nil {
		return r.response(call)
	}
	return callerapi.Response{Request: call.Request, Outcome: fault.Run, Output: call.Input}, nil
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// keyAt returns a key with the mint time at.
func keyAt(at time.Time, n int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	id[14], id[15] = byte(n>>8), byte(n)
	return id.String()
}

func callOf(team, key, body string) ledger.Call {
	input, _ := json.Marshal(body)
	return ledger.Call{
		Request: "r-" + team + key, Team: team, Pipeline: "book", Key: key,
		BodyHash: body, Input: input, RemainingMillis: 1000,
	}
}

// fixedRoster is a roster whose view never changes.
type fixedRoster struct {
	clk     clock.Clock
	self    string
	members []string
}

func (s fixedRoster) Subscribe(func()) {}

func (s fixedRoster) State() viewlease.State {
	v := viewlease.View{Epoch: 1, Effective: true}
	for _, id := range s.members {
		v.Members = append(v.Members, viewlease.Member{ID: id})
	}
	return viewlease.State{Self: viewlease.Member{ID: s.self}, View: v, Effective: true, LeaseStart: s.clk.Now(), LeaseDuration: time.Second}
}

// startThree starts ledgers a, b and c with one runner.
func startThree(t *testing.T, clk clock.Clock, runner ledger.Executor, opts ...ledger.Option) map[string]ledger.ManagedLedger {
	t.Helper()
	meshes := make(map[string]*localMesh)
	ledgers := make(map[string]ledger.ManagedLedger)
	for _, id := range []string{"a", "b", "c"} {
		ledgers[id] = ledger.New(append([]ledger.Option{
			ledger.WithID(id), ledger.WithClock(clk), ledger.WithExecutor(runner),
			ledger.WithMesh(newLocalMesh(meshes, id)), ledger.WithRoster(fixedRoster{clk, id, []string{"a", "b", "c"}}),
		}, opts...)...)
		t.Cleanup(ledgers[id].Close)
	}
	return ledgers
}

func TestDuplicatesRunOnceWhereverTheyArrive(t *testing.T) {
	is := is.New(t)
	r := &countingRunner{runs: make(map[string]int)}
	ledgers := startThree(t, clock.NewManual(start), r)
	var group errgroup.Group
	for n := range 20 {
		for _, team := range []string{"t1", "t2"} {
			for id, l := range ledgers {
				group.Go(func() error {
					call := callOf(team, keyAt(start, n), fmt.Sprintf("%s-%d", team, n))
					response, _, err := l.Do(t.Context(), call)
					if err == nil && string(response.Output) != string(call.Input) {
						t.Errorf("%s answered %s with %s", id, call.Input, response.Output)
					}
					return err
				})
			}
		}
	}
	is.NoErr(group.Wait())
	is.Equal(len(r.runs), 40)
	for key, n := range r.runs {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

func TestKeyValidation(t *testing.T) {
	r := &countingRunner{runs: make(map[string]int)}
	clk := clock.NewManual(start)
	l := startThree(t, clk, r, ledger.WithKeyWindow(time.Hour))["a"]
	for name, test := range map[string]struct {
		key  string
		kind fault.Kind
	}{
		"empty":         {"", fault.BadKey},
		"version 4":     {uuid.NewString(), fault.BadKey},
		"upper case":    {"0190163D-8694-739B-AEA5-966C26F8AD91", fault.BadKey},
		"the future":    {keyAt(start.Add(time.Minute), 1), fault.BadKey},
		"too old":       {keyAt(start.Add(-2*time.Hour), 1), fault.OutcomeUnknown},
		"a minute old":  {keyAt(start.Add(-time.Minute), 1), ""},
		"a bit ahead":   {keyAt(start.Add(400*time.Millisecond), 1), ""},
		"too far ahead": {keyAt(start.Add(600*time.Millisecond), 1), fault.BadKey},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := l.Do(t.Context(), callOf("t", test.key, "x"))
			if test.kind == "" {
				is.NoErr(err)
				return
			}
			is.Equal(fault.Of(err).Kind(), test.kind)
			is.Equal(fault.Of(err).Field(), "key")
			is.Equal(r.runs["t/"+test.key], 0)
		})
	}
}

func TestKeyWithAnotherBodyIsAConflict(t *testing.T) {
	is := is.New(t)
	ledgers := startThree(t, clock.NewManual(start), &countingRunner{runs: make(map[string]int)})
	_, replayed, err := ledgers["a"].Do(t.Context(), callOf("t", keyAt(start, 1), "x"))
	is.NoErr(err)
	is.True(!replayed)
	_, replayed, err = ledgers["b"].Do(t.Context(), callOf("t", keyAt(start, 1), "x"))
	is.NoErr(err)
	is.True(replayed)
	_, _, err = ledgers["c"].Do(t.Context(), callOf("t", keyAt(start, 1), "y"))
	is.True(fault.Is(err, fault.KeyConflict))
}

// decisionLog collects the decisions that a ledger recorded.
type decisionLog struct {
	mu      sync.Mutex
	entries []string
}

func (s *decisionLog) Record(d journal.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, fmt.Sprintf("%s %s: %s", d.Request, d.Step, d.Reason))
}

func TestDecisionsAreRecorded(t *testing.T) {
	is := is.New(t)
	log := &decisionLog{}
	ledgers := startThree(t, clock.NewManual(start), &countingRunner{runs: make(map[string]int)}, ledger.WithJournal(log))
	call := callOf("t", keyAt(start, 1), "x")
	home, _ := viewlease.HomeOf([]viewlease.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, viewlease.SlotOf(call.Team, call.Key))
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[home.ID]
	for i, id := range []string{home.ID, other} {
		call.Request = fmt.Sprintf("r%d", i)
		_, _, err := ledgers[id].Do(t.Context(), call)
		is.NoErr(err)
	}
	is.Equal(log.entries, []string{
		"r1 forwarded: instance " + home.ID + " is home of the key",
		"r1 replayed: the key was used by request r0",
	})
}

func TestOutcomeDecidesWhetherARetryRuns(t *testing.T) {
	is := is.New(t)
	r := &countingRunner{runs: make(map[string]int)}
	refusal := fault.New(fault.NoRunner, "none free")
	r.response = func(ledger.Call) (callerapi.Response, error) { return callerapi.Response{}, refusal }
	ledgers := startThree(t, clock.NewManual(start), r)
	call := callOf("t", keyAt(start, 1), "x")
	for range 2 {
		_, _, err := ledgers["a"].Do(t.Context(), call)
		is.Equal(fault.Of(err).Outcome(), fault.NotRun)
	}
	is.Equal(r.runs["t/"+call.Key], 2) // not run, so the retry runs
	refusal = fault.New(fault.OutcomeUnknown, "cut")
	for range 2 {
		_, _, err := ledgers["a"].Do(t.Context(), call)
		is.Equal(fault.Of(err).Outcome(), fault.Unknown)
	}
	is.Equal(r.runs["t/"+call.Key], 3) // unknown, so the retry does not run
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	r := &countingRunner{runs: make(map[string]int)}
	clk := clock.NewManual(start)
	meshes := make(map[string]*localMesh)
	l := ledger.New(ledger.WithID("a"), ledger.WithClock(clk), ledger.WithExecutor(r),
		ledger.WithMesh(newLocalMesh(meshes, "a")), ledger.WithRoster(fixedRoster{clk, "a", []string{"a"}}),
		ledger.WithTableLimits(2, 10), ledger.WithKeyWindow(time.Hour))
	t.Cleanup(l.Close)
	do := func(n int) error {
		_, _, err := l.Do(t.Context(), callOf("t", keyAt(start, n), "123456"))
		return err
	}
	is.NoErr(do(1))
	is.NoErr(do(2))
	is.Equal(fault.Of(do(3)).Kind(), fault.Overloaded) // two keys at most
	is.Equal(fault.Of(do(3)).Outcome(), fault.NotRun)
	is.Equal(fault.Of(do(1)).Outcome(), fault.Run) // its response was evicted for the second
	is.NoErr(do(2))
	clk.Advance(2 * time.Hour)
	_, _, err := l.Do(t.Context(), callOf("t", keyAt(start.Add(2*time.Hour), 1), "x"))
	is.NoErr(err) // the old keys were swept
	clk.Advance(-2 * time.Hour)
	is.Equal(fault.Of(do(1)).Outcome(), fault.Unknown) // also after the clock is set back
}
