package takeout

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

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/peers"
	"github.com/hashicorp/go-hclog"
)

func TestMain(m *testing.M) { property.Main(m, 50) }

// virtualClock returns the virtual time inside a testing/synctest bubble.
var virtualClock = clock.System()

// sleep waits for d of virtual time.
func sleep(d time.Duration) { _ = virtualClock.Sleep(context.Background(), d) }

// propagationBound is the time within which an acknowledged order has to be in
// force on every reachable instance, even with lost messages.
const propagationBound = 5 * time.Second

// world simulates a platform with instances inside a testing/synctest bubble.
type world struct {
	mu       sync.Mutex
	rng      *rand.Rand
	lossy    bool
	storeOut bool
	entries  map[string]platformapi.Entry
	revision uint64
	changed  chan struct{}
	procs    []*proc
	messages int
	bytes    int
	// written holds the identifiers of all orders that the store ever held.
	written map[string]bool
	// acked holds the latest acknowledged take-out orders, by key.
	acked      map[string]ackedOrder
	violations []string
}

type ackedOrder struct {
	Order
	at time.Time
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]platformapi.Entry{},
		written: map[string]bool{}, acked: map[string]ackedOrder{},
	}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

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

// proc is one run of an instance.
type proc struct {
	w        *world
	self     peers.Peer
	node     *node
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	handler  instance.Handler
	previous *Set
	// The world's lock guards these fields. connectedSince is the time of the
	// start or of the latest change of any cut or outage.
	dead, cutStore, cutPeers bool
	connectedSince           time.Time
}

func (w *world) start(id string) *proc {
	p := &proc{w: w, self: peers.Peer{ID: id, Zone: "z" + id}, connectedSince: virtualClock.Now()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.node = New(p.self, p, p, w, fixedTopology{}, virtualClock, hclog.NewNullLogger()).(*node)
	p.node.Subscribe(p.onSet)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	p.done.Go(func() {
		if p.node.Start(p.ctx) == nil {
			_ = p.node.Run(p.ctx)
		}
	})
	return p
}

// onSet checks that no order is replaced by an earlier one, and that no zone is
// brought back by an order that was never written to the store.
func (p *proc) onSet(s *Set) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.previous != nil {
		for key, old := range p.previous.orders {
			if compare(s.orders[key], old) < 0 {
				p.w.addViolation("%s: %s went back from generation %d to %d", p.self.ID, key, old.Generation, s.orders[key].Generation)
			}
		}
	}
	p.previous = s
	for key, o := range s.orders {
		if !o.Out && !p.w.written[o.Order] {
			p.w.addViolation("%s: %s came in without the store", p.self.ID, key)
		}
	}
}

func (p *proc) stop() {
	p.w.mu.Lock()
	p.dead = true
	p.w.mu.Unlock()
	p.cancel()
}

// checkAll checks that acknowledged take-out orders are in force on every
// instance that has been connected for propagationBound.
func (w *world) checkAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := virtualClock.Now()
	for _, p := range w.procs {
		if p.dead || p.cutPeers || p.cutStore || now.Sub(p.connectedSince) < propagationBound || p.node.Ready() != nil {
			continue
		}
		for key, x := range w.acked {
			if have := p.node.Current().orders[key]; now.Sub(x.at) > propagationBound && compare(have, x.Order) < 0 {
				w.addViolation("%s: %s is not out %v after the acknowledgement: generation %d, want %d",
					p.self.ID, key, now.Sub(x.at), have.Generation, x.Generation)
			}
		}
	}
}

type fixedTopology struct{}

func (fixedTopology) Names(k Kind) []operatorapi.TakeoutStatus {
	var rows []operatorapi.TakeoutStatus
	for _, n := range []string{"a", "b"} {
		rows = append(rows, operatorapi.TakeoutStatus{Takeout: operatorapi.Takeout{Name: n}})
	}
	return rows
}

func (w *world) List(context.Context) ([]peers.Peer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := map[string]peers.Peer{}
	for _, p := range w.procs {
		if !p.dead {
			rows[p.self.ID] = p.self
		}
	}
	return slices.Collect(maps.Values(rows)), nil
}

var errOut = fault.New(fault.StoreUnavailable, "store is out")

