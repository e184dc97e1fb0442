package continuity_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/continuity"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// readLag is how long a change of the store takes until all instances have read it.
const readLag = 900 * time.Millisecond

// fleet is a set of trackers with a store, in one synctest bubble.
type fleet struct {
	t        *testing.T
	table    *routing.Table
	names    []string
	trackers map[string]continuity.Tracker
	currents map[string]*inventory.Current
	cancels  map[string]context.CancelFunc
	group    sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]map[string]instance.Handler
	lost     map[string]bool
	// cut has the instances without a path to others, and blind those that can't read the
	// store.
	cut, blind map[string]bool
	// messages counts those between instances, writes those to the store.
	messages, writes int
	versions         []string
	records          map[string]inventory.ServiceVersions
	// held has the prompt parts that runners hold, and asked counts the questions for them.
	held     map[string][]string
	asked    int
	revision int64
}

func newFleet(t *testing.T, instances int, versions ...string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, table: tableOf(t, 1, route("s", 10*time.Second), route("patient", time.Minute)), versions: versions, trackers: make(map[string]continuity.Tracker), currents: make(map[string]*inventory.Current),
		cancels: make(map[string]context.CancelFunc), handlers: make(map[string]map[string]instance.Handler), lost: make(map[string]bool),
		cut: make(map[string]bool), blind: make(map[string]bool), records: make(map[string]inventory.ServiceVersions),
	}
	for n := range instances {
		f.names = append(f.names, fmt.Sprint("i", n))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// route returns a route to a service, whose streams callers may take up.
func route(service string, timeout time.Duration) routing.Route {
	return routing.Route{
		Name: service, Host: "h", Prefix: "/" + service + "/", Kind: routing.Streaming, Resumable: true, Timeout: timeout, Objective: time.Second,
		Shares: []routing.Share{{Service: service, Weight: 1}}, MaxAttempts: 2, Open: true,
	}
}

func tableOf(t *testing.T, version int64, routes ...routing.Route) *routing.Table {
	t.Helper()
	table, err := routing.NewTable(routing.Config{Version: version, Services: []routing.Service{{Name: "s"}, {Name: "patient"}}, Routes: routes})
	is.New(t).NoErr(err)
	return table
}

// start starts an instance, again if it runs, without any memory.
func (f *fleet) start(name string) {
	if cancel, ok := f.cancels[name]; ok {
		cancel()
	}
	f.mu.Lock()
	f.handlers[name] = make(map[string]instance.Handler)
	delete(f.lost, name)
	f.mu.Unlock()
	current := inventory.NewCurrent(clock.System())
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.currents[name], f.cancels[name] = current, cancel
	f.mu.Unlock()
	tracker := continuity.New(clock.System(), name, current, owner.NewFinder(clock.System(), current), mesh{f, name}, f, f, hclog.NewNullLogger())
	f.trackers[name] = tracker
	f.publish(name)
	f.group.Go(func() { _ = tracker.Run(ctx) })
	f.group.Go(func() { f.confirm(ctx, name, current) })
}

// confirm has an instance read the store again and again, until ctx ends. What it knows is as
// old as a read takes.
func (f *fleet) confirm(ctx context.Context, name string, current *inventory.Current) {
	const interval = 400 * time.Millisecond
	for clock.System().Sleep(ctx, interval) == nil {
		f.mu.Lock()
		blind := f.blind[name]
		f.mu.Unlock()
		if !blind {
			current.Confirm(clock.System().Now().Add(-readLag))
		}
	}
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	f.lost[name] = true
	f.mu.Unlock()
	f.cancels[name]()
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.group.Wait()
}

// publish gives an instance the content of the store.
func (f *fleet) publish(name string) {
	f.mu.Lock()
	if f.blind[name] {
		f.mu.Unlock()
		return
	}
	s := &inventory.Snapshot{
		Table: f.table, Revision: era.New(0, f.revision), Instances: make(map[string]inventory.Instance), Runners: make(map[string]*inventory.Runner),
		Versions: maps.Clone(f.records),
	}
	for _, n := range f.names {
		s.Instances[n] = inventory.Instance{Name: n}
	}
	for _, version := range f.versions {
		for _, service := range []string{"s", "patient"} {
			s.Runners[service+version] = &inventory.Runner{ID: service + version, Service: service, Version: version}
		}
	}
	current := f.currents[name]
	f.mu.Unlock()
	current.Advance(s)
	current.Confirm(clock.System().Now())
}

// outOfStep has an instance read nothing of the store, and unless it is among others, hear
// and reach none of them.
func (f *fleet) outOfStep(name string, amongOthers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blind[name], f.cut[name] = true, !amongOthers
}

// serve changes the versions that have runners.
func (f *fleet) serve(versions ...string) {
	f.mu.Lock()
	f.versions = versions
	f.changed()
	f.mu.Unlock()
	pass(readLag)
	synctest.Wait()
}

// changed has the instances read the store. The caller holds mu.
func (f *fleet) changed() {
	f.revision++
	f.group.Go(func() {
		pass(readLag)
		for _, name := range f.names {
			f.publish(name)
		}
	})
}

func (f *fleet) Write(_ context.Context, v inventory.ServiceVersions) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.records[v.Service].Revision != v.Revision {
		return fault.New(fault.Conflict, "the record has changed")
	}
	f.changed()
	v.Revision = era.New(0, f.revision)
	f.records[v.Service] = v
	if len(v.Versions) == 0 {
		delete(f.records, v.Service)
	}
	return nil
}

