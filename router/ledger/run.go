package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/roster/viewlease"
)

// methodRun runs a call at its home instance.
const methodRun = "ledger.run"

const (
	// viewRetryAfter is the Retry-After of a call that is refused while its
	// home is changing.
	viewRetryAfter = 500 * time.Millisecond
	// retryInterval is the pause between two attempts to reach a home that
	// is changing, or to deliver a handover.
	retryInterval = 50 * time.Millisecond
)

// ManagedLedger is a Ledger that can be stopped.
type ManagedLedger interface {
	Ledger
	// Leave starts the handovers that are due. From then on it refuses calls
	// that would start here, as not run, and it waits until the calls that
	// run here and the sending of handovers have ended. A handover that
	// cannot be delivered in time is given up, which is logged but is no
	// error: Leave returns an error only if ctx ends first. Call it after
	// this instance has left the view.
	Leave(ctx context.Context) error
	// Close cancels pending handovers and waits for the calls that run
	// here.
	Close()
}

// New returns a ledger with the options applied to the defaults. It sets its
// handlers in the mesh, which must not have started, and subscribes to the
// roster.
func New(opts ...Option) ManagedLedger {
	l := &ledger{config: defaults()}
	for _, opt := range opts {
		opt(&l.config)
	}
	l.table = newTable(l.maxEntries, l.maxResponseBytes)
	// The previous home accepted keys minted up to callerSkew ahead of its
	// clock. instanceSkew counts twice because that clock may be ahead of the
	// true time while this instance's clock is behind it.
	l.slots = newSlotTracker(l.callerSkew+2*l.instanceSkew, l.handoverWait)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.mesh.Handle(methodRun, l.handleRun)
	l.mesh.Handle(methodHandOver, l.handleHandOver)
	l.roster.Subscribe(l.followView)
	return l
}

type ledger struct {
	config
	table  *table
	slots  *slotTracker
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// closed is set by Leave and Close. No background work starts after
	// that.
	closed bool
	// work counts the calls and handovers in progress.
	work sync.WaitGroup
}

// runResult is the result of methodRun.
type runResult struct {
	Response callerapi.Response `json:"answer"`
	// Replayed is also true for a call that joined one in flight.
	Replayed bool `json:"replayed"`
}

func (l *ledger) Do(ctx context.Context, call Call) (callerapi.Response, bool, error) {
	began := l.clock.Now()
	remaining := call.RemainingMillis
	for first := true; ; first = false {
		out, err := l.tryHome(ctx, call, first)
		waited := l.clock.Now().Sub(began)
		call.RemainingMillis = remaining - waited.Milliseconds()
		if err == nil || !homeChanging(err) || waited >= l.settleTimeout || call.RemainingMillis <= 0 {
			return out.Response, out.Replayed, err
		}
		if l.clock.Sleep(ctx, retryInterval) != nil {
			return out.Response, out.Replayed, err
		}
	}
}

// homeChanging reports whether a call was not run because its home is changing.
func homeChanging(err error) bool {
	return fault.Is(err, fault.HomeUnsettled) && fault.Of(err).Outcome() == fault.NotRun
}

// tryHome sends the call to its home once, or runs it here if this instance is
// the home. Forwarding is recorded in the journal for the first attempt only;
// joining and replaying are recorded by the home for each attempt.
func (l *ledger) tryHome(ctx context.Context, call Call, first bool) (out runResult, err error) {
	if _, err := l.checkKey(call.Key); err != nil {
		return out, err
	}
	home, ok := viewlease.HomeOf(l.roster.State().View.Members, viewlease.SlotOf(call.Team, call.Key))
	if !ok {
		return out, fault.New(fault.HomeUnsettled, "no view is known")
	}
	if home.ID == l.id {
		return l.runHere(ctx, call)
	}
	if first {
		l.recordDecision(journal.Forwarded, call, "instance "+home.ID+" is home of the key")
	}
	err = l.mesh.Call(ctx, home.ID, methodRun, call, &out)
	return out, err
}

// checkKey returns the mint time of a key, or an error if the key is malformed
// or its mint time is too far in the future.
func (l *ledger) checkKey(key string) (time.Time, error) {
	at, err := mintTime(key)
	if err != nil {
		return at, err
	}
	if at.After(l.clock.Now().Add(l.callerSkew)) {
		return at, fault.New(fault.BadKey, "minted in the future, at %s", at).WithField(fieldKey)
	}
	return at, nil
}

