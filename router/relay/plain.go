package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/target"
)

// maxBuffered is the size in bytes below which an answer is read completely
// before it is returned. Longer answers are streamed to the caller.
const maxBuffered = 1 << 20

const (
	// attemptTimeoutFactor times the route's objective is how long an idempotent
	// call waits for a runner's answer before it is retried at another runner. The
	// factor separates runners that hang or are far slower than usual from calls
	// that take long.
	attemptTimeoutFactor = 2
	// minAttemptTimeout is the lower bound of that timeout. It covers several
	// round trips and the time queued behind other calls.
	minAttemptTimeout = 100 * time.Millisecond
)

// attempt is the outcome of sending a call to one runner.
type attempt struct {
	answer *Answer
	// body is the complete body of the answer, or its beginning if long is set.
	body []byte
	// long is set if the rest of the body is still to be streamed from the open
	// exchange.
	long bool
	stop func()
	err  error
}

// close ends the exchange of a long answer.
func (a attempt) close() {
	if a.long {
		a.answer.Close()
		a.stop()
	}
}

// plainRun is a call that isn't answered by events, with what its attempts share.
type plainRun struct {
	plan     *callPlan
	attempts *attemptLimiter
	// avoid has the runners that were already tried.
	avoid []*target.Target
	// standby is the runner at which the call continues if the current one is silent,
	// or nil. While an attempt runs, only its watchdog uses it.
	standby *target.Target
}

// plain serves a call that isn't answered by a stream of events.
func (x *relay) plain(w http.ResponseWriter, p *callPlan) error {
	x.RetryBudget.Success(p.service)
	run := fault.NotRun
	s := &plainRun{plan: p, attempts: x.newAttemptLimiter(p)}
	var last attempt
	for p.ctx.Err() == nil && s.attempts.next() {
		if err := x.checkQuarantine(p); err != nil {
			if run == fault.NotRun {
				return err
			}
			break
		}
		t := x.nextRunner(s)
		if t == nil {
			break
		}
		s.avoid = append(s.avoid, t)
		ended := t.Begin()
		last.close()
		last = x.try(s, t)
		ended()
		if !notSent(last.err) {
			s.attempts.recordSend()
		}
		if last.err == nil && !last.answer.NotRun {
			run = fault.Run
			if usable(last.answer) {
				break
			}
		}
		var sendErr *SendError
		if errors.As(last.err, &sendErr) && sendErr.Sent {
			run = fault.Unknown
		}
		if run != fault.NotRun && p.atMostOnce() {
			break
		}
	}
	defer last.close()
	return x.reply(w, p, last, run)
}

// nextRunner returns the standby or else chooses a runner, or returns nil if there is
// none.
func (x *relay) nextRunner(s *plainRun) *target.Target {
	if t := s.standby; t != nil {
		s.standby = nil
		return t
	}
	return x.Targets.LeastLoaded(s.plan.service, x.Zone, s.avoid)
}

// prepareRunner reports whether the call can continue at another runner, which it
// chooses.
func (x *relay) prepareRunner(s *plainRun) bool {
	if s.standby == nil && x.checkQuarantine(s.plan) == nil && x.Targets.HasAlternative(s.plan.service, s.avoid) && s.attempts.reserveNext() {
		s.standby = x.Targets.LeastLoaded(s.plan.service, x.Zone, s.avoid)
	}
	return s.standby != nil
}

// usable reports whether an answer can be returned without another attempt.
func usable(a *Answer) bool {
	return a.Status < http.StatusInternalServerError && (a.Status >= 300 || a.Sealed)
}

// try sends the call to one runner and reads the answer, up to maxBuffered bytes. An
// idempotent call that gets no answer in time is cancelled if it can continue at
// another runner.
func (x *relay) try(s *plainRun, t *target.Target) attempt {
	p := s.plan
	var prepare func(context.Context) bool
	if !p.atMostOnce() {
		prepare = func(context.Context) bool { return x.prepareRunner(s) }
	}
	w := x.watch(p.ctx, max(attemptTimeoutFactor*p.route.Objective, minAttemptTimeout), prepare)
	a, err := x.send(w.ctx, p, t, Dispatch{ResumeAfter: p.call.ResumeAfter})
	w.disarm()
	if err != nil {
		x.reportCrash(w.ctx, t, p, err)
		w.stop()
		return attempt{err: err}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	switch {
	case err != nil:
		x.reportCrash(w.ctx, t, p, err)
	case usable(a) && !a.NotRun:
		x.Quarantine.Answered(p.service, p.call.Prompt)
	}
	if err == nil && len(body) == maxBuffered && usable(a) {
		return attempt{answer: a, body: body, long: true, stop: w.stop}
	}
	a.Close()
	w.stop()
	if a.NotRun {
		return attempt{answer: a}
	}
	if err == nil && len(body) == maxBuffered {
		err = errFailureTooLong
	}
	if err != nil {
		t.Failed(x.Clock.Now())
		return attempt{err: &SendError{Sent: true, Err: err}}
	}
	return attempt{answer: a, body: body}
}

// reply returns the last answer to the caller, or the error of the call.
func (x *relay) reply(w http.ResponseWriter, p *callPlan, last attempt, run fault.Outcome) error {
	if last.err == nil && last.answer != nil && !last.answer.NotRun && (last.answer.Sealed || last.answer.Status >= 300) {
		maps.Copy(w.Header(), last.answer.Header)
		w.WriteHeader(last.answer.Status)
		p.status = last.answer.Status
		x.deliver(w, p, last)
		return nil
	}
	switch {
	case p.ctx.Err() != nil:
		return x.contextFault(p, run)
	case run == fault.NotRun && last.answer == nil && last.err == nil:
		return x.withPause(p, fault.New(fault.NoRunner, "no runner of %q takes calls", p.service))
	case run == fault.NotRun:
		return x.withPause(p, fault.New(fault.Overloaded, "no runner of %q accepted the call", p.service))
	}
	return fault.Wrap(fault.OutcomeUnknown, errOrUnsealed(last.err), "no usable answer of %q", p.service).WithOutcome(run)
}

// deliver writes the body to the caller. If a long body is truncated, the
// connection is aborted so that the answer can't be taken for complete.
func (x *relay) deliver(w http.ResponseWriter, p *callPlan, last attempt) {
	_, err := w.Write(last.body)
	if err == nil && last.long {
		if _, err = io.Copy(w, last.answer.Body); err != nil {
			x.Log.Warn("answer broken off", "request", p.call.ID, "error", err)
			panic(http.ErrAbortHandler)
		}
	}
	if err != nil {
		x.Log.Info("answer not delivered", "request", p.call.ID, "error", err)
	}
}

var errFailureTooLong = errors.New("the answer to a failed call is too long")

var errUnsealed = errors.New("the answer carries no proof of origin")

func errOrUnsealed(err error) error {
	if err == nil {
		return errUnsealed
	}
	return err
}