func (p *proc) reachStore(ctx context.Context) error {
	sleep(p.w.delay(10 * time.Millisecond))
	if p.w.chance(3) {
		sleep(p.w.delay(2 * time.Second))
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.storeOut || p.cutStore || p.dead || ctx.Err() != nil {
		return errOut
	}
	return nil
}

func (p *proc) maybeLoseAnswer() error {
	if p.w.chance(5) {
		return errOut.WithOutcome(fault.Unknown)
	}
	return nil
}

func (p *proc) Get(ctx context.Context, key string) (*platformapi.Entry, uint64, error) {
	if err := p.reachStore(ctx); err != nil {
		return nil, 0, err
	}
	p.w.mu.Lock()
	e, ok := p.w.entries[key]
	revision := p.w.revision
	p.w.mu.Unlock()
	if !ok {
		return nil, revision, p.maybeLoseAnswer()
	}
	return &e, revision, p.maybeLoseAnswer()
}

func (p *proc) List(ctx context.Context, prefix string) ([]platformapi.Entry, uint64, error) {
	if err := p.reachStore(ctx); err != nil {
		return nil, 0, err
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.w.entriesAfter(prefix, 0), p.w.revision, nil
}

// entriesAfter returns the entries under prefix with a higher revision.
func (w *world) entriesAfter(prefix string, revision uint64) []platformapi.Entry {
	var all []platformapi.Entry
	for key, e := range w.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > revision {
			all = append(all, e)
		}
	}
	return all
}

func (p *proc) Put(ctx context.Context, put platformapi.PutRequest) (uint64, error) {
	if err := p.reachStore(ctx); err != nil {
		return 0, err
	}
	w := p.w
	w.mu.Lock()
	if put.IfRevision != nil && *put.IfRevision != w.entries[put.Key].Revision {
		w.mu.Unlock()
		return 0, fault.New(fault.Conflict, "another revision")
	}
	w.revision++
	e := platformapi.Entry{Key: put.Key, Value: put.Value, Revision: w.revision}
	w.onWrite(e)
	w.entries[put.Key] = e
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	return e.Revision, p.maybeLoseAnswer()
}

// onWrite checks that an order in the store is only replaced by a later one.
func (w *world) onWrite(e platformapi.Entry) {
	o, err := decodeOrder(e)
	if err != nil {
		w.addViolation("%v", err)
	}
	if old, ok := w.entries[e.Key]; ok {
		if before, _ := decodeOrder(old); compare(o, before) <= 0 {
			w.addViolation("store: %s went back from generation %d to %d", e.Key, before.Generation, o.Generation)
		}
	}
	w.written[o.Order] = true
}

func (p *proc) Watch(ctx context.Context, r platformapi.WatchRequest) (platformapi.WatchResponse, error) {
	w := p.w
	end := virtualClock.After(time.Duration(r.WaitMillis) * time.Millisecond)
	for {
		if err := p.reachStore(ctx); err != nil {
			return platformapi.WatchResponse{}, err
		}
		w.mu.Lock()
		changed := w.changed
		answer := platformapi.WatchResponse{Revision: w.revision}
		for _, e := range w.entriesAfter(r.Prefix, r.After) {
			answer.Events = append(answer.Events, platformapi.Event{Entry: e})
		}
		w.mu.Unlock()
		if len(answer.Events) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-end:
			return answer, nil
		case <-ctx.Done():
			return answer, errOut
		}
	}
}

func (p *proc) Handle(_ string, h instance.Handler) { p.handler = h }

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

func (p *proc) Call(ctx context.Context, to, _ string, params, result any) error {
	raw, _ := json.Marshal(params)
	p.w.mu.Lock()
	p.w.messages += 2
	p.w.bytes += len(raw)
	p.w.mu.Unlock()
	answered := make(chan []byte, 2)
	deliver := func(late time.Duration) {
		sleep(late)
		q := p.w.find(to)
		if q == nil || p.disconnected(q) {
			return
		}
		answer, _ := q.handler(q.ctx, p.self.ID, raw)
		data, _ := json.Marshal(answer)
		sleep(p.w.delay(5 * time.Millisecond))
		if !p.disconnected(q) && !p.w.chance(3) {
			answered <- data
		}
	}
	if !p.w.chance(3) {
		go deliver(p.w.delay(5 * time.Millisecond))
	}
	if p.w.chance(5) {
		go deliver(p.w.delay(4 * time.Second))
	}
	select {
	case data := <-answered:
		p.w.mu.Lock()
		p.w.bytes += len(data)
		p.w.mu.Unlock()
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return fault.Wrap(fault.Internal, ctx.Err(), "no answer")
	}
}

func (p *proc) disconnected(q *proc) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.dead || q.dead || p.cutPeers || q.cutPeers
}