func (f *fleet) Parts(_ context.Context, r *inventory.Runner) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.lost[r.ID] {
		return nil, errors.New("the runner doesn't answer")
	}
	return f.held[r.ID], nil
}

// hold sets what runners hold, and which of them don't answer.
func (f *fleet) hold(held map[string][]string, lost ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
	for _, id := range lost {
		f.lost[id] = true
	}
}

// recorded returns the versions in the store.
func (f *fleet) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records["s"].Versions
}

// versionOf returns what an instance answers for a stream, and "" if it doesn't know.
func (f *fleet) versionOf(name, stream string) string {
	version, err := f.trackers[name].VersionOf(f.t.Context(), "s", stream, "part of "+stream)
	if err != nil {
		is.New(f.t).True(fault.Is(err, fault.NoRunner))
		return ""
	}
	return version
}

// keeper returns the first instance that keeps a stream, or writes the record of a service.
func (f *fleet) keeper(key string) string {
	return owner.NewFinder(clock.System(), f.currents["i0"]).Of("continuity/" + key)
}

// others returns the instances that don't keep a stream, except those named.
func (f *fleet) others(stream string, except ...string) []string {
	keepers := owner.NewFinder(clock.System(), f.currents[f.names[0]]).Ranked("continuity/"+stream, 3)
	return slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return slices.Contains(keepers, n) || slices.Contains(except, n) })
}

// mesh connects the instances of a fleet.
type mesh struct {
	fleet *fleet
	self  string
}

func (m mesh) Handle(method string, h instance.Handler) { m.fleet.handlers[m.self][method] = h }

func (m mesh) SetAddresses(map[string]string) {}

func (m mesh) Call(ctx context.Context, to, method string, params, result any) error {
	m.fleet.mu.Lock()
	h, lost := m.fleet.handlers[to][method], m.fleet.lost[to] || m.fleet.cut[to] || m.fleet.cut[m.self]
	m.fleet.messages++
	m.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, m.self, data)
	if err != nil || result == nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func pass(d time.Duration) { _ = clock.System().Sleep(context.Background(), d) }

// test runs a test with a fleet of six instances.
func test(t *testing.T, versions []string, run func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, versions...)
		defer f.stop()
		run(is.New(t), f)
	})
}

// TestEveryInstanceFindsStreams guards against take-ups at another version, and against
// refusals once the instance that began the stream and a keeper are gone.
func TestEveryInstanceFindsStreams(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		first := f.others("stream")[0]
		f.trackers[first].Began("s", "stream", "v1")
		pass(10 * time.Millisecond)
		for _, name := range f.names {
			is.Equal(f.versionOf(name, "stream"), "v1")
			is.Equal(f.versionOf(name, "other"), "")
		}
		f.kill(first)
		f.kill(f.keeper("stream"))
		for _, name := range f.others("stream", first) {
			is.Equal(f.versionOf(name, "stream"), "v1")
		}
	})
}

// TestStreamsBeforeTheSecondVersionAreFound guards against streams that began when there was
// nothing to tell.
func TestStreamsBeforeTheSecondVersionAreFound(t *testing.T) {
	test(t, []string{"v1"}, func(is *is.I, f *fleet) {
		first := f.others("stream")[0]
		f.trackers[first].Began("s", "stream", "v1")
		pass(5 * time.Second)
		is.Equal(f.messages, 0)
		f.serve("v1", "v2")
		f.kill(first)
		for _, name := range f.others("stream", first) {
			is.Equal(f.versionOf(name, "stream"), "v1")
		}
	})
}

// TestStreamsAreRememberedForTheLongestRetention guards streams of a service with a long
// time limit against those of another one.
func TestStreamsAreRememberedForTheLongestRetention(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		first := f.trackers["i0"]
		first.Began("patient", "stream", "v1")
		for range 3 {
			pass(31 * time.Second)
			for n := range 20 { // so that all instances are told of some
				first.Began("s", fmt.Sprint(n), "v1")
			}
		}
		pass(time.Second)
		for _, name := range f.names {
			version, err := f.trackers[name].VersionOf(f.t.Context(), "patient", "stream", "")
			is.NoErr(err)
			is.Equal(version, "v1")
		}
	})
}

