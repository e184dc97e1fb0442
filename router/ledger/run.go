package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
)

// methodRun runs a call at its home instance.
const methodRun = "ledger.run"

// retryView is when a repeat makes sense after two instances disagreed on the
// view.
const retryView = 500 * time.Millisecond

// Book is a Ledger with its life cycle.
type Book interface {
	Ledger
	// Close waits for the calls that run here.
	Close()
}

// New returns a ledger with the defaults of this package changed by opts. It
// sets its handlers in the mesh, which must not have started.
func New(opts ...Option) Book {
	l := &book{config: defaults()}
	for _, opt := range opts {
		opt(&l.config)
	}
	l.table = newTable(l.maxEntries, l.maxAnswerBytes)
	l.mesh.Handle(methodRun, l.handleRun)
	return l
}

type book struct {
	config
	table *table
	runs  sync.WaitGroup
}

// outcome is the answer of methodRun.
type outcome struct {
	Answer   callerapi.Answer `json:"answer"`
	Replayed bool             `json:"replayed"`
}

func (l *book) Do(ctx context.Context, call Call) (callerapi.Answer, bool, error) {
	at, err := minted(call.Key)
	if err != nil {
		return callerapi.Answer{}, false, err
	}
	if at.After(l.clock.Now().Add(l.callerSkew)) {
		return callerapi.Answer{}, false, fault.New(fault.BadKey, "minted in the future, at %s", at).WithField(fieldKey)
	}
	home := l.roster.View().Home(call.Team, call.Key)
	if home == "" {
		return callerapi.Answer{}, false, fault.New(fault.HomeUnsettled, "the view has no members")
	}
	if home == l.id {
		return l.runHere(ctx, call)
	}
	var out outcome
	if err := l.mesh.Call(ctx, home, methodRun, call, &out); err != nil {
		return callerapi.Answer{}, false, err
	}
	return out.Answer, out.Replayed, nil
}

func (l *book) handleRun(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var call Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "call from instance %q", from)
	}
	answer, replayed, err := l.runHere(ctx, call)
	if err != nil {
		return nil, err
	}
	return outcome{Answer: answer, Replayed: replayed}, nil
}

// runHere runs, joins or replays the call on this instance, if it is home.
func (l *book) runHere(ctx context.Context, call Call) (callerapi.Answer, bool, error) {
	at, err := minted(call.Key)
	if err != nil {
		return callerapi.Answer{}, false, err
	}
	now := l.clock.Now()
	if at.After(now.Add(l.callerSkew)) {
		return callerapi.Answer{}, false, fault.New(fault.BadKey, "minted in the future, at %s", at).WithField(fieldKey)
	}
	view := l.roster.View()
	if view.Home(call.Team, call.Key) != l.id {
		err := fault.New(fault.HomeUnsettled, "instance %q is not home at epoch %d", l.id, view.Epoch)
		return callerapi.Answer{}, false, err.WithRetryAfter(retryView)
	}
	if err := l.roster.Check(view.Epoch); err != nil {
		return callerapi.Answer{}, false, err
	}
	l.table.sweep(now.Add(-l.keyWindow))
	vouch := func() error { return l.vouch(at, view) }
	e, created, err := l.table.begin(scope{call.Team, call.Key}, at, call.BodyHash, vouch)
	if err != nil {
		return callerapi.Answer{}, false, err
	}
	if created {
		l.start(ctx, call, view.Epoch, e)
	}
	select {
	case <-e.done:
		answer, err := l.table.result(e)
		return answer, !created, err
	case <-ctx.Done():
		err := fault.Wrap(fault.DeadlineMissed, ctx.Err(), "wait for the call's end")
		return callerapi.Answer{}, false, err
	}
}

// vouch returns nil when no other instance can have run a key minted at this
// time.
func (l *book) vouch(at time.Time, view View) error {
	if view.Since.IsZero() || at.After(view.Since.Add(l.callerSkew+2*l.instanceSkew)) {
		return nil
	}
	return fault.New(fault.OutcomeUnknown, "another instance may have run the key").WithField(fieldKey)
}

// start runs the call until its deadline, also when ctx ends before.
func (l *book) start(ctx context.Context, call Call, epoch uint64, e *entry) {
	l.runs.Go(func() {
		left := time.Duration(call.RemainingMillis) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
		defer cancel()
		guard := func() error {
			if err := ctx.Err(); err != nil {
				return fault.Wrap(fault.DeadlineShort, err, "before the write")
			}
			return l.roster.Check(epoch)
		}
		answer, err := l.runner.RunOnce(ctx, call, guard)
		l.table.finish(e, answer, err)
	})
}

func (l *book) Close() { l.runs.Wait() }
