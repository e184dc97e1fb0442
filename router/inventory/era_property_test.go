package inventory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 200) }

// modelStore is a store of which copies are taken and put back.
type modelStore struct {
	revision era.Revision
	// items has the last change of each key, and history all of them, in order.
	items   map[string]Change
	history []Change
}

func (s modelStore) copied() modelStore {
	s.items, s.history = maps.Clone(s.items), slices.Clone(s.history)
	return s
}

// put makes a change of a key. One that removes the key leaves no item.
func (s *modelStore) put(key string, c Change, removes bool) {
	s.revision.Number++
	c.Revision = s.revision
	if c.Runner != nil {
		described := *c.Runner
		described.Revision = s.revision
		c.Runner = &described
	}
	s.history = append(s.history, c)
	s.items[key] = c
	if removes {
		delete(s.items, key)
	}
}

// comeBack replaces the content by that of a copy, in the next era.
func (s *modelStore) comeBack(from modelStore) {
	next := from.copied()
	next.revision.Era = s.revision.Era + 1
	inEra := func(c Change) Change {
		c.Revision.Era = next.revision.Era
		if c.Runner != nil {
			described := *c.Runner
			described.Revision = c.Revision
			c.Runner = &described
		}
		return c
	}
	for key, c := range next.items {
		next.items[key] = inEra(c)
	}
	for n, c := range next.history {
		next.history[n] = inEra(c)
	}
	*s = next
}

// modelAnswer is the answer to a call of a follower, which may arrive late.
type modelAnswer struct {
	start    time.Time
	changes  []Change
	revision era.Revision
	all      bool
	err      error
}

// eraModel is operators, runners, a store and the followers that read it.
type eraModel struct {
	t         *rapid.T
	clk       *clock.Manual
	store     modelStore
	copy      modelStore
	followers []*follower
	// late has an answer for a follower that hasn't arrived.
	late []*modelAnswer
	// version, out and alive are what operators and runners want: the newest configuration,
	// the zones that are out, with the revisions at which they were taken out, and the starts
	// of the runners that live. described counts the descriptions of all.
	version   int64
	out       map[string]era.Revision
	alive     map[string]int64
	starts    int64
	described int64
	// left has the last descriptions of runners that are gone.
	left map[string]*Runner
	// seenOut and seenGone has what each follower has seen of that.
	seenOut, seenGone []map[string]bool
	tables            map[int64]*routing.Table
}

func newEraModel(t *rapid.T) *eraModel {
	m := &eraModel{
		t: t, clk: clock.NewManual(time.Unix(1000, 0)), out: make(map[string]era.Revision), alive: make(map[string]int64), left: make(map[string]*Runner), tables: make(map[int64]*routing.Table),
		store: modelStore{revision: era.New(1, 0), items: make(map[string]Change)},
	}
	m.configure()
	m.copy = m.store.copied()
	for range 3 {
		f := NewFollower(m.clk, nil, NewCurrent(m.clk), hclog.NewNullLogger(), WithRollouts(true)).(*follower)
		f.relist = true
		m.followers = append(m.followers, f)
		m.late = append(m.late, nil)
		m.seenOut, m.seenGone = append(m.seenOut, make(map[string]bool)), append(m.seenGone, make(map[string]bool))
	}
	return m
}

func (m *eraModel) writeConfig() {
	if m.tables[m.version] == nil {
		table, err := routing.NewTable(routing.Config{Version: m.version})
		if err != nil {
			m.t.Fatal(err)
		}
		m.tables[m.version] = table
	}
	m.store.put("config", Change{Table: m.tables[m.version]}, false)
}

func (m *eraModel) configure() {
	m.version++
	m.writeConfig()
}

func (m *eraModel) evacuate(zone string) {
	m.store.put("zone "+zone, Change{ZoneOut: zone}, false)
	m.out[zone] = m.store.revision
}

func (m *eraModel) returnZone(zone string) {
	if _, out := m.out[zone]; !out {
		return
	}
	delete(m.out, zone)
	for _, seen := range m.seenOut {
		delete(seen, zone)
	}
	m.store.put("zone "+zone, Change{ReturnedZone: zone, SeenAt: m.clk.Now()}, true)
}

func (m *eraModel) describe(id string) {
	if m.alive[id] == 0 {
		m.starts++
		m.alive[id] = m.starts
	}
	m.described++
	m.store.put("runner "+id, Change{Runner: &Runner{ID: id, Born: m.alive[id], Count: m.described, Service: "s"}}, false)
}

func (m *eraModel) leave(id string) {
	if m.alive[id] > 0 {
		m.left[id] = m.store.items["runner "+id].Runner
		delete(m.alive, id)
		m.store.put("runner "+id, Change{RemovedRunner: id}, true)
	}
}

