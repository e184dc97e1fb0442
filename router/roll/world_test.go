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

// bubble is the virtual clock of testing/synctest.
var bubble = clock.System()

// passes lets virtual time pass.
func passes(d time.Duration) { _ = bubble.Sleep(context.Background(), d) }

// Times of the platform in these tests.
const (
	leaseTTL  = 3 * time.Second
	renewal   = time.Second
	listLag   = 2 * time.Second
	dropAfter = 4 * time.Second
)

// world is a platform with instances, inside a bubble of testing/synctest.
type world struct {
	mu  sync.Mutex
	rng *rand.Rand
	// lossy tells that messages are lost, repeated and late.
	lossy bool
	// slow is the most that the way to the store takes; zero means 10 ms.
	slow     time.Duration
	storeOut bool
	entries  map[string]platformapi.Entry
	revision uint64
	changed  chan struct{}
	procs    []*proc
	leases   map[string]time.Time
	calls    map[string]int
	messages map[string]int
	bytes    int
	joins    int

	decided    map[uint64]string
	state      State
	violations []string
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]platformapi.Entry{}, changed: make(chan struct{}),
		leases: map[string]time.Time{}, calls: map[string]int{}, messages: map[string]int{}, decided: map[uint64]string{},
	}
}

func (w *world) breach(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// chance reports true in n of 100 cases while the world is lossy.
func (w *world) chance(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossy && w.rng.IntN(100) < n
}

func (w *world) delay(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(most))) + 1
}

func (w *world) slowness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slow
}

// proc is one run of an instance.
type proc struct {
	w      *world
	self   peers.Peer
	node   *node
	cancel context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
	born   time.Time

	handlers map[string]instance.Handler
	// The world's lock guards these.
	dead             bool
	died             time.Time
	pausedAt         time.Time
	resume           chan struct{}
	cutPeers, cutAll bool
	unregistered     bool
	last             uint64
}

