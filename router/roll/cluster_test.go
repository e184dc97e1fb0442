package roll

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/peers"
	"github.com/hashicorp/go-hclog"
)

func TestMain(m *testing.M) { property.Main(m, 20) }

// virtualClock is the virtual clock of testing/synctest.
var virtualClock = clock.System()

// sleep advances the virtual time by d.
func sleep(d time.Duration) { _ = virtualClock.Sleep(context.Background(), d) }

// Timing of the simulated platform.
const (
	leaseTTL      = 3 * time.Second
	renewInterval = time.Second
	listLag       = 2 * time.Second
	dropAfter     = 4 * time.Second
)

// cluster is a simulated platform with instances, inside a bubble of
// testing/synctest.
type cluster struct {
	mu  sync.Mutex
	rng *rand.Rand
	// lossy enables lost, repeated and late messages.
	lossy bool
	// slowStore is the maximum latency of the connection to the store; zero
	// means 10 ms.
	slowStore time.Duration
	storeOut  bool
	entries   map[string]platformapi.Entry
	revision  uint64
	changed   chan struct{}
	procs     []*proc
	leases    map[string]time.Time
	calls     map[string]int
	messages  map[string]int
	bytes     int
	joinCount int

	decided    map[uint64]string
	state      State
	violations []string
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]platformapi.Entry{}, changed: make(chan struct{}),
		leases: map[string]time.Time{}, calls: map[string]int{}, messages: map[string]int{}, decided: map[uint64]string{},
	}
}

func (w *cluster) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// chance returns true in n of 100 cases while the cluster is lossy.
func (w *cluster) chance(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossy && w.rng.IntN(100) < n
}

func (w *cluster) delay(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(most))) + 1
}

func (w *cluster) maxStoreDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowStore
}

// proc is one process of an instance; a restart makes another one.
type proc struct {
	w         *cluster
	self      peers.Peer
	node      *node
	cancel    context.CancelFunc
	ctx       context.Context
	done      sync.WaitGroup
	startedAt time.Time

	handlers map[string]instance.Handler
	// The cluster's mutex guards the fields below.
	dead               bool
	diedAt             time.Time
	pausedAt           time.Time
	resume             chan struct{}
	cutPeers, cutStore bool
	unregistered       bool
	lastVersion        uint64
}

func (w *cluster) start(id, zone string, opts ...Option) *proc {
	p := &proc{w: w, self: peers.Peer{ID: id, Zone: zone}, handlers: map[string]instance.Handler{}, startedAt: virtualClock.Now()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.node = New(p.self, &procStore{p}, &procMesh{p}, &procLister{p}, &procClock{p}, hclog.NewNullLogger(), opts...).(*node)
	p.node.Subscribe(p.checkBundle)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	p.done.Go(func() {
		p.renewLease()
		p.done.Go(p.renewLoop)
		if p.node.Start(p.ctx) == nil {
			_ = p.node.Run(p.ctx)
		}
	})
	return p
}

// checkBundle checks that the versions in force on this process increase and
// that each was decided with this digest.
func (p *proc) checkBundle(b *bundle.Bundle) {
	_, digest, _ := encode(*b)
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if b.Version <= p.lastVersion {
		p.w.reportViolation("%s: version %d after %d", p.self.ID, b.Version, p.lastVersion)
	}
	p.lastVersion = b.Version
	if p.w.decided[b.Version] != digest {
		p.w.reportViolation("%s: version %d in force with digest %.8s, decided %.8q", p.self.ID, b.Version, digest, p.w.decided[b.Version])
	}
}

func (p *proc) renewLease() {
	if p.reachStore() != nil {
		return
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if !p.unregistered {
		p.w.leases[p.self.ID] = virtualClock.Now().Add(leaseTTL)
	}
}

func (p *proc) renewLoop() {
	c := &procClock{p}
	for c.Sleep(p.ctx, renewInterval) == nil {
		p.renewLease()
	}
}

// stop kills the process: after that it neither sends nor receives.
func (p *proc) stop() {
	p.w.mu.Lock()
	p.dead, p.diedAt = true, virtualClock.Now()
	p.unpauseLocked()
	p.w.mu.Unlock()
	p.cancel()
}

func (p *proc) pause() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.resume == nil && !p.dead {
		p.pausedAt, p.resume = virtualClock.Now(), make(chan struct{})
	}
}

func (p *proc) unpause() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.checkServing("on resume")
	p.unpauseLocked()
}

