package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/rollout/control"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

const (
	// readLag is the time between two reads of the store by an instance.
	readLag = 150 * time.Millisecond
	// defaultCallInterval is the time between two calls that an instance takes for a
	// service.
	defaultCallInterval = 10 * time.Millisecond
	// callTime is how long a call takes.
	callTime = 40 * time.Millisecond
	// lease is how long the registration of a killed instance stays.
	lease = 4 * time.Second
	// runnersPerVersion is the number of runners of each version.
	runnersPerVersion = 8
	// timeout is that of a call of the store that is not answered.
	storeTimeout = time.Second
)

var bounds = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

// world is a fleet of controllers under traffic, with a store and a mesh in memory, in
// one synctest bubble. It records what breaks the guarantees of rollouts.
type world struct {
	t     *testing.T
	group sync.WaitGroup
	ctx   context.Context
	end   context.CancelFunc
	log   hclog.Logger
	// callInterval is the time between two calls that an instance takes for a service.
	callInterval time.Duration

	mu    sync.Mutex
	nodes map[string]*node
	store memoryStore
	// cut has the instances without connections to others and to the store.
	cut map[string]bool
	// parted has the pairs of instances without a connection.
	parted map[[2]string]bool
	// messages and bytes count the calls of an instance and those to it.
	messages, bytes map[string]int
	// badSince is when the target version began to fail its calls, by service.
	badSince map[string]time.Time
	// badAnswers has the times of the failed answers of the target version.
	badAnswers map[string][]time.Time
	// sent has the calls by service and group.
	sent map[string][]sentCall
	// onWrite is called with each decision that is written, with mu held.
	onWrite func(st rollout.State)
}

type sentCall struct {
	at        time.Time
	instance  string
	candidate bool
}

// memoryStore is the platform's store.
type memoryStore struct {
	revision   int64
	orders     map[string]rollout.Order
	states     map[string]rollout.State
	registered map[string]int64
	statuses   []status
	// down refuses all calls, refused those of some instances, slow delays them, and
	// loseAnswers is the number of writes that take effect and are not answered.
	down        bool
	refused     map[string]bool
	slow        time.Duration
	loseAnswers int
	// numberEach gives each write of a transaction a revision of its own, of which the
	// answer has the last one.
	numberEach bool
	// invalid has the revisions of invalid orders that have replaced the valid ones.
	invalid map[string]int64
}

// status is what the platform was told, and when.
type status struct {
	service, target string
	phase           rollout.Phase
	at              time.Time
	step            int64
	reason          string
}

type node struct {
	name       string
	current    *inventory.Current
	controller control.Controller
	targets    *fakeTargets
	recorder   rollout.Recorder
	handlers   map[string]instance.Handler
	stop       context.CancelFunc
	killed     bool
}

func newWorld(t *testing.T, instances int, callInterval time.Duration, services ...string) *world {
	ctx, end := context.WithCancel(t.Context())
	w := &world{
		t: t, ctx: ctx, end: end, callInterval: callInterval, nodes: make(map[string]*node), cut: make(map[string]bool), parted: make(map[[2]string]bool), messages: make(map[string]int), bytes: make(map[string]int), badSince: make(map[string]time.Time),
		badAnswers: make(map[string][]time.Time), sent: make(map[string][]sentCall), log: hclog.New(&hclog.LoggerOptions{Output: logOutput(), Level: hclog.Info}),
		store: memoryStore{orders: make(map[string]rollout.Order), states: make(map[string]rollout.State), registered: make(map[string]int64), refused: make(map[string]bool), invalid: make(map[string]int64)},
	}
	for n := range instances {
		w.start(fmt.Sprint("i", n), services)
	}
	return w
}

// start starts an instance that knows nothing.
func (w *world) start(name string, services []string) {
	ctx, stop := context.WithCancel(w.ctx)
	n := &node{name: name, current: inventory.NewCurrent(clock.System()), recorder: rollout.NewRecorder(), handlers: make(map[string]instance.Handler), stop: stop}
	n.targets = newFakeTargets(name)
	n.controller = control.New(clock.System(), name, n.current, owner.NewFinder(clock.System(), n.current), mesh{w, n}, n.targets, n.recorder,
		records{w, name}, bounds, w.log.Named(name), control.WithRefresh(func(ctx context.Context) error { return w.read(ctx, n) }))
	w.mu.Lock()
	w.nodes[name] = n
	w.store.revision++
	w.store.registered[name] = w.store.revision
	w.mu.Unlock()
	w.group.Go(func() {
		for ctx.Err() == nil {
			reading, cancel := context.WithTimeout(ctx, storeTimeout)
			_ = w.read(reading, n)
			cancel()
			_ = clock.System().Sleep(ctx, readLag)
		}
	})
	w.group.Go(func() { _ = n.controller.Run(ctx) })
	for _, s := range services {
		w.group.Go(func() { w.sendCalls(ctx, n, s) })
	}
}