func (w *world) start(id, zone string, opts ...Option) *proc {
	p := &proc{w: w, self: peers.Peer{ID: id, Zone: zone}, handlers: map[string]instance.Handler{}, born: bubble.Now()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.node = New(p.self, &procStore{p}, &procMesh{p}, &procFleet{p}, &procClock{p}, hclog.NewNullLogger(), opts...).(*node)
	p.node.Subscribe(p.onBundle)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	p.done.Go(func() {
		p.renew()
		p.done.Go(p.keepRegistered)
		if p.node.Start(p.ctx) == nil {
			_ = p.node.Run(p.ctx)
		}
	})
	return p
}

// onBundle checks what comes in force.
func (p *proc) onBundle(b *bundle.Bundle) {
	_, digest, _ := encode(*b)
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if b.Version <= p.last {
		p.w.breach("%s: version %d after %d", p.self.ID, b.Version, p.last)
	}
	p.last = b.Version
	if p.w.decided[b.Version] != digest {
		p.w.breach("%s: version %d in force with digest %.8s, decided %.8q", p.self.ID, b.Version, digest, p.w.decided[b.Version])
	}
}

func (p *proc) renew() {
	if p.storeReach() != nil {
		return
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if !p.unregistered {
		p.w.leases[p.self.ID] = bubble.Now().Add(leaseTTL)
	}
}

func (p *proc) keepRegistered() {
	c := &procClock{p}
	for c.Sleep(p.ctx, renewal) == nil {
		p.renew()
	}
}

// stop ends the process at once: nothing of it reaches anyone any more.
func (p *proc) stop() {
	p.w.mu.Lock()
	p.dead, p.died = true, bubble.Now()
	p.unpauseLocked()
	p.w.mu.Unlock()
	p.cancel()
}

func (p *proc) pause() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.resume == nil && !p.dead {
		p.pausedAt, p.resume = bubble.Now(), make(chan struct{})
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

// running waits while the process is paused.
func (p *proc) running() error {
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

// checkServing checks that an accepted version is in force where a request
// could be taken in. The world's lock is held.
func (p *proc) checkServing(when string) {
	r, ok := p.w.state.Find(p.w.state.InForce)
	if !ok || r.Phase != operatorapi.Accepted || p.dead {
		return
	}
	if p.node.Ready() == nil && p.node.version() < r.Version {
		p.w.breach("%s serves version %d %s, accepted is %d", p.self.ID, p.node.version(), when, r.Version)
	}
}

// checkAll checks every process that runs.
func (w *world) checkAll(when string) {
	for _, p := range w.procs {
		if p.resume == nil {
			p.checkServing(when)
		}
	}
}

type procClock struct{ p *proc }

func (c *procClock) Now() time.Time { return bubble.Now() }

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
		<-bubble.After(d)
		_ = c.p.running()
		ch <- bubble.Now()
	}()
	return ch
}

type procStore struct{ p *proc }

var errOut = fault.New(fault.StoreUnavailable, "store is out")

// storeReach waits for the way to the store.
func (p *proc) storeReach() error {
	passes(p.w.delay(max(p.w.slowness(), 10*time.Millisecond)))
	if p.w.chance(2) {
		passes(p.w.delay(2 * time.Second))
	}
	if err := p.running(); err != nil {
		return errOut
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.storeOut || p.cutAll || p.dead {
		return errOut
	}
	return nil
}

func (s *procStore) back() error {
	if s.p.w.chance(5) {
		return errOut.WithOutcome(fault.Unknown)
	}
	return s.p.running()
}

func (s *procStore) Get(_ context.Context, key string) (*platformapi.Entry, uint64, error) {
	if err := s.p.storeReach(); err != nil {
		return nil, 0, err
	}
	w := s.p.w
	w.mu.Lock()
	w.calls["get"]++
	e, ok := w.entries[key]
	revision := w.revision
	w.mu.Unlock()
	if err := s.back(); err != nil {
		return nil, 0, errOut
	}
	if !ok {
		return nil, revision, nil
	}
	return &e, revision, nil
}

func (s *procStore) Put(_ context.Context, put platformapi.PutRequest) (uint64, error) {
	if err := s.p.storeReach(); err != nil {
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
		w.onState(put.Value)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	if err := s.back(); err != nil {
		return 0, errOut.WithOutcome(fault.Unknown)
	}
	return revision, nil
}

// onState checks what a write to the state promises.
func (w *world) onState(value []byte) {
	before := w.state
	w.state = State{}
	if err := json.Unmarshal(value, &w.state); err != nil {
		w.breach("state: %v", err)
	}
	if w.state.InForce < before.InForce || w.state.Last < before.Last {
		w.breach("state went from %d to %d", before.InForce, w.state.InForce)
	}
	if r, ok := w.state.Find(w.state.InForce); ok {
		if old, found := w.decided[r.Version]; found && old != r.Digest {
			w.breach("version %d decided twice", r.Version)
		}
		if r.Signer == "" || r.Signer == r.Writer {
			w.breach("version %d decided without a sign-off", r.Version)
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
			w.breach("member %s has version %d, accepted is %d", p.self.ID, p.node.version(), r.Version)
		}
	}
}

func (s *procStore) Delete(_ context.Context, del platformapi.DeleteRequest) (uint64, error) {
	if err := s.p.storeReach(); err != nil {
		return 0, err
	}
	s.p.w.mu.Lock()
	defer s.p.w.mu.Unlock()
	delete(s.p.w.entries, del.Key)
	return s.p.w.revision, nil
}

func (s *procStore) Watch(ctx context.Context, r platformapi.WatchRequest) (platformapi.WatchResponse, error) {
	w := s.p.w
	end := bubble.After(time.Duration(r.WaitMillis) * time.Millisecond)
	w.mu.Lock()
	w.calls["watch"]++
	w.mu.Unlock()
	for {
		if err := s.p.storeReach(); err != nil {
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
			return answer, s.back()
		}
		select {
		case <-changed:
		case <-end:
			return answer, s.back()
		case <-ctx.Done():
			return answer, errOut
		}
	}
}

type procMesh struct{ p *proc }

func (m *procMesh) Handle(method string, h instance.Handler) { m.p.handlers[method] = h }

func (w *world) find(id string) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range slices.Backward(w.procs) {
		if p.self.ID == id {
			return p
		}
	}
	return nil
}

// reply is a handler's answer.
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
		passes(late)
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
		if err := m.p.running(); err != nil {
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

// deliver runs the handler at the run of the instance that is there now.
func (m *procMesh) deliver(to, method string, raw []byte) (reply, bool) {
	p := m.p.w.find(to)
	if p == nil || p.running() != nil || m.cut(p) {
		return reply{}, false
	}
	answer, err := p.handlers[method](p.ctx, m.p.self.ID, raw)
	passes(m.p.w.delay(5 * time.Millisecond))
	if p.running() != nil || m.cut(p) || m.p.w.chance(3) {
		return reply{}, false
	}
	if err != nil {
		return reply{err: fault.Of(err).Message().Err()}, true
	}
	data, _ := json.Marshal(answer)
	return reply{data: data}, true
}

func (m *procMesh) cut(p *proc) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.cutPeers || m.p.cutPeers || m.p.dead
}

type procFleet struct{ p *proc }

func (f *procFleet) Registered(context.Context) ([]string, error) {
	if err := f.p.storeReach(); err != nil {
		return nil, err
	}
	w := f.p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls["list"]++
	var ids []string
	for id, until := range w.leases {
		if bubble.Now().Before(until) {
			ids = append(ids, id)
		}
	}
	return ids, nil
}

func (f *procFleet) Listed(context.Context) ([]peers.Peer, error) {
	w := f.p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := map[string]peers.Peer{}
	now := bubble.Now()
	for _, p := range w.procs {
		late := p.dead && now.Sub(p.died) > listLag
		early := now.Sub(p.born) < listLag && p.born.After(time.Date(2000, 1, 1, 0, 0, 1, 0, time.UTC))
		dropped := p.resume != nil && now.Sub(p.pausedAt) > dropAfter
		if !late && !early && !dropped {
			rows[p.self.ID] = p.self
		}
	}
	return slices.Collect(maps.Values(rows)), nil
}

// sample returns a bundle whose team has this rate.
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
