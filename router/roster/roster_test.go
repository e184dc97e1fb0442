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
	"cicadawell.dev/router/roster/viewlease"
	"github.com/matryer/is"
)

// fakeStore is an in-memory store.
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

// beginCall counts a call and removes the expired leases.
func (s *fakeStore) beginCall() error {
	s.calls++
	if s.down {
		return fault.New(fault.StoreUnavailable, "down")
	}
	for lease, until := range s.leases {
		if s.clk.Now().After(until) {
			s.expireLease(lease)
		}
	}
	return nil
}

func (s *fakeStore) expireLease(lease uint64) {
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
	if err := s.beginCall(); err != nil {
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
	if err := s.beginCall(); err != nil {
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
	if err := s.beginCall(); err != nil {
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
	err := s.beginCall()
	s.mu.Unlock()
	for wait := time.Duration(0); err == nil && wait < time.Duration(w.WaitMillis)*time.Millisecond; wait += 100 * time.Millisecond {
		s.mu.Lock()
		s.calls-- // beginCall below is part of the same call
		err = s.beginCall()
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
	if err := s.beginCall(); err != nil {
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
	if err := s.beginCall(); err != nil {
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
	s.expireLease(lease)
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// fakeMesh connects the rosters of one process, and counts messages and bytes.
type fakeMesh struct {
	id       string
	cluster  *cluster
	handlers map[string]instance.Handler
}

func (m *fakeMesh) Handle(method string, h instance.Handler) { m.handlers[method] = h }

func (m *fakeMesh) SetAddresses(map[string]string) {}

func (m *fakeMesh) Call(ctx context.Context, to, method string, params, result any) error {
	m.cluster.mu.Lock()
	other := m.cluster.meshes[to]
	m.cluster.mu.Unlock()
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
	m.cluster.mu.Lock()
	m.cluster.messages += 2
	m.cluster.bytes += len(raw) + len(back)
	m.cluster.mu.Unlock()
	if err != nil {
		return err
	}
	return json.Unmarshal(back, result)
}

// cluster is a set of rosters that share one store.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	rosters map[string]roster.Roster
	stops   map[string]func()

	mu              sync.Mutex
	meshes          map[string]*fakeMesh
	messages, bytes int
}

func newCluster(t *testing.T, n int) *cluster {
	g := &cluster{
		t: t, store: newFakeStore(), rosters: make(map[string]roster.Roster),
		stops: make(map[string]func()), meshes: make(map[string]*fakeMesh),
	}
	for i := range n {
		g.start(string(rune('a'+i)), "1")
	}
	return g
}

func (g *cluster) start(id, incarnation string) {
	m := &fakeMesh{id: id, cluster: g, handlers: make(map[string]instance.Handler)}
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

func (g *cluster) stopAll() {
	for _, stop := range g.stops {
		stop()
	}
}

// advanceTime advances the fake clock of the synctest bubble.
func advanceTime(d time.Duration) { <-clock.System().After(d); synctest.Wait() }

// servedSlots returns how many slots the instance may serve as their home now.
func (g *cluster) servedSlots(id string) (slots int) {
	s := g.rosters[id].State()
	for slot := range viewlease.Slot(viewlease.Slots) {
		if s.MayServe(clock.System().Now(), slot) {
			slots++
		}
	}
	return slots
}

func (g *cluster) totalServedSlots(ids ...string) (slots int) {
	for _, id := range ids {
		slots += g.servedSlots(id)
	}
	return slots
}

func TestDeadMemberInterruptsOnlyItsOwnSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newCluster(t, 5)
		defer g.stopAll()
		advanceTime(10 * time.Second)
		is.Equal(g.totalServedSlots("a", "b", "c", "d", "e"), viewlease.Slots)
		lostSlots := g.servedSlots("c")
		g.stops["c"]()
		rest := []string{"a", "b", "d", "e"}
		took := time.Duration(0)
		for g.totalServedSlots(rest...) != viewlease.Slots {
			is.True(g.totalServedSlots(rest...) >= viewlease.Slots-lostSlots) // only the dead member's slots are unserved
			advanceTime(100 * time.Millisecond)
			took += 100 * time.Millisecond
			is.True(took < 15*time.Second)
		}
		t.Logf("slots of the dead member served again after %v", took)
	})
}

func TestLeasesSurviveAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newCluster(t, 5)
		defer g.stopAll()
		advanceTime(10 * time.Second)
		epoch := g.rosters["a"].State().View.Epoch
		g.store.setDown(true)
		for range 60 {
			advanceTime(time.Second)
			is.Equal(g.totalServedSlots("a", "b", "c", "d", "e"), viewlease.Slots)
		}
		g.store.setDown(false) // all registrations have expired meanwhile
		for range 30 {
			advanceTime(time.Second)
			is.Equal(g.totalServedSlots("a", "b", "c", "d", "e"), viewlease.Slots)
		}
		is.Equal(g.rosters["a"].State().View.Epoch, epoch) // no member was removed
	})
}

func TestLeaveLeavesSlotsUnservedOnlyBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newCluster(t, 3)
		defer g.stopAll()
		advanceTime(10 * time.Second)
		var left sync.WaitGroup
		left.Go(func() { is.NoErr(g.rosters["b"].Leave(t.Context())) })
		gap := 0
		for range 40 {
			advanceTime(50 * time.Millisecond)
			if g.totalServedSlots("a", "b", "c") < viewlease.Slots {
				gap++
			}
		}
		left.Wait()
		t.Logf("%d of 40 samples 50 ms apart found a slot without a home", gap)
		is.True(gap <= 10)
		is.Equal(g.totalServedSlots("a", "c"), viewlease.Slots)
		is.Equal(len(g.rosters["a"].Registered()), 2)
	})
}

// TestStoreCallsDoNotGrowWithMembersBound guards against cost that grows too fast
// with the number of members. The messages of one member grow with the number of
// members; its calls to the store must not. The test logs the messages and checks
// the calls to the store.
func TestStoreCallsDoNotGrowWithMembersBound(t *testing.T) {
	var storeCallRates []float64
	for _, n := range []int{3, 5, 7} {
		synctest.Test(t, func(t *testing.T) {
			g := newCluster(t, n)
			defer g.stopAll()
			advanceTime(10 * time.Second)
			const seconds = 60
			g.mu.Lock()
			messages, bytes := g.messages, g.bytes
			g.mu.Unlock()
			g.store.mu.Lock()
			calls := g.store.calls
			g.store.mu.Unlock()
			advanceTime(seconds * time.Second)
			g.mu.Lock()
			messages, bytes = g.messages-messages, g.bytes-bytes
			g.mu.Unlock()
			g.store.mu.Lock()
			calls = g.store.calls - calls
			g.store.mu.Unlock()
			each := float64(n * seconds)
			t.Logf("members %d: sent and received per member and second: %.2f messages, %.0f bytes of JSON; store calls %.2f",
				n, 2*float64(messages)/each, 2*float64(bytes)/each, float64(calls)/each)
			storeCallRates = append(storeCallRates, float64(calls)/each)
		})
	}
	if slices.Max(storeCallRates) > 1.1*slices.Min(storeCallRates) || slices.Max(storeCallRates) > 1.5 {
		t.Errorf("store calls per member and second: %s", fmt.Sprint(storeCallRates))
	}
}