// TestStreamsBeginAtVersionsThatAllInstancesKnow guards against streams of a version that
// another instance doesn't know, which takes the other one for the only one.
func TestStreamsBeginAtVersionsThatAllInstancesKnow(t *testing.T) {
	test(t, []string{"v1"}, func(is *is.I, f *fleet) {
		begins := func(version string) bool { return f.trackers["i0"].MayBegin("s")(version) }
		is.True(begins("v1"))
		is.True(!begins("v2"))
		f.serve("v1", "v2")
		pass(1400 * time.Millisecond)
		is.True(begins("v1"))
		is.True(!begins("v2"))
		pass(200 * time.Millisecond)
		is.True(begins("v2"))
	})
}

// TestInstanceThatStartsBeginsNoStreamsAtVersionsThatOthersMayNotKnow guards against an
// instance that starts just after a version appeared, and against a service that gets its first
// resumable route then: others may still take the other version for the only one.
func TestInstanceThatStartsBeginsNoStreamsAtVersionsThatOthersMayNotKnow(t *testing.T) {
	test(t, []string{"v1"}, func(is *is.I, f *fleet) {
		pass(5 * time.Second)
		f.mu.Lock()
		f.versions = []string{"v1", "v2"} // no other instance has read it yet
		f.mu.Unlock()
		f.start("i0")
		begins := func(version string) bool { return f.trackers["i0"].MayBegin("s")(version) }
		is.True(!begins("v2"))
		pass(1400 * time.Millisecond)
		is.True(!begins("v2"))
		pass(200 * time.Millisecond)
		is.True(begins("v1") && begins("v2"))
	})
	test(t, []string{"v2"}, func(is *is.I, f *fleet) {
		f.start("i0")
		is.True(f.trackers["i0"].MayBegin("s")("v2")) // nothing serves but this one
	})
}

// TestInstanceOutOfStepTakesNoStreamUpAtTheOnlyVersionThatItKnows guards against answers of two
// versions: streams began at a version that an instance hasn't heard of.
func TestInstanceOutOfStepTakesNoStreamUpAtTheOnlyVersionThatItKnows(t *testing.T) {
	for _, amongOthers := range []bool{false, true} {
		t.Run(fmt.Sprint("among others ", amongOthers), func(t *testing.T) {
			test(t, []string{"v1"}, func(is *is.I, f *fleet) {
				first, late := f.others("stream")[0], f.others("stream")[1]
				f.trackers[late].Began("s", "own", "v1")
				f.outOfStep(late, amongOthers)
				f.serve("v1", "v2")
				pass(2 * time.Second)
				f.trackers[first].Began("s", "stream", "v2")
				pass(10 * time.Millisecond)
				want := ""
				if amongOthers {
					want = "v2" // the keepers tell
				}
				is.Equal(f.versionOf(late, "stream"), want)
				is.Equal(f.versionOf(late, "never began"), "")
				is.Equal(f.versionOf(late, "own"), "v1") // it began here
			})
		})
	}
}

// TestSearchByOldViewIsNotTaken guards against a stream that is found at a runner which was sent
// it first, while one of a version that the instance hasn't heard of began it.
func TestSearchByOldViewIsNotTaken(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		f.hold(map[string][]string{"sv1": {"part of one"}})
		pass(3 * time.Second)
		is.Equal(f.versionOf("i0", "one"), "v1")
		f.outOfStep("i1", true)
		f.hold(map[string][]string{"sv1": {"part of two"}})
		pass(3 * time.Second)
		is.Equal(f.versionOf("i1", "two"), "")
		is.Equal(f.versionOf("i0", "two"), "v1")
	})
}

// TestStreamsGoOnWhileNobodyReadsTheStore guards against refusals in an outage of the store,
// in which no instance knows of another version.
func TestStreamsGoOnWhileNobodyReadsTheStore(t *testing.T) {
	test(t, []string{"v1"}, func(is *is.I, f *fleet) {
		for _, name := range f.names {
			f.outOfStep(name, true)
		}
		pass(8 * time.Second)
		is.Equal(f.versionOf("i0", "stream"), "v1")
		f.kill(f.keeper("stream")) // it may know otherwise
		is.Equal(f.versionOf(f.others("stream")[0], "stream"), "")
	})
}

