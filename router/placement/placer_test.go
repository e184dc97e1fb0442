package placement_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is the state of one instance: some engines, alternating between zones
// x and y.
type fixture struct {
	clk     *clock.Manual
	current *inventory.Current
	set     target.Set
	local   placement.Local
}

func newFixture(t testing.TB, engines int, instances ...string) *fixture {
	t.Helper()
	table, err := routing.NewTable(routing.Config{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{MemoryTokens: 100_000}}}})
	is.New(t).NoErr(err)
	w := &fixture{clk: clock.NewManual(origin)}
	w.current = inventory.NewCurrent(w.clk)
	w.set = target.NewSet(w.clk, func(string, float64) float64 { return 1 }, time.Second)
	w.current.Subscribe(w.set.Update)
	s := &inventory.Snapshot{Table: table, Revision: era.New(0, 1), Runners: map[string]*inventory.Runner{}, Instances: map[string]inventory.Instance{}}
	for i := range engines {
		id := fmt.Sprint("e", i)
		s.Runners[id] = &inventory.Runner{ID: id, Service: "s", Zone: []string{"x", "y"}[i%2], Slots: 64}
	}
	for _, name := range instances {
		s.Instances[name] = inventory.Instance{Name: name}
	}
	w.current.Advance(s)
	w.local = placement.NewLocal(w.clk, policy.Default(), w.current, w.set, hclog.NewNullLogger())
	return w
}

func request(id, subject string, tokens int) placement.Request {
	return placement.Request{ID: id, Shard: shard.Whole("s"), Deadline: origin.Add(10 * time.Second), Prompt: target.Prompt{
		Parts: []target.Part{{ID: subject, Tokens: tokens}, {ID: id, Tokens: 100}}, Tokens: tokens + 100,
	}}
}

func TestPromptsGoToEngineThatCachesTheirParts(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 6)
	first := w.local.Place(t.Context(), request("a", "subject", 10_000))
	first.Answered(0)
	for i := range 5 {
		next := w.local.Place(t.Context(), request(fmt.Sprint("b", i), "subject", 10_000))
		is.Equal(next.Target(), first.Target())
		next.Answered(0)
	}
}

func TestPromptsAvoidBusyEngineDespiteCache(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 2)
	first := w.local.Place(t.Context(), request("a", "subject", 10_000))
	second := w.local.Place(t.Context(), request("b", "subject", 10_000))
	is.True(second.Target() != first.Target()) // waiting for the first prompt costs as much as processing it again
	first.Ended()
	first.Ended() // a second call has no effect
}

// TestInstancesAgreeOnHomes compares the choices of trackers without state.
func TestInstancesAgreeOnHomes(t *testing.T) {
	is := is.New(t)
	homes := map[string]bool{}
	for i := range 20 {
		r := request("a", fmt.Sprint("subject", i), 10_000)
		one, two := newFixture(t, 6).local.Place(t.Context(), r), newFixture(t, 6).local.Place(t.Context(), r)
		is.Equal(one.Target().Runner().ID, two.Target().Runner().ID)
		homes[one.Target().Runner().ID] = true
	}
	is.True(len(homes) > 3) // homes are spread over the engines
}

func TestLongPromptsAreSpread(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 4)
	used := map[*target.Target]int{}
	for i := range 8 {
		used[w.local.Place(t.Context(), request(fmt.Sprint("a", i), fmt.Sprint("subject", i), 40_000)).Target()]++
	}
	for _, n := range used {
		is.Equal(n, 2)
	}
	is.Equal(len(used), 4)
}

func TestCallsPreferZoneOfLargeInputs(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 4)
	for i, zone := range []string{"x", "y"} {
		r := request(fmt.Sprint("a", i), "", 10)
		r.Zone, r.InputBytes = zone, 9_000_000
		is.Equal(w.local.Place(t.Context(), r).Target().Runner().Zone, zone)
	}
}

func TestCallsWithoutReportedEndExpire(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 2)
	first, _ := w.local.Begin(request("a", "subject", 10_000))
	w.clk.Advance(11 * time.Second)
	r := request("b", "subject", 10_000)
	r.Deadline = w.clk.Now().Add(time.Second)
	second, _ := w.local.Begin(r)
	is.Equal(second, first) // the expired call no longer counts as load
}

