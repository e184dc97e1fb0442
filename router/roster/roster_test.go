package roster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/roster"
	"cicadawell.dev/router/roster/hold"
	"github.com/matryer/is"
)

// fakeStore is the platform's store in one process.
type fakeStore struct {
	mu       sync.Mutex
	clk      clock.Clock
	entries  map[string]platformapi.Entry
	events   []platformapi.Event
	leases   map[uint64]time.Time
	ttl      time.Duration
	revision uint64
	calls    int
	down     bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{clk: clock.System(), entries: make(map[string]platformapi.Entry), leases: make(map[uint64]time.Time)}
}

// begin counts a call and ends the leases that have lapsed.
func (s *fakeStore) begin() error {
	s.calls++
	if s.down {
		return fault.New(fault.StoreUnavailable, "down")
	}
	for lease, until := range s.leases {
		if s.clk.Now().After(until) {
			s.end(lease)
		}
	}
	return nil
}

func (s *fakeStore) end(lease uint64) {
	delete(s.leases, lease)
	for key, e := range s.entries {
		if e.Lease == lease {
			s.revision++
			delete(s.entries, key)
			e.Revision = s.revision
			s.events = append(s.events, platformapi.Event{Entry: e, Deleted: true})
		}
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (*platformapi.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	if e, ok := s.entries[key]; ok {
		return &e, s.revision, nil
	}
	return nil, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platformapi.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	var all []platformapi.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
		}
	}
	return all, s.revision, nil
}

func (s *fakeStore) Put(_ context.Context, put platformapi.PutRequest) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	if put.IfRevision != nil && s.entries[put.Key].Revision != *put.IfRevision {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	s.revision++
	e := platformapi.Entry{Key: put.Key, Value: put.Value, Revision: s.revision, Lease: put.Lease}
	s.entries[put.Key] = e
	s.events = append(s.events, platformapi.Event{Entry: e})
	return s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, w platformapi.WatchRequest) (platformapi.WatchResponse, error) {
	s.mu.Lock()
	err := s.begin()
	s.mu.Unlock()
	for wait := time.Duration(0); err == nil && wait < time.Duration(w.WaitMillis)*time.Millisecond; wait += 100 * time.Millisecond {
		s.mu.Lock()
		s.calls-- // begin below is part of the same call
		err = s.begin()
		answer := platformapi.WatchResponse{Revision: s.revision}
		for _, e := range s.events {
			if e.Entry.Revision > w.After && strings.HasPrefix(e.Entry.Key, w.Prefix) {
				answer.Events = append(answer.Events, e)
			}
		}
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			return answer, err
		}
		if err := s.clk.Sleep(ctx, 100*time.Millisecond); err != nil {
			return platformapi.WatchResponse{}, err
		}
	}
	return platformapi.WatchResponse{Revision: w.After}, err
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.revision++
	s.ttl = ttl
	s.leases[s.revision] = s.clk.Now().Add(ttl)
	return s.revision, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	if _, ok := s.leases[lease]; !ok {
		return fault.New(fault.NotFound, "no lease")
	}
	s.leases[lease] = s.clk.Now().Add(s.ttl)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(lease)
	return nil
}

func (s *fakeStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// fakeMesh joins the rosters of one process and counts what passes.
type fakeMesh struct {
	id       string
	group    *group
	handlers map[string]instance.Handler
}

func (m *fakeMesh) Handle(method string, h instance.Handler) { m.handlers[method] = h }

func (m *fakeMesh) Learn(map[string]string) {}

func (m *fakeMesh) Call(ctx context.Context, to, method string, params, result any) error {
	m.group.mu.Lock()
	other := m.group.meshes[to]
	m.group.mu.Unlock()
	if other == nil {
		return fault.New(fault.HomeUnsettled, "no such instance")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := other.handlers[method](ctx, m.id, raw)
	if err != nil {
		return err
	}
	back, err := json.Marshal(answer)
	m.group.mu.Lock()
	m.group.messages += 2
	m.group.bytes += len(raw) + len(back)
	m.group.mu.Unlock()
	if err != nil {
		return err
	}
	return json.Unmarshal(back, result)
}

// group is some rosters around one store.
type group struct {
	t       *testing.T
	store   *fakeStore
	rosters map[string]roster.Roster
	stops   map[string]func()

	mu              sync.Mutex
	meshes          map[string]*fakeMesh
	messages, bytes int
}

func newGroup(t *testing.T, n int) *group {
	g := &group{
		t: t, store: newFakeStore(), rosters: make(map[string]roster.Roster),
		stops: make(map[string]func()), meshes: make(map[string]*fakeMesh),
	}
	for i := range n {
		g.start(string(rune('a'+i)), "1")
	}
	return g
}

func (g *group) start(id, incarnation string) {
	m := &fakeMesh{id: id, group: g, handlers: make(map[string]instance.Handler)}
	self := roster.Registration{Instance: platformapi.Instance{ID: id}, Incarnation: incarnation}
	r := roster.New(self, roster.WithStore(g.store), roster.WithMesh(m))
	g.mu.Lock()
	g.meshes[id] = m
	g.mu.Unlock()
	g.rosters[id] = r
	ctx, cancel := context.WithCancel(g.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) })
	g.stops[id] = func() {
		g.mu.Lock()
		delete(g.meshes, id)
		g.mu.Unlock()
		cancel()
		running.Wait()
	}
}

