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

// maxWhole bounds the answers that are read whole before they are passed back.
// Longer ones are passed back as they come.
const maxWhole = 1 << 20

const (
	// attemptShare is how many times its objective an idempotent call may take
	// at a runner before another is asked: runners that hang or are far slower
	// than usual are told from a long call that way.
	attemptShare = 2
	// shortestAttempt is the least such time: several round trips and a wait
	// behind other calls.
	shortestAttempt = 100 * time.Millisecond
)

// attempt is what became of a call at one runner.
type attempt struct {
	answer *Answer
	// body is the answer's whole body, or its beginning if long is set.
	body []byte
	// long answers are passed back as they come. Their exchange is still open.
	long   bool
	cancel context.CancelFunc
	err    error
}

// close ends the exchange of a long answer.
func (a attempt) close() {
	if a.long {
		a.answer.Close()
		a.cancel()
	}
}

// plain serves a call with a single answer.
func (x *relay) plain(w http.ResponseWriter, p *plan) error {
	x.Repeats.Success(p.service)
	run := fault.NotRun
	var avoid []*target.Target
	var last attempt
	for tries := x.newTries(p); p.ctx.Err() == nil && tries.next(); {
		t := x.Targets.Plain(p.service, x.Zone, avoid)
		if t == nil {
			break
		}
		avoid = append(avoid, t)
		ended := t.Begin()
		last.close()
		last = x.try(p, t, tries.more())
		ended()
		if !unreached(last.err) {
			tries.sent()
		}
		if last.err == nil && !last.answer.NotRun {
			run = fault.Run
			if usable(last.answer) {
				break
			}
		}
		var unanswered *Unanswered
		if errors.As(last.err, &unanswered) && unanswered.Sent {
			run = fault.Unknown
		}
		if run != fault.NotRun && p.once() {
			break
		}
	}
	defer last.close()
	return x.reply(w, p, last, run)
}

// usable reports whether an answer is worth passing back at once.
func usable(a *Answer) bool {
	return a.Status < http.StatusInternalServerError && (a.Status >= 300 || a.Sealed)
}

// try sends the call to one runner and reads the answer whole.
func (x *relay) try(p *plan, t *target.Target, more bool) attempt {
	ctx, cancel := context.WithCancel(p.ctx)
	stop := func() bool { return true }
	if more && !p.once() {
		stop = x.Timers.AfterFunc(max(attemptShare*p.route.Objective, shortestAttempt), cancel)
	}
	a, err := x.send(ctx, p, t, Dispatch{ResumeAfter: p.call.ResumeAfter})
	stop()
	if err != nil {
		cancel()
		return attempt{err: err}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole))
	if err == nil && len(body) == maxWhole && usable(a) {
		return attempt{answer: a, body: body, long: true, cancel: cancel}
	}
	a.Close()
	cancel()
	if err == nil && len(body) == maxWhole {
		err = errLongFailure
	}
	if err != nil {
		t.Failed(x.Clock.Now())
		return attempt{err: &Unanswered{Sent: true, Err: err}}
	}
	return attempt{answer: a, body: body}
}

// reply passes the last answer back, or refuses the call.
func (x *relay) reply(w http.ResponseWriter, p *plan, last attempt, run fault.Outcome) error {
	if last.err == nil && last.answer != nil && !last.answer.NotRun && (last.answer.Sealed || last.answer.Status >= 300) {
		maps.Copy(w.Header(), last.answer.Header)
		w.WriteHeader(last.answer.Status)
		p.status = last.answer.Status
		x.deliver(w, p, last)
		return nil
	}
	switch {
	case p.ctx.Err() != nil:
		return x.ended(p, run)
	case run == fault.NotRun && last.answer == nil && last.err == nil:
		return fault.New(fault.NoRunner, "no runner of %q takes calls", p.service)
	case run == fault.NotRun:
		return fault.New(fault.Overloaded, "no runner of %q accepted the call", p.service)
	}
	return fault.Wrap(fault.OutcomeUnknown, errOr(last.err), "no usable answer of %q", p.service).WithOutcome(run)
}

// deliver passes the body back. A long one that breaks off must not look
// complete.
func (x *relay) deliver(w http.ResponseWriter, p *plan, last attempt) {
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

var errLongFailure = errors.New("the answer to a failed call is too long")

var errUnsealed = errors.New("the answer doesn't prove its origin")

func errOr(err error) error {
	if err == nil {
		return errUnsealed
	}
	return err
}