func (l *ledger) handleRun(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var call Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "call from instance %q", from)
	}
	return l.runHere(ctx, call)
}

// runHere runs, joins or replays the call if this instance is its home.
func (l *ledger) runHere(ctx context.Context, call Call) (out runResult, err error) {
	at, err := l.checkKey(call.Key)
	if err != nil {
		return out, err
	}
	now := l.clock.Now()
	left := time.Duration(call.RemainingMillis) * time.Millisecond
	fresh := &entry{
		teamKey: teamKey{call.Team, call.Key}, minted: at, bodyHash: call.BodyHash,
		request: call.Request, slot: viewlease.SlotOf(call.Team, call.Key), endsBy: now.Add(left),
	}
	state := l.roster.State()
	if !state.MayServe(now, fresh.slot) {
		err := fault.New(fault.HomeUnsettled, "instance %q is not home at epoch %d", l.id, state.View.Epoch)
		return out, err.WithRetryAfter(viewRetryAfter)
	}
	fresh.homeEpoch = l.slots.homeEpochOf(state, fresh.slot)
	l.table.sweep(now.Add(-l.keyWindow))
	e, created, err := l.table.lookupOrInsert(fresh, func() error { return l.slots.checkNotRunElsewhere(fresh.slot, at, now) })
	if err != nil {
		return out, err
	}
	switch {
	case created:
		l.start(ctx, call, e)
	case e.ended():
		l.recordDecision(journal.Replayed, call, "the key was used by request "+e.request)
	default:
		l.recordDecision(journal.Joined, call, "the key is in use by request "+e.request)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	response, err := l.wait(ctx, e)
	return runResult{Response: response, Replayed: !created}, err
}

// recordDecision writes a decision about a call to the journal.
func (l *ledger) recordDecision(step journal.Step, call Call, reason string) {
	if l.journal != nil {
		l.journal.Record(journal.Decision{At: l.clock.Now(), Step: step, Request: call.Request, Reason: reason})
	}
}

// wait waits for the end of a call that runs here or at the previous home.
func (l *ledger) wait(ctx context.Context, e *entry) (callerapi.Response, error) {
	var overdue <-chan time.Time
	if e.homeEpoch == 0 {
		overdue = l.clock.After(e.endsBy.Sub(l.clock.Now()))
	}
	select {
	case <-e.done:
		return l.table.result(e)
	case <-overdue:
		return callerapi.Response{}, fault.New(fault.OutcomeUnknown, "the home before did not tell how the call ended").WithField(fieldKey)
	case <-ctx.Done():
	}
	if e.ended() {
		return l.table.result(e)
	}
	return callerapi.Response{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "wait for the call's end")
}

// start runs the call until its deadline, even if ctx ends earlier.
func (l *ledger) start(ctx context.Context, call Call, e *entry) {
	run := func() {
		left := time.Duration(call.RemainingMillis) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
		defer cancel()
		response, err := l.executor.RunOnce(ctx, call, func() error { return l.checkStillHome(ctx, e) })
		if successor := l.table.finish(e, response, err); successor != "" {
			l.sendEnd(successor, e)
		}
	}
	if !l.runInBackground(run) {
		l.table.finish(e, callerapi.Response{}, fault.New(fault.HomeUnsettled, "instance %q is stopping", l.id))
	}
}

// checkStillHome is the check directly before the write. It returns nil if ctx
// has not ended, this instance has been home of the call's slot without
// interruption since the call began, and its lease has not expired.
func (l *ledger) checkStillHome(ctx context.Context, e *entry) error {
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.DeadlineTooShort, err, "before the write")
	}
	state := l.roster.State()
	if l.slots.homeEpochOf(state, e.slot) != e.homeEpoch {
		return fault.New(fault.HomeUnsettled, "the key's home changed").WithRetryAfter(viewRetryAfter)
	}
	if !state.MayServe(l.clock.Now(), e.slot) {
		return fault.New(fault.HomeUnsettled, "the hold of epoch %d has lapsed", state.View.Epoch).WithRetryAfter(viewRetryAfter)
	}
	return nil
}

// runInBackground runs work in the background. It returns false if the ledger
// is closed.
func (l *ledger) runInBackground(work func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.work.Go(work)
	return true
}

// Leave implements ManagedLedger.
func (l *ledger) Leave(ctx context.Context) error {
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
		return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "hand over the keys")
	}
}

// Close implements ManagedLedger.
func (l *ledger) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.work.Wait()
}