// kill ends an instance without a trace but its registration.
func (w *world) kill(name string) {
	w.mu.Lock()
	n := w.nodes[name]
	n.killed = true
	w.mu.Unlock()
	n.stop()
	w.group.Go(func() {
		_ = clock.System().Sleep(w.ctx, lease)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.store.revision++
		delete(w.store.registered, name)
	})
}

// stop ends the world.
func (w *world) stop() {
	w.end()
	w.group.Wait()
}

// reach waits until a call of the store by an instance is done, or fails.
func (w *world) reach(ctx context.Context, name string) error {
	w.mu.Lock()
	down, slow := w.store.down || w.cut[name], w.store.slow
	refused := w.store.refused[name]
	w.mu.Unlock()
	switch {
	case refused:
		return fault.New(fault.StoreUnavailable, "refused")
	case down:
		_ = clock.System().Sleep(ctx, storeTimeout)
		return fault.New(fault.StoreUnavailable, "no answer")
	}
	return clock.System().Sleep(ctx, max(slow, 4*time.Millisecond))
}

// read gives an instance the content of the store.
func (w *world) read(ctx context.Context, n *node) error {
	start := clock.System().Now()
	if err := w.reach(ctx, n.name); err != nil {
		return err
	}
	old := n.current.Load()
	w.mu.Lock()
	s := &inventory.Snapshot{Table: table(w.t), Revision: era.New(0, w.store.revision), Instances: make(map[string]inventory.Instance), RolloutOrders: maps.Clone(w.store.orders), Rollouts: maps.Clone(w.store.states)}
	for name, revision := range w.store.registered {
		s.Instances[name] = inventory.Instance{Name: name, Zone: "z", Revision: era.New(0, revision)}
	}
	w.mu.Unlock()
	for service, o := range s.RolloutOrders {
		o.SeenAt = clock.System().Now()
		if known, ok := old.RolloutOrders[service]; ok && known.Revision == o.Revision {
			o = known
		}
		s.RolloutOrders[service] = o
	}
	for service, st := range s.Rollouts {
		st.SeenAt = clock.System().Now()
		if known, ok := old.Rollouts[service]; ok && known.Revision == st.Revision {
			st = known
		}
		s.Rollouts[service] = st
	}
	n.current.Advance(s)
	n.current.Confirm(start)
	return nil
}

// records is the store as one instance writes to it.
type records struct {
	w    *world
	name string
}

func (r records) Write(ctx context.Context, write control.Write) (era.Revision, error) {
	if err := r.w.reach(ctx, r.name); err != nil {
		return era.Revision{}, err
	}
	w := r.w
	w.mu.Lock()
	defer w.mu.Unlock()
	s := write.State
	if w.nodes[r.name].killed {
		return era.Revision{}, errors.New("killed")
	}
	if w.store.states[s.Service].Revision != write.StateRevision || !write.AnyOrder && era.Max(w.store.orders[s.Service].Revision, era.New(0, w.store.invalid[s.Service])) != write.OrderRevision {
		return era.Revision{}, fault.New(fault.Conflict, "a condition doesn't hold")
	}
	old := w.store.states[s.Service]
	if ended(old) && old.OrderRevision >= s.OrderRevision {
		w.t.Errorf("step %d, %s, replaces the end of the same rollout, step %d, %s", s.Step, s.Phase, old.Step, old.Phase)
	}
	if s.Step < old.Step || s.Step == old.Step && !write.Repeated {
		w.t.Errorf("step %d is written after step %d", s.Step, old.Step)
	}
	w.store.revision++
	s.Revision, s.SeenAt = era.New(0, w.store.revision), time.Time{}
	w.store.states[s.Service] = s
	if !write.Repeated {
		w.noteDecision(s)
	}
	if w.store.loseAnswers > 0 {
		w.store.loseAnswers--
		return era.Revision{}, fault.New(fault.StoreUnavailable, "no answer").WithOutcome(fault.Unknown)
	}
	if w.store.numberEach {
		w.store.revision++
	}
	return era.New(0, w.store.revision), nil
}