// writeAgain has operators and runners write what the store lost, and the entries of runners
// that are gone expire.
func (m *eraModel) writeAgain() {
	m.writeConfig()
	for _, zone := range []string{"y", "z"} {
		_, out := m.out[zone]
		if _, stored := m.store.items["zone "+zone]; out {
			m.evacuate(zone)
		} else if stored {
			m.store.put("zone "+zone, Change{ReturnedZone: zone, SeenAt: m.clk.Now()}, true)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if r := m.store.items[key].Runner; r != nil && m.alive[r.ID] == 0 {
			m.store.put(key, Change{RemovedRunner: r.ID}, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.alive)) {
		m.describe(id)
	}
}

// ask returns the answer of the store to the next call of a follower.
func (m *eraModel) ask(f *follower) *modelAnswer {
	a := &modelAnswer{start: m.clk.Now(), revision: m.store.revision, all: f.relist}
	known := f.current.Load().Revision
	switch {
	case a.all:
		for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
			a.changes = append(a.changes, m.store.items[key])
		}
	case known.Era != m.store.revision.Era || known.Number > m.store.revision.Number:
		a.err = fault.New(fault.HistoryGone, "another era")
	default:
		for _, c := range m.store.history {
			if c.Revision.After(known) {
				a.changes = append(a.changes, c)
			}
		}
	}
	return a
}

func (f *follower) take(a *modelAnswer) {
	if a.err != nil {
		f.noteFailure(a.start, a.err)
		return
	}
	f.applyAnswer(a.start, slices.Clone(a.changes), a.revision, a.all)
}

// tell passes the view of a follower on to another one.
func (m *eraModel) tell(from, to int) {
	view, freshness := m.followers[from].View()
	if view.Table != nil {
		m.followers[to].AdoptSnapshot(fmt.Sprint(from), view, freshness)
	}
}

// check fails if a view went back, or forgot what it had seen.
func (m *eraModel) check(before []*Snapshot) {
	for n, f := range m.followers {
		view, old := f.current.Load(), before[n]
		if view.Revision.Before(old.Revision) {
			m.t.Fatalf("follower %d went back from %v to %v", n, old.Revision, view.Revision)
		}
		if old.Table != nil && view.Table.Version() < old.Table.Version() {
			m.t.Fatalf("follower %d went back from configuration %d to %d", n, old.Table.Version(), view.Table.Version())
		}
		for zone := range m.seenOut[n] {
			if !view.ZonesOut[zone] {
				m.t.Fatalf("follower %d takes zone %s for returned", n, zone)
			}
		}
		for zone, since := range m.out {
			if view.ZonesOut[zone] && !view.Revision.Before(since) {
				m.seenOut[n][zone] = true
			}
		}
		for id, last := range m.left {
			// Who hasn't read the last description can't tell it from one of a runner that lives.
			if gone := f.departures.since(m.clk.Now())[id]; gone != nil && last != nil && gone.Count == last.Count {
				m.seenGone[n][id] = true
			}
		}
		for id := range m.seenGone[n] {
			if m.alive[id] > 0 {
				delete(m.seenGone[n], id)
			} else if view.Runners[id] != nil {
				m.t.Fatalf("follower %d takes runner %s for back", n, id)
			}
		}
	}
}

// TestViewsFollowAStoreThatComesBackFromCopiesProperty guards against changes that are missed,
// undone or taken from another era, whatever the order of changes, copies, returns, reads, late
// answers and what instances tell each other.
func TestViewsFollowAStoreThatComesBackFromCopiesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEraModel(t)
		ids, zones := []string{"a", "b", "c", "d"}, []string{"y", "z"}
		follower := rapid.IntRange(0, len(m.followers)-1)
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			before := make([]*Snapshot, len(m.followers))
			for n, f := range m.followers {
				before[n] = f.current.Load()
			}
			n := follower.Draw(t, "follower")
			switch rapid.IntRange(0, 12).Draw(t, fmt.Sprint("step ", step)) {
			case 0:
				m.configure()
			case 1:
				m.evacuate(rapid.SampledFrom(zones).Draw(t, "zone"))
			case 2:
				m.returnZone(rapid.SampledFrom(zones).Draw(t, "zone"))
			case 3, 4:
				m.describe(rapid.SampledFrom(ids).Draw(t, "runner"))
			case 5:
				m.leave(rapid.SampledFrom(ids).Draw(t, "runner"))
			case 6:
				m.copy = m.store.copied()
			case 7:
				m.store.comeBack(m.copy)
				for range rapid.IntRange(0, 3).Draw(t, "reads") {
					f := m.followers[follower.Draw(t, "reader")]
					f.take(m.ask(f))
				}
				m.writeAgain()
			case 8:
				m.late[n] = m.ask(m.followers[n])
			case 9:
				if a := m.late[n]; a != nil {
					m.followers[n].take(a)
					m.late[n] = nil
				}
			case 10:
				m.tell(n, follower.Draw(t, "to"))
			default:
				m.followers[n].take(m.ask(m.followers[n]))
			}
			m.clk.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "millis")) * time.Millisecond)
			m.check(before)
		}
		m.settle()
	})
}

// settle has all followers read until nothing is carried any more, and compares their views
// with the store.
func (m *eraModel) settle() {
	for range 4 {
		for _, f := range m.followers {
			f.take(m.ask(f))
		}
		m.clk.Advance(carryFor / 3)
		for _, f := range m.followers {
			f.commitRemovals() // the time between these reads counts as an outage
		}
	}
	var out, alive []string
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		switch c := m.store.items[key]; {
		case c.ZoneOut != "":
			out = append(out, c.ZoneOut)
		case c.Runner != nil:
			alive = append(alive, c.Runner.ID)
		}
	}
	for n, f := range m.followers {
		f.take(m.ask(f))
		view := f.current.Load()
		got := fmt.Sprint(view.Revision, view.Table.Version(), slices.Sorted(maps.Keys(view.ZonesOut)), slices.Sorted(maps.Keys(view.Runners)), len(view.CarriedZones))
		want := fmt.Sprint(m.store.revision, m.version, out, alive, 0)
		if got != want {
			m.t.Fatalf("follower %d ends with %s, the store has %s", n, got, want)
		}
	}
}
