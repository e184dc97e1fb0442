package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/roster/hold"
)

// methodRun runs a call at its home instance.
const methodRun = "ledger.run"

const (
	// retryView is when a repeat makes sense while a home is changing.
	retryView = 500 * time.Millisecond
	// settlePeriod is the wait between two tries at a home that is changing.
	settlePeriod = 50 * time.Millisecond
)

// Book is a Ledger with its life cycle.
type Book interface {
	Ledger
	// Leave waits until the calls that run here have ended and what other
	// instances need to know of them was handed over. It is called once
	// this instance has left the view.
	Leave(ctx context.Context) error
	// Close ends what Leave waits for, and waits for the calls that run.
	Close()
}

// New returns a ledger with the defaults of this package changed by opts. It
// sets its handlers in the mesh, which must not have started, and subscribes to
// the roster.
func New(opts ...Option) Book {
	l := &book{config: defaults()}
	for _, opt := range opts {
		opt(&l.config)
	}
	l.table = newTable(l.maxEntries, l.maxAnswerBytes)
	l.coverage = newCoverage(l.callerSkew+2*l.instanceSkew, l.awaitFor)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.mesh.Handle(methodRun, l.handleRun)
	l.mesh.Handle(methodHandOver, l.handleHandOver)
	l.roster.Subscribe(l.followView)
	return l
}

type book struct {
	config
	table    *table
	coverage *coverage
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// closed is true from Close on; no work is added after.
	closed bool
	// work counts the calls that run here and the handovers under way.
	work sync.WaitGroup
}

// outcome is the answer of methodRun.
type outcome struct {
	Answer   callerapi.Answer `json:"answer"`
	Replayed bool             `json:"replayed"`
}

func (l *book) Do(ctx context.Context, call Call) (callerapi.Answer, bool, error) {
	began := l.clock.Now()
	remaining := call.RemainingMillis
	for first := true; ; first = false {
		out, err := l.try(ctx, call, first)
		waited := l.clock.Now().Sub(began)
		call.RemainingMillis = remaining - waited.Milliseconds()
		if err == nil || !unsettled(err) || waited >= l.settleFor || call.RemainingMillis <= 0 {
			return out.Answer, out.Replayed, err
		}
		if l.clock.Sleep(ctx, settlePeriod) != nil {
			return out.Answer, out.Replayed, err
		}
	}
}

// unsettled reports whether a call was not run because its home is changing.
func unsettled(err error) bool {
	return fault.Is(err, fault.HomeUnsettled) && fault.Of(err).Outcome() == fault.NotRun
}

// try sends the call to its home once. Only the first try is recorded.
func (l *book) try(ctx context.Context, call Call, first bool) (out outcome, err error) {
	if _, err := l.readKey(call.Key); err != nil {
		return out, err
	}
	home, ok := hold.HomeOf(l.roster.State().View.Members, hold.SlotOf(call.Team, call.Key))
	if !ok {
		return out, fault.New(fault.HomeUnsettled, "no view is known")
	}
	if home.ID == l.id {
		return l.runHere(ctx, call)
	}
	if first {
		l.record(journal.Forwarded, call, "instance "+home.ID+" is home of the key")
	}
	err = l.mesh.Call(ctx, home.ID, methodRun, call, &out)
	return out, err
}

// readKey returns when a key was minted, unless that is in the future.
func (l *book) readKey(key string) (time.Time, error) {
	at, err := minted(key)
	if err != nil {
		return at, err
	}
	if at.After(l.clock.Now().Add(l.callerSkew)) {
		return at, fault.New(fault.BadKey, "minted in the future, at %s", at).WithField(fieldKey)
	}
	return at, nil
}

func (l *book) handleRun(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var call Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "call from instance %q", from)
	}
	return l.runHere(ctx, call)
}