func ended(st rollout.State) bool {
	return st.Phase == rollout.Completed || st.Phase == rollout.RolledBack
}

// noteDecision records a decision that was written, and checks that nothing is at the
// old runners when it completes the rollout. The caller holds mu.
func (w *world) noteDecision(s rollout.State) {
	w.store.statuses = append(w.store.statuses, status{service: s.Service, target: s.Target, phase: s.Phase, at: clock.System().Now(), step: s.Step, reason: s.Reason})
	if s.Phase == rollout.Completed {
		for _, n := range w.nodes {
			if running := n.targets.usage(s.Service, s.Target).InFlight.Baseline; running > 0 && !n.killed {
				w.t.Errorf("%s completed with %d calls of %s at old runners", s.Service, running, n.name)
			}
		}
	}
	if w.onWrite != nil {
		w.onWrite(s)
	}
}

// mesh carries the calls of one instance.
type mesh struct {
	w    *world
	from *node
}

func (m mesh) Handle(method string, h instance.Handler) { m.from.handlers[method] = h }
func (m mesh) SetAddresses(addresses map[string]string) {}

func (m mesh) Call(ctx context.Context, to, method string, params, result any) error {
	w := m.w
	w.mu.Lock()
	n := w.nodes[to]
	gone, cut := n == nil || n.killed || m.from.killed, w.cut[to] || w.cut[m.from.name] || w.parted[[2]string{m.from.name, to}] || w.parted[[2]string{to, m.from.name}]
	w.mu.Unlock()
	if gone {
		return fault.New(fault.HomeUnsettled, "connection refused")
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := clock.System().Sleep(ctx, time.Millisecond); err != nil {
		return err
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := n.handlers[method](ctx, m.from.name, data)
	if err != nil {
		return err
	}
	reply, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	w.mu.Lock()
	for _, name := range []string{m.from.name, to} {
		w.messages[name]++
		w.bytes[name] += len(data) + len(reply)
	}
	w.mu.Unlock()
	return json.Unmarshal(reply, result)
}

// sendCalls sends calls of a service until ctx ends.
func (w *world) sendCalls(ctx context.Context, n *node, service string) {
	for k := 0; clock.System().Sleep(ctx, w.callInterval) == nil; k++ {
		candidate, ok, done := n.targets.begin(service, k%3 == 0)
		if !ok {
			continue
		}
		now := clock.System().Now()
		w.mu.Lock()
		w.sent[service] = append(w.sent[service], sentCall{now, n.name, candidate})
		since := w.badSince[service]
		w.mu.Unlock()
		w.group.Go(func() {
			defer done()
			if clock.System().Sleep(ctx, callTime) != nil {
				return
			}
			bad := candidate && !since.IsZero() && !now.Before(since)
			version := "v1"
			if candidate {
				version = n.targets.targetOf(service)
			}
			n.recorder.Answered(service, version, "route", bad, callTime)
			n.recorder.Ended(service, callTime)
			if bad {
				w.mu.Lock()
				w.badAnswers[service] = append(w.badAnswers[service], clock.System().Now())
				w.mu.Unlock()
			}
		})
	}
}

// order orders a rollout of a service.
func (w *world) order(service, version string, duration time.Duration) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.revision++
	w.store.orders[service] = rollout.Order{Service: service, Target: version, Duration: duration, Revision: era.New(0, w.store.revision)}
	return clock.System().Now()
}

func (w *world) withdraw(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.revision++
	delete(w.store.orders, service)
}

func (w *world) turnBad(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.badSince[service] = clock.System().Now()
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// after waits for a time of the bubble.
func (w *world) after(d time.Duration) { _ = clock.System().Sleep(w.ctx, d) }

// awaitUntil waits until a condition holds, at most until a time, and reports whether it
// does.
func (w *world) awaitUntil(limit time.Time, condition func() bool) bool {
	for clock.System().Now().Before(limit) {
		w.mu.Lock()
		ok := condition()
		w.mu.Unlock()
		if ok {
			return true
		}
		w.after(10 * time.Millisecond)
	}
	return false
}

// last returns the last decision that was written for a service. The caller holds mu.
func (w *world) last(service string) status {
	for _, s := range slices.Backward(w.store.statuses) {
		if s.service == service {
			return s
		}
	}
	return status{}
}

// decider returns the instance that decides on a service by its own view.
func (w *world) decider(service string) string {
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		if w.nodes[name].killed || w.cut[name] {
			continue
		}
		for _, v := range w.nodes[name].controller.States() {
			if v.Service == service && v.Decider == name {
				return name
			}
		}
	}
	return ""
}

// sentAfter returns the calls of one group that were sent after a time.
func (w *world) sentAfter(service string, candidate bool, at time.Time) []sentCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []sentCall
	for _, c := range w.sent[service] {
		if c.candidate == candidate && c.at.After(at) {
			out = append(out, c)
		}
	}
	return out
}