func (p *proc) unpauseLocked() {
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// awaitRunning blocks while the process is paused, and returns an error if it
// is dead.
func (p *proc) awaitRunning() error {
	p.w.mu.Lock()
	resume := p.resume
	p.w.mu.Unlock()
	if resume != nil {
		<-resume
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.dead {
		return fault.New(fault.Internal, "dead")
	}
	return nil
}

// checkServing checks that a ready process has the accepted version in force.
// The caller holds the cluster's mutex.
func (p *proc) checkServing(when string) {
	r, ok := p.w.state.Find(p.w.state.InForce)
	if !ok || r.Phase != operatorapi.Accepted || p.dead {
		return
	}
	if p.node.Ready() == nil && p.node.version() < r.Version {
		p.w.reportViolation("%s serves version %d %s, accepted is %d", p.self.ID, p.node.version(), when, r.Version)
	}
}

// checkAll checks every process that is not paused.
func (w *cluster) checkAll(when string) {
	for _, p := range w.procs {
		if p.resume == nil {
			p.checkServing(when)
		}
	}
}

type procClock struct{ p *proc }

func (c *procClock) Now() time.Time { return virtualClock.Now() }

func (c *procClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-c.After(d):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *procClock) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	go func() {
		<-virtualClock.After(d)
		_ = c.p.awaitRunning()
		ch <- virtualClock.Now()
	}()
	return ch
}

type procStore struct{ p *proc }

var errStoreOut = fault.New(fault.StoreUnavailable, "store is out")

// reachStore simulates the latency of the connection to the store, and fails
// if the store cannot be reached.
func (p *proc) reachStore() error {
	sleep(p.w.delay(max(p.w.maxStoreDelay(), 10*time.Millisecond)))
	if p.w.chance(2) {
		sleep(p.w.delay(2 * time.Second))
	}
	if err := p.awaitRunning(); err != nil {
		return errStoreOut
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.storeOut || p.cutStore || p.dead {
		return errStoreOut
	}
	return nil
}

func (s *procStore) respond() error {
	if s.p.w.chance(5) {
		return errStoreOut.WithOutcome(fault.Unknown)
	}
	return s.p.awaitRunning()
}

func (s *procStore) Get(_ context.Context, key string) (*platformapi.Entry, uint64, error) {
	if err := s.p.reachStore(); err != nil {
		return nil, 0, err
	}
	w := s.p.w
	w.mu.Lock()
	w.calls["get"]++
	e, ok := w.entries[key]
	revision := w.revision
	w.mu.Unlock()
	if err := s.respond(); err != nil {
		return nil, 0, errStoreOut
	}
	if !ok {
		return nil, revision, nil
	}
	return &e, revision, nil
}

func (s *procStore) Put(_ context.Context, put platformapi.PutRequest) (uint64, error) {
	if err := s.p.reachStore(); err != nil {
		return 0, err
	}
	w := s.p.w
	w.mu.Lock()
	w.calls["put"]++
	if put.IfRevision != nil && *put.IfRevision != w.entries[put.Key].Revision {
		w.mu.Unlock()
		return 0, fault.New(fault.Conflict, "another revision")
	}
	w.revision++
	revision := w.revision
	w.entries[put.Key] = platformapi.Entry{Key: put.Key, Value: slices.Clone(put.Value), Revision: revision}
	if put.Key == stateKey {
		w.checkStateWrite(put.Value)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	if err := s.respond(); err != nil {
		return 0, errStoreOut.WithOutcome(fault.Unknown)
	}
	return revision, nil
}

// checkStateWrite checks the invariants of a write to the state.
func (w *cluster) checkStateWrite(value []byte) {
	before := w.state
	w.state = State{}
	if err := json.Unmarshal(value, &w.state); err != nil {
		w.reportViolation("state: %v", err)
	}
	if w.state.InForce < before.InForce || w.state.Last < before.Last {
		w.reportViolation("state went from %d to %d", before.InForce, w.state.InForce)
	}
	if r, ok := w.state.Find(w.state.InForce); ok {
		if old, found := w.decided[r.Version]; found && old != r.Digest {
			w.reportViolation("version %d decided twice", r.Version)
		}
		if r.Signer == "" || r.Signer == r.Writer {
			w.reportViolation("version %d decided without a sign-off", r.Version)
		}
		w.decided[r.Version] = r.Digest
	}
	w.checkAll("on acceptance")
	r, ok := w.state.Find(w.state.InForce)
	if !ok || r.Phase != operatorapi.Accepted {
		return
	}
	for _, p := range w.procs {
		alive := !p.dead && p.resume == nil
		if alive && slices.Contains(r.Members, p.self.ID) && p.node.started.Load() && p.node.version() < r.Version {
			w.reportViolation("member %s has version %d, accepted is %d", p.self.ID, p.node.version(), r.Version)
		}
	}
}

func (s *procStore) Delete(_ context.Context, del platformapi.DeleteRequest) (uint64, error) {
	if err := s.p.reachStore(); err != nil {
		return 0, err
	}
	s.p.w.mu.Lock()
	defer s.p.w.mu.Unlock()
	delete(s.p.w.entries, del.Key)
	return s.p.w.revision, nil
}

func (s *procStore) Watch(ctx context.Context, r platformapi.WatchRequest) (platformapi.WatchResponse, error) {
	w := s.p.w
	end := virtualClock.After(time.Duration(r.WaitMillis) * time.Millisecond)
	w.mu.Lock()
	w.calls["watch"]++
	w.mu.Unlock()
	for {
		if err := s.p.reachStore(); err != nil {
			return platformapi.WatchResponse{}, err
		}
		w.mu.Lock()
		changed := w.changed
		answer := platformapi.WatchResponse{Revision: w.revision}
		for key, e := range w.entries {
			if strings.HasPrefix(key, r.Prefix) && e.Revision > r.After {
				answer.Events = append(answer.Events, platformapi.Event{Entry: e})
			}
		}
		w.mu.Unlock()
		if len(answer.Events) > 0 {
			return answer, s.respond()
		}
		select {
		case <-changed:
		case <-end:
			return answer, s.respond()
		case <-ctx.Done():
			return answer, errStoreOut
		}
	}
}

type procMesh struct{ p *proc }

func (m *procMesh) Handle(method string, h instance.Handler) { m.p.handlers[method] = h }

func (w *cluster) find(id string) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range slices.Backward(w.procs) {
		if p.self.ID == id {
			return p
		}
	}
	return nil
}

// reply is the answer of a handler.
type reply struct {
	data []byte
	err  error
}

func (m *procMesh) Call(ctx context.Context, to, method string, params, result any) error {
	w := m.p.w
	raw, _ := json.Marshal(params)
	w.mu.Lock()
	w.messages[m.p.self.ID]++
	w.messages[to]++
	w.bytes += len(raw)
	w.mu.Unlock()
	answered := make(chan reply, 2)
	deliver := func(late time.Duration) {
		sleep(late)
		if r, ok := m.deliver(to, method, raw); ok {
			answered <- r
		}
	}
	if !w.chance(3) {
		go deliver(w.delay(5 * time.Millisecond))
	}
	if w.chance(5) {
		go deliver(w.delay(4 * time.Second))
	}
	select {
	case r := <-answered:
		w.mu.Lock()
		w.bytes += len(r.data)
		w.mu.Unlock()
		if err := m.p.awaitRunning(); err != nil {
			return err
		}
		if r.err != nil || result == nil {
			return r.err
		}
		return json.Unmarshal(r.data, result)
	case <-ctx.Done():
		return fault.Wrap(fault.Internal, ctx.Err(), "no answer")
	}
}

// deliver runs the handler on the current process of the instance.
func (m *procMesh) deliver(to, method string, raw []byte) (reply, bool) {
	p := m.p.w.find(to)
	if p == nil || p.awaitRunning() != nil || m.partitioned(p) {
		return reply{}, false
	}
	answer, err := p.handlers[method](p.ctx, m.p.self.ID, raw)
	sleep(m.p.w.delay(5 * time.Millisecond))
	if p.awaitRunning() != nil || m.partitioned(p) || m.p.w.chance(3) {
		return reply{}, false
	}
	if err != nil {
		return reply{err: fault.Of(err).Message().Err()}, true
	}
	data, _ := json.Marshal(answer)
	return reply{data: data}, true
}

func (m *procMesh) partitioned(p *proc) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.cutPeers || m.p.cutPeers || m.p.dead
}

type procLister struct{ p *proc }

func (f *procLister) ListRegistered(context.Context) ([]string, error) {
	if err := f.p.reachStore(); err != nil {
		return nil, err
	}
	w := f.p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls["list"]++
	var ids []string
	for id, until := range w.leases {
		if virtualClock.Now().Before(until) {
			ids = append(ids, id)
		}
	}
	return ids, nil
}

func (f *procLister) List(context.Context) ([]peers.Peer, error) {
	w := f.p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := map[string]peers.Peer{}
	now := virtualClock.Now()
	for _, p := range w.procs {
		late := p.dead && now.Sub(p.diedAt) > listLag
		early := now.Sub(p.startedAt) < listLag && p.startedAt.After(time.Date(2000, 1, 1, 0, 0, 1, 0, time.UTC))
		dropped := p.resume != nil && now.Sub(p.pausedAt) > dropAfter
		if !late && !early && !dropped {
			rows[p.self.ID] = p.self
		}
	}
	return slices.Collect(maps.Values(rows)), nil
}

// sample returns a bundle whose team has the given rate.
func sample(base uint64, rate int) []byte {
	b := bundle.Bundle{
		Version: base,
		Tiers:   []bundle.Tier{{ID: "gold", Paying: true}},
		Teams:   []bundle.Team{{ID: "ranks", Tier: "gold", KeyHashes: []string{}, RatePerSecond: float64(rate)}},
		Zones:   []bundle.Zone{{ID: "a"}},
		Runners: []bundle.Runner{{ID: "r1", Zone: "a", Address: "127.0.0.1:1", Service: "chat", Slots: 2, ColdSlots: 1}},
		Pipelines: []bundle.Pipeline{{
			ID: "ask", Stages: []bundle.Stage{{Name: "s", Service: "chat", Idempotent: true, MaxResultBytes: 10}},
			DeadlineMillis: 1000, MaxDeadlineMillis: 1000, MaxBodyBytes: 1000,
		}},
	}
	data, _ := json.Marshal(b)
	return data
}

// group waits for the goroutines of a run.
type group struct{ wg sync.WaitGroup }

func newGroup() *group { return &group{} }

func (g *group) run(f func()) { g.wg.Go(f) }

func (g *group) wait() { g.wg.Wait() }