// TestEngineThatReturnsHasNoNegativeLoad takes a zone out and back while a call runs at
// its engine. The end of the call must not make the engine look less than idle, which
// would draw calls to it for good.
func TestEngineThatReturnsHasNoNegativeLoad(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 2)
	short := func(id string) placement.Request {
		r := request(id, "", 0)
		r.Prompt, r.Deadline = target.Prompt{Tokens: 1000}, w.clk.Now().Add(time.Minute)
		return r
	}
	var first []placement.Place
	for i := range 20 {
		first = append(first, w.local.Place(t.Context(), short(fmt.Sprint("a", i))))
	}
	out := func(zones map[string]bool) {
		s := *w.current.Load()
		s.Revision.Number++
		s.ZonesOut = zones
		w.current.Advance(&s)
		w.clk.Advance(2 * time.Second)
		w.local.Place(t.Context(), short(fmt.Sprint("b", s.Revision))).Ended()
	}
	out(map[string]bool{"x": true})
	out(nil)
	for _, p := range first {
		p.Ended()
	}
	used := map[string]int{}
	for i := range 10 {
		used[w.local.Place(t.Context(), short(fmt.Sprint("c", i))).Target().Runner().ID]++
	}
	is.Equal(used, map[string]int{"e0": 5, "e1": 5})
}

// TestEngineThatWasUnusableForAMomentGetsNoExtraCalls guards against the load of an engine
// that becomes negative when a call ends there, as a rollout may exclude engines for a
// moment.
func TestEngineThatWasUnusableForAMomentGetsNoExtraCalls(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 2)
	first := w.local.Place(t.Context(), request("a", "subject", 40_000))
	setDraining := func(on bool) {
		s := *w.current.Load()
		s.Runners = maps.Clone(s.Runners)
		r := *first.Target().Runner()
		r.Draining = on
		s.Runners[r.ID] = &r
		s.Revision.Number++
		w.current.Advance(&s)
	}
	setDraining(true)
	w.clk.Advance(2 * time.Second)
	second := w.local.Place(t.Context(), request("b", "other", 10_000))
	is.True(second.Target() != first.Target())
	setDraining(false)
	first.Ended()
	second.Ended()
	used := map[*target.Target]int{}
	for i := range 4 {
		used[w.local.Place(t.Context(), request(fmt.Sprint("c", i), fmt.Sprint("subject", i), 10_000)).Target()]++
	}
	is.Equal(used[first.Target()], 2)
}

// fakeMesh answers calls with the handlers of its peer, and fails them if it
// has none.
type fakeMesh struct {
	handlers map[string]instance.Handler
	peer     *fakeMesh
	calls    []string
}

func (m *fakeMesh) Handle(method string, h instance.Handler) { m.handlers[method] = h }

func (m *fakeMesh) SetAddresses(map[string]string) {}