// checkBad checks the bounds on a bad version: of the calls until the deadline, and of
// the time after the 50th bad answer, to which an unstable store may add grace.
func (w *world) checkBad(service string, ordered time.Time, duration, grace time.Duration) {
	w.t.Helper()
	w.mu.Lock()
	all, exposed, first := 0, 0, time.Time{}
	deadline := ordered.Add(duration)
	for _, c := range w.sent[service] {
		if c.at.Before(ordered) || c.at.After(deadline) {
			continue
		}
		all++
		if c.candidate {
			exposed++
		}
	}
	if len(w.badAnswers[service]) >= 50 {
		first = w.badAnswers[service][49]
	}
	w.mu.Unlock()
	if limit := bounds.ExposureShare*float64(all) + float64(bounds.ExposureSlack); float64(exposed) > limit {
		w.t.Errorf("%d of %d calls went to the bad version, allowed are %.0f", exposed, all, limit)
	}
	if !first.IsZero() {
		if late := w.sentAfter(service, true, first.Add(bounds.Rollback+grace)); len(late) > 0 {
			w.t.Errorf("%d calls went to the bad version later than allowed, the last by %s at %s after the 50th bad answer", len(late), late[len(late)-1].instance, late[len(late)-1].at.Sub(first))
		}
	}
}

// fakeTargets chooses between the old version and the target version.
type fakeTargets struct {
	mu       sync.Mutex
	services map[string]*fakeService
}

type fakeService struct {
	state     rollout.State
	noContact bool
	credit    float64
	usage     target.RolloutUsage
}

func newFakeTargets(string) *fakeTargets {
	return &fakeTargets{services: make(map[string]*fakeService)}
}

func (f *fakeTargets) service(name string) *fakeService {
	if f.services[name] == nil {
		f.services[name] = &fakeService{}
	}
	return f.services[name]
}

func (f *fakeTargets) ApplyRollout(st rollout.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(st.Service)
	if st.Step > s.state.Step || st.Step == s.state.Step && st.Phase == rollout.RolledBack {
		s.state = st
	}
}

func (f *fakeTargets) SetRolloutContact(service string, inContact bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service(service).noContact = !inContact
}

func (f *fakeTargets) RolloutUsage(service, version string) target.RolloutUsage {
	return f.usage(service, version)
}

func (f *fakeTargets) usage(service, _ string) target.RolloutUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.service(service).usage
	u.Runners, u.BaselineVersions = rollout.Counts{Baseline: runnersPerVersion, Candidate: runnersPerVersion}, []string{"v1"}
	return u
}

func (f *fakeTargets) targetOf(service string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service(service).state.Target
}

// begin chooses the version for a call. done ends the call.
func (f *fakeTargets) begin(service string, atMostOnce bool) (candidate, ok bool, done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(service)
	switch st := s.state; st.Phase {
	case rollout.Completed:
		candidate = true
	case rollout.Running:
		s.credit += st.Share
		candidate = st.Share >= 1 || s.credit >= 1 && !s.noContact
		if candidate {
			s.credit = max(0, s.credit-1)
		}
	}
	count := &s.usage.InFlight.Baseline
	if candidate {
		s.usage.Sent.Candidate++
		count = &s.usage.InFlight.Candidate
	} else {
		s.usage.Sent.Baseline++
	}
	*count++
	if atMostOnce && !candidate {
		s.usage.BaselineAtMostOnce++
	}
	return candidate, true, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		*count--
		if atMostOnce && !candidate {
			s.usage.BaselineAtMostOnce--
		}
	}
}

// logOutput is where the controllers log in tests.
func logOutput() io.Writer {
	if testing.Verbose() {
		return logWriter
	}
	return io.Discard
}

func table(t *testing.T) *routing.Table {
	cfg := routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}, {Name: "u"}}}
	built, err := routing.NewTable(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return built
}
