package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/detour"
	"cicadawell.dev/router/memory"
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
	// acceptTimeout is how long another runner may take to answer until the call counts
	// as accepted there: a runner that is full refuses at once. It bounds the time for
	// which two runners work on a call.
	acceptTimeout = 200 * time.Millisecond
)

// attempt is the outcome of sending a call to one runner.
type attempt struct {
	answer *Answer
	// body is the complete body of the answer, or its beginning if long is set.
	body [][]byte
	// long is set if the rest of the body is still to be streamed from the open
	// exchange.
	long bool
	stop func()
	err  error
	// memory is what the call holds for the body.
	memory *memory.Reservation
}

// close ends the exchange of a long answer and returns the memory of the body.
func (a attempt) close() {
	a.memory.Free(memory.Answers)
	if a.long {
		a.stop()
	}
}

// ran reports whether the runner ran the call and answered.
func (a attempt) ran() bool { return a.err == nil && !a.answer.NotRun }

// outcomeAfter returns the outcome of the call after the attempt. run is the one before.
func (a attempt) outcomeAfter(run fault.Outcome) fault.Outcome {
	var sendErr *SendError
	switch {
	case a.ran():
		return fault.Run
	case errors.As(a.err, &sendErr) && sendErr.Sent:
		return fault.Unknown
	}
	return run
}

// plainRun is a call that isn't answered by events, with what its attempts share.
type plainRun struct {
	plan     *callPlan
	attempts *attemptLimiter
	// avoid has the runners that were already tried.
	avoid []*target.Target
	// standby is the attempt that has taken the call over from a silent one, or nil.
	// While an attempt runs, only its watchdog uses standby, attempts and avoid.
	standby *runnerAttempt
}

// plain serves a call that isn't answered by a stream of events.
func (x *relay) plain(w http.ResponseWriter, p *callPlan) error {
	x.RetryBudget.Success(p.service)
	run := fault.NotRun
	s := &plainRun{plan: p, attempts: x.newAttemptLimiter(p)}
	defer s.dropStandby()
	var last attempt
	for p.ctx.Err() == nil && s.attempts.next() {
		if err := x.checkQuarantine(p); err != nil {
			if run == fault.NotRun {
				return err
			}
			break
		}
		a := x.nextAttempt(s)
		if a == nil {
			break
		}
		last.close()
		last = x.try(s, a)
		if !notSent(last.err) {
			s.attempts.recordSend()
		}
		run = last.outcomeAfter(run)
		if (last.ran() && usable(last.answer)) || (run != fault.NotRun && p.atMostOnce()) {
			break
		}
		if s.standby == nil && refusedByCutOff(p, run, last.err) {
			return cutOffFault()
		}
	}
	defer last.close()
	return x.reply(w, p, last, run)
}

// nextAttempt returns the standby or else an attempt at a runner that it chooses, or
// nil if there is none.
func (x *relay) nextAttempt(s *plainRun) *runnerAttempt {
	if a := s.standby; a != nil {
		s.standby = nil
		x.watchRunner(s, a)
		return a
	}
	a := x.newPlainAttempt(s)
	if a != nil {
		x.watchRunner(s, a)
		x.open(a, Dispatch{ResumeAfter: s.plan.call.ResumeAfter})
	}
	return a
}

// newPlainAttempt chooses a runner, or returns nil if there is none.
func (x *relay) newPlainAttempt(s *plainRun) *runnerAttempt {
	t := x.Targets.LeastLoaded(s.plan.service, x.Zone, x.tried(s.plan, s.avoid))
	if t == nil {
		return nil
	}
	s.avoid = append(s.avoid, t)
	s.attempts.recordSelection()
	a := x.newAttempt(s.plan, t)
	return &a
}

// watchRunner begins to watch an attempt until its answer begins.
func (x *relay) watchRunner(s *plainRun, a *runnerAttempt) {
	var t takeover
	if !s.plan.atMostOnce() {
		t = func(ctx context.Context, giveUp func() bool) bool { return x.takeOverPlain(ctx, s, giveUp) }
	}
	a.watch.start(max(attemptTimeoutFactor*s.plan.route.Objective, minAttemptTimeout), t)
}

// takeOverPlain has the call go on at another runner once one has accepted it.
func (x *relay) takeOverPlain(ctx context.Context, s *plainRun, giveUp func() bool) bool {
	for x.checkQuarantine(s.plan) == nil && x.hasAlternative(s.plan, s.avoid) && s.attempts.reserveNext() && ctx.Err() == nil {
		a := x.newPlainAttempt(s)
		if a == nil {
			return false
		}
		a.group.Go(func() { x.open(a, Dispatch{ResumeAfter: s.plan.call.ResumeAfter}) })
		accepted := !x.await(ctx, a, acceptTimeout) && ctx.Err() == nil
		if (accepted || (a.answered() && usable(a.answer))) && giveUp() {
			s.standby = a
			return true
		}
		a.close()
		if !notSent(a.err) {
			s.attempts.recordSend()
		}
		if errors.Is(a.err, detour.ErrCutOff) {
			return false
		}
	}
	return false
}

// dropStandby gives up the standby.
func (s *plainRun) dropStandby() {
	if s.standby != nil {
		s.standby.close()
		s.standby = nil
	}
}

// usable reports whether an answer can be returned without another attempt.
func usable(a *Answer) bool {
	return a.Status < http.StatusInternalServerError && (a.Status >= 300 || a.Sealed)
}

// try awaits the answer of an attempt and reads it, up to maxBuffered bytes or as far as
// there is memory. Meanwhile a call that may run again can be taken over by another
// runner.
func (x *relay) try(s *plainRun, r *runnerAttempt) attempt {
	<-r.opened
	if r.err == nil && !r.answer.NotRun && usable(r.answer) {
		r.watch.pause()
	} else {
		r.watch.settle()
	}
	if r.err != nil {
		r.reportCrash(r.err)
		r.close()
		return attempt{err: r.err}
	}
	return x.readAnswer(s.plan, r)
}

func (x *relay) readAnswer(p *callPlan, r *runnerAttempt) attempt {
	a := r.answer
	body, ended, err := readHeld(a.Body, p.call.Memory)
	switch {
	case err != nil:
		r.reportCrash(err)
	case usable(a) && !a.NotRun:
		x.Quarantine.Answered(p.service, p.call.Prompt)
	}
	if usable(a) && !a.NotRun {
		r.reportBody(err)
	}
	out := attempt{answer: a, body: body, memory: p.call.Memory}
	if err == nil && !ended && usable(a) {
		out.long, out.stop = true, r.close
		return out
	}
	r.close()
	if a.NotRun {
		out.close()
		return attempt{answer: a}
	}
	if err == nil && !ended {
		err = errFailureTooLong
	}
	if err != nil {
		out.close()
		r.failed()
		return attempt{err: &SendError{Sent: true, Err: err}}
	}
	return out
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
	err := writeHeld(w, last.body)
	if err == nil && last.long {
		last.memory.Free(memory.Answers)
		if _, err = io.CopyBuffer(w, last.answer.Body, make([]byte, freeAnswerBytes)); err != nil {
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