func (m *fakeMesh) Call(ctx context.Context, to, method string, params, result any) error {
	m.calls = append(m.calls, to+" "+method)
	if m.peer == nil {
		return errors.New("unreachable")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := m.peer.handlers[method](ctx, "a", raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func sharedPlacer(w *fixture, self string, m *fakeMesh) placement.Placer {
	return placement.NewShared(w.clk, self, owner.NewFinder(w.clk, w.current), m, w.local, w.set, hclog.NewNullLogger())
}

func TestOwnerTracksCallsOfAllInstances(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	one, two := newFixture(t, 2, names...), newFixture(t, 2, names...)
	place := func(w *fixture, self string, r placement.Request) string {
		m, peer := &fakeMesh{handlers: map[string]instance.Handler{}}, &fakeMesh{handlers: map[string]instance.Handler{}}
		other := two
		if w == two {
			other = one
		}
		_ = sharedPlacer(other, "other", peer)
		m.peer = peer
		return sharedPlacer(w, self, m).Place(t.Context(), r).Target().Runner().ID
	}
	// Each prompt adds load that the next choice considers, whichever instance the
	// call came through.
	first := place(one, "a", request("1", "s1", 40_000))
	second := place(two, "b", request("2", "s1", 40_000))
	is.True(first != second)
}

func TestPlacesLocallyWithoutOwner(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 2, "other")
	m := &fakeMesh{handlers: map[string]instance.Handler{}}
	p := sharedPlacer(w, "self", m)
	is.True(p.Place(t.Context(), request("1", "s", 10)) != nil)
	is.True(p.Place(t.Context(), request("2", "s", 10)) != nil)
	is.Equal(len(m.calls), 2) // one retry, then the owner is skipped for a while
	w.clk.Advance(6 * time.Second)
	is.True(p.Place(t.Context(), request("3", "s", 10)) != nil)
	is.Equal(len(m.calls), 4)
}

// TestUnreachableEngineIsReportedToOwner has another instance find an engine
// unreachable. Without the report, the owner would prefer that engine, since it
// looks idle.
func TestUnreachableEngineIsReportedToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		other, self := newFixture(t, 3, "other"), newFixture(t, 3, "other")
		m, peer := &fakeMesh{handlers: map[string]instance.Handler{}}, &fakeMesh{handlers: map[string]instance.Handler{}}
		_ = sharedPlacer(other, "other", peer)
		m.peer = peer
		p := sharedPlacer(self, "self", m)
		first := p.Place(t.Context(), request("1", "s", 10))
		gone := first.Target().Runner().ID
		first.Unreachable()
		first.Ended()
		synctest.Wait()
		is.Equal(m.calls, []string{"other placement.engine", "other placement.tell"}) // the end is reported once
		for i := range 6 {
			next := other.local.Place(t.Context(), request(fmt.Sprint("n", i), "s", 10))
			is.True(next.Target().Runner().ID != gone)
		}
	})
}

// TestOwnerAvoidsEnginesThatTakeNoCallsOfTheRequester has engines leave or pause by
// answers that only the requesting instance got. The owner must place the calls at
// others, and track them.
func TestOwnerAvoidsEnginesThatTakeNoCallsOfTheRequester(t *testing.T) {
	for name, notice := range map[string]target.Notice{"leaving": {Leaving: true}, "paused": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				other, self := newFixture(t, 4, "other"), newFixture(t, 4, "other")
				m, peer := &fakeMesh{handlers: map[string]instance.Handler{}}, &fakeMesh{handlers: map[string]instance.Handler{}}
				_ = sharedPlacer(other, "other", peer)
				m.peer = peer
				p := sharedPlacer(self, "self", m)
				for _, id := range []string{"e0", "e1", "e2"} {
					self.set.Observe(self.set.Find(id).Runner(), notice)
				}
				for i := range 20 {
					place := p.Place(t.Context(), request(fmt.Sprint(i), fmt.Sprint("s", i), 10_000))
					is.Equal(place.Target().Runner().ID, "e3")
					is.Equal(m.calls[len(m.calls)-1], "other placement.engine") // no end is reported, so that the owner tracks it
				}
			})
		})
	}
}

// TestPlaceBound checks that a choice among many engines makes a bounded number
// of allocations, which grows no faster than the number of engines.
func TestPlaceBound(t *testing.T) {
	is := is.New(t)
	allocations := func(engines int) float64 {
		w := newFixture(t, engines)
		n := 0
		return testing.AllocsPerRun(200, func() {
			n++
			w.local.Place(t.Context(), request(fmt.Sprint(n), fmt.Sprint("s", n%50), 1000)).Ended()
		})
	}
	few, many := allocations(9), allocations(90)
	t.Logf("allocations a placement: %.0f with 9 engines, %.0f with 90", few, many)
	is.True(many <= 10*few)
}

// TestCallsStayInTheirShard places calls for a zone, whose engines come first even
// if another zone's engine is idle and has the prompt cached.
func TestCallsStayInTheirShard(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 4)
	zone := w.local.Place(t.Context(), request("a", "subject", 10_000)).Target().Runner().Zone
	other := map[string]string{"x": "y", "y": "x"}[zone]
	for i := range 8 {
		r := request(fmt.Sprint("b", i), "subject", 10_000)
		r.Shard.Zone = other
		is.Equal(w.local.Place(t.Context(), r).Target().Runner().Zone, other)
	}
	r := request("c", "subject", 10_000)
	r.Shard.Zone = "without engines"
	is.True(w.local.Place(t.Context(), r) != nil)
}