// runHere runs, joins or replays the call on this instance, if it is home.
func (l *book) runHere(ctx context.Context, call Call) (out outcome, err error) {
	at, err := l.readKey(call.Key)
	if err != nil {
		return out, err
	}
	now := l.clock.Now()
	left := time.Duration(call.RemainingMillis) * time.Millisecond
	fresh := &entry{
		scope: scope{call.Team, call.Key}, minted: at, bodyHash: call.BodyHash,
		request: call.Request, slot: hold.SlotOf(call.Team, call.Key), until: now.Add(left),
	}
	state := l.roster.State()
	if !state.Acts(now, fresh.slot) {
		err := fault.New(fault.HomeUnsettled, "instance %q is not home at epoch %d", l.id, state.View.Epoch)
		return out, err.WithRetryAfter(retryView)
	}
	fresh.tenure = l.coverage.tenureOf(state, fresh.slot)
	l.table.sweep(now.Add(-l.keyWindow))
	e, created, err := l.table.begin(fresh, func() error { return l.coverage.vouch(fresh.slot, at, now) })
	if err != nil {
		return out, err
	}
	switch {
	case created:
		l.start(ctx, call, e)
	case e.ended():
		l.record(journal.Replayed, call, "the key was used by request "+e.request)
	default:
		l.record(journal.Joined, call, "the key is in use by request "+e.request)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	answer, err := l.wait(ctx, e)
	return outcome{Answer: answer, Replayed: !created}, err
}

// record records what becomes of a call.
func (l *book) record(step journal.Step, call Call, reason string) {
	if l.journal != nil {
		l.journal.Record(journal.Decision{At: l.clock.Now(), Step: step, Request: call.Request, Reason: reason})
	}
}

// wait waits for the end of a call that runs here or at the home before.
func (l *book) wait(ctx context.Context, e *entry) (callerapi.Answer, error) {
	var overdue <-chan time.Time
	if e.tenure == 0 {
		overdue = l.clock.After(e.until.Sub(l.clock.Now()))
	}
	select {
	case <-e.done:
		return l.table.result(e)
	case <-overdue:
		return callerapi.Answer{}, fault.New(fault.OutcomeUnknown, "the home before did not tell how the call ended").WithField(fieldKey)
	case <-ctx.Done():
	}
	if e.ended() {
		return l.table.result(e)
	}
	return callerapi.Answer{}, fault.Wrap(fault.DeadlineMissed, ctx.Err(), "wait for the call's end")
}

// start runs the call until its deadline, also when ctx ends before.
func (l *book) start(ctx context.Context, call Call, e *entry) {
	run := func() {
		left := time.Duration(call.RemainingMillis) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
		defer cancel()
		answer, err := l.runner.RunOnce(ctx, call, func() error { return l.guard(ctx, e) })
		if heir := l.table.finish(e, answer, err); heir != "" {
			l.tell(heir, e)
		}
	}
	if !l.begin(run) {
		l.table.finish(e, callerapi.Answer{}, fault.New(fault.HomeUnsettled, "instance %q is stopping", l.id))
	}
}

// guard stands directly before the write: it returns nil while this instance is
// home of the call's slot, without a break since the call began.
func (l *book) guard(ctx context.Context, e *entry) error {
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.DeadlineShort, err, "before the write")
	}
	state := l.roster.State()
	if l.coverage.tenureOf(state, e.slot) != e.tenure {
		return fault.New(fault.HomeUnsettled, "the key's home changed").WithRetryAfter(retryView)
	}
	if !state.Acts(l.clock.Now(), e.slot) {
		return fault.New(fault.HomeUnsettled, "the hold of epoch %d has lapsed", state.View.Epoch).WithRetryAfter(retryView)
	}
	return nil
}

// begin runs work in the background unless the ledger is closed.
func (l *book) begin(work func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.work.Go(work)
	return true
}

// Leave implements Book.
func (l *book) Leave(ctx context.Context) error {
	l.followView()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	ended := make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Go(func() {
		l.work.Wait()
		close(ended)
	})
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.DeadlineMissed, ctx.Err(), "hand over the keys")
	}
}

// Close implements Book.
func (l *book) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.work.Wait()
}