func (g *group) stopAll() {
	for _, stop := range g.stops {
		stop()
	}
}

// pass lets the bubble's time pass.
func pass(d time.Duration) { <-clock.System().After(d); synctest.Wait() }

// acting returns how many slots the instance serves now.
func (g *group) acting(id string) (slots int) {
	s := g.rosters[id].State()
	for slot := range hold.Slot(hold.Slots) {
		if s.Acts(clock.System().Now(), slot) {
			slots++
		}
	}
	return slots
}

func (g *group) actingOf(ids ...string) (slots int) {
	for _, id := range ids {
		slots += g.acting(id)
	}
	return slots
}

func TestDeadMemberIsReplacedWithoutAGapElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 5)
		defer g.stopAll()
		pass(10 * time.Second)
		is.Equal(g.actingOf("a", "b", "c", "d", "e"), hold.Slots)
		lost := g.acting("c")
		g.stops["c"]()
		rest := []string{"a", "b", "d", "e"}
		took := time.Duration(0)
		for g.actingOf(rest...) != hold.Slots {
			is.True(g.actingOf(rest...) >= hold.Slots-lost) // only the dead one's slots
			pass(100 * time.Millisecond)
			took += 100 * time.Millisecond
			is.True(took < 15*time.Second)
		}
		t.Logf("slots of the dead member served again after %v", took)
	})
}

func TestHoldsOutlastAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 5)
		defer g.stopAll()
		pass(10 * time.Second)
		epoch := g.rosters["a"].State().View.Epoch
		g.store.set(true)
		for range 60 {
			pass(time.Second)
			is.Equal(g.actingOf("a", "b", "c", "d", "e"), hold.Slots)
		}
		g.store.set(false) // all registrations have lapsed meanwhile
		for range 30 {
			pass(time.Second)
			is.Equal(g.actingOf("a", "b", "c", "d", "e"), hold.Slots)
		}
		is.Equal(g.rosters["a"].State().View.Epoch, epoch) // nobody was removed
	})
}

func TestLeaverIsTakenOutWithoutAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 3)
		defer g.stopAll()
		pass(10 * time.Second)
		var left sync.WaitGroup
		left.Go(func() { is.NoErr(g.rosters["b"].Leave(t.Context())) })
		gap := 0
		for range 40 {
			pass(50 * time.Millisecond)
			if g.actingOf("a", "b", "c") < hold.Slots {
				gap++
			}
		}
		left.Wait()
		t.Logf("%d of 40 looks 50 ms apart saw a slot without a home", gap)
		is.True(gap <= 10)
		is.Equal(g.actingOf("a", "c"), hold.Slots)
		is.Equal(len(g.rosters["a"].Registered()), 2)
	})
}

// TestExchangeGrowsWithTheGroupOnlyBound counts what the members exchange. A
// member's part grows with the members of its group, and its calls to the store
// do not grow at all.
func TestExchangeGrowsWithTheGroupOnlyBound(t *testing.T) {
	var perCall []float64
	for _, n := range []int{3, 5, 7} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, n)
			defer g.stopAll()
			pass(10 * time.Second)
			const seconds = 60
			g.mu.Lock()
			messages, bytes := g.messages, g.bytes
			g.mu.Unlock()
			g.store.mu.Lock()
			calls := g.store.calls
			g.store.mu.Unlock()
			pass(seconds * time.Second)
			g.mu.Lock()
			messages, bytes = g.messages-messages, g.bytes-bytes
			g.mu.Unlock()
			g.store.mu.Lock()
			calls = g.store.calls - calls
			g.store.mu.Unlock()
			each := float64(n * seconds)
			t.Logf("members %d: sent and received per member and second: %.2f messages, %.0f bytes of JSON; store calls %.2f",
				n, 2*float64(messages)/each, 2*float64(bytes)/each, float64(calls)/each)
			perCall = append(perCall, float64(calls)/each)
		})
	}
	if slices.Max(perCall) > 1.1*slices.Min(perCall) || slices.Max(perCall) > 1.5 {
		t.Errorf("store calls per member and second: %s", fmt.Sprint(perCall))
	}
}