// TestInstancesThatStartKnowVersionsThatLeft guards against instances that take the version
// that they see for the only one, and against refusals after the retention.
func TestInstancesThatStartKnowVersionsThatLeft(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("owner lost ", lost), func(t *testing.T) {
			test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
				if lost {
					f.kill(f.keeper("s"))
				}
				pass(7 * time.Second)
				is.Equal(f.recorded(), []string{"v1", "v2"})
				f.serve("v2")
				pass(10 * time.Second)
				for _, name := range f.names {
					f.start(name)
				}
				is.Equal(f.versionOf("i0", "stream"), "")
				pass(15 * time.Second)
				is.Equal(f.versionOf("i0", "stream"), "")
				pass(22 * time.Second)
				is.Equal(f.recorded(), nil)
				is.Equal(f.versionOf("i0", "stream"), "v2")
				is.True(f.writes <= 4)
			})
		})
	}
}

// TestRunnersKnowStreamsAfterLossOfAllInstances guards against refusals of streams whose
// runner still holds their prompt, and against guesses.
func TestRunnersKnowStreamsAfterLossOfAllInstances(t *testing.T) {
	test(t, []string{"v1", "v2", "v3"}, func(is *is.I, f *fleet) {
		f.hold(map[string][]string{"sv1": {"part of one", "part of both", "part of late"}, "sv2": {"part of two", "part of both"}, "sv3": {"part of three"}}, "sv3")
		pass(3 * time.Second)
		f.mu.Lock()
		f.asked = 0
		f.mu.Unlock()
		for _, name := range f.names {
			f.start(name)
		}
		pass(3 * time.Second)
		for range 20 {
			is.Equal(f.versionOf("i0", "one"), "v1")
			is.Equal(f.versionOf("i0", "two"), "v2")
			is.Equal(f.versionOf("i0", "both"), "")
			is.Equal(f.versionOf("i0", "three"), "")
			is.Equal(f.versionOf("i0", "never"), "")
		}
		is.Equal(f.asked, 6*2*3+3) // of both services at the start of each instance, and once since
		pass(3 * time.Second)
		f.hold(nil) // runners drop parts by and by
		is.Equal(f.versionOf("i1", "late"), "v1")
	})
}

// TestManyRunnersAreNotSearched guards large services, whose runners the lists delay.
func TestManyRunnersAreNotSearched(t *testing.T) {
	var versions []string
	for n := range 65 {
		versions = append(versions, fmt.Sprint("v", n))
	}
	test(t, versions, func(is *is.I, f *fleet) {
		is.Equal(f.versionOf("i0", "one"), "")
		is.Equal(f.asked, 0)
	})
}

// TestManyInstancesDontSearch guards runners against lists for each of them.
func TestManyInstancesDontSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 33, "v1", "v2")
		defer f.stop()
		pass(time.Second)
		is.New(t).Equal(f.versionOf("i0", "one"), "")
		is.New(t).Equal(f.asked, 0)
	})
}

// TestRefusalsSayWhenToComeBack guards against callers that come back in vain, and against
// some that wait although a keeper may know their stream.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		after := func() time.Duration {
			_, err := f.trackers["i0"].VersionOf(f.t.Context(), "s", "stream", "")
			return fault.Of(err).RetryAfter()
		}
		pass(5 * time.Second)
		is.Equal(after(), 30*time.Second) // several versions serve
		f.serve("v2")
		pass(10 * time.Second)
		is.Equal(after().Round(time.Second), 20*time.Second)
		f.kill(f.keeper("stream"))
		is.True(after() < 5*time.Second)
	})
}

// TestSingleVersionCostsNothing guards fleets with one version against messages and writes.
func TestSingleVersionCostsNothing(t *testing.T) {
	test(t, []string{"v1"}, func(is *is.I, f *fleet) {
		for n, name := range f.names {
			f.trackers[name].Began("s", fmt.Sprint(n), "v1")
			is.Equal(f.versionOf(name, "unknown"), "v1")
		}
		pass(time.Minute)
		is.Equal(f.messages, 0)
		is.Equal(f.writes, 0)
	})
}

// TestServiceWithoutRouteIsForgotten guards against records that stay in the store for ever.
func TestServiceWithoutRouteIsForgotten(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		pass(5 * time.Second)
		is.Equal(f.recorded(), []string{"v1", "v2"})
		f.table = tableOf(f.t, 2, route("patient", time.Minute))
		f.serve("v2")
		pass(35 * time.Second)
		is.Equal(f.recorded(), nil)
	})
}

// TestLongIdentifiersAreNotSent guards the memory of other instances against callers.
func TestLongIdentifiersAreNotSent(t *testing.T) {
	test(t, []string{"v1", "v2"}, func(is *is.I, f *fleet) {
		long := strings.Repeat("x", 1<<20)
		f.trackers["i0"].Began("s", long, "v1")
		is.Equal(f.versionOf("i0", long), "")
		is.Equal(f.versionOf("i0", ""), "")
		is.Equal(f.messages, 0)
	})
}
