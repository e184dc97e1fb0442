package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/cost"
	"cicadawell.dev/router/detour"
	"cicadawell.dev/router/memory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/target"
)

// streamState is what the caller has received of a stream, over all attempts.
type streamState struct {
	w http.ResponseWriter
	// headerSent is set once the status and headers were sent to the caller.
	headerSent bool
	// eventsSent counts the events that were sent to the caller.
	eventsSent int

	mu sync.Mutex
	// lastEventID is the identifier of the last event that was sent, or that the
	// caller resumes after.
	lastEventID string
}

// position returns the identifier of the event after which the stream goes on.
func (s *streamState) position() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEventID
}

func (s *streamState) setPosition(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEventID = id
}

// streamRun is a call that is answered by events, with what its attempts share.
type streamRun struct {
	plan     *callPlan
	state    *streamState
	attempts *attemptLimiter
	results  *results
	// inputs are the handles of the results that the call's runner uses, zone is where
	// most of them are.
	inputs []string
	zone   string
	// avoid has the engines that were already tried.
	avoid []*target.Target
	// origin is the version that began the stream, or nil until it has begun.
	origin atomic.Pointer[string]
	// standby is the attempt that has taken the call over from a silent one, or nil.
	// While an attempt runs, only its watchdog uses standby, attempts and avoid.
	standby *engineAttempt
}

// engineAttempt is a stream that is sent to one engine.
type engineAttempt struct {
	runnerAttempt
	place placement.Place
}

func (a *engineAttempt) close() {
	a.runnerAttempt.close()
	a.place.Ended()
}

// stream serves a call that is answered by events.
func (x *relay) stream(w http.ResponseWriter, p *callPlan) error {
	if err := x.checkPause(p); err != nil {
		return err
	}
	if err := x.checkPaths(); err != nil {
		return err
	}
	s := &streamRun{plan: p, state: &streamState{w: w, lastEventID: p.call.ResumeAfter}, attempts: x.newAttemptLimiter(p)}
	if err := x.bind(s); err != nil {
		return err
	}
	res, err := x.runStages(p)
	defer res.release()
	if err != nil {
		return err
	}
	x.RetryBudget.Success(p.service)
	s.results, s.inputs = res, res.handles(p.route.FinalStages())
	defer s.dropStandby()
	if x.Policy.ResultZoneAffinity {
		s.zone = x.resultZone(p, res)
	}
	return x.runStream(s)
}

// runStream sends the call to engines until one completes the stream or no further
// one may be tried.
func (x *relay) runStream(s *streamRun) error {
	p, run := s.plan, fault.NotRun
	var last error
	for p.ctx.Err() == nil && s.attempts.next() {
		if err := x.checkQuarantine(p); err != nil {
			if run == fault.NotRun && !s.state.headerSent {
				return err
			}
			break
		}
		outcome, err := x.tryEngine(s)
		if errors.Is(err, errNoEngine) {
			break
		}
		if err == nil {
			return nil
		}
		last = err
		if !notSent(err) {
			s.attempts.recordSend()
		}
		if outcome != fault.NotRun {
			run = outcome
		}
		if s.standby == nil && !s.state.headerSent && refusedByCutOff(p, run, err) {
			return cutOffFault()
		}
		if !s.mayRetry(run, err, x.Clock.Now()) {
			break
		}
	}
	return x.failStream(p, s.state, run, last)
}

// mayRetry reports whether the call may go to another engine after an attempt that
// failed. run is the outcome of all attempts so far.
func (s *streamRun) mayRetry(run fault.Outcome, err error, now time.Time) bool {
	if (run != fault.NotRun && s.plan.atMostOnce()) || fault.Is(err, fault.CallerGone) || errors.Is(err, memory.ErrShort) {
		return false
	}
	return s.standby != nil || s.results.inputs(now) != gone
}

var errNoEngine = errors.New("no engine takes the call")

// tryEngine has the standby complete the stream, or else an engine that it chooses. It
// returns nil if the answer is complete.
func (x *relay) tryEngine(s *streamRun) (fault.Outcome, error) {
	if a := s.standby; a != nil {
		s.standby = nil
		x.watchEngine(s, a)
		return x.streamFrom(s, a)
	}
	place := x.place(s.plan.ctx, s, len(s.avoid))
	if place == nil {
		return fault.NotRun, errNoEngine
	}
	a := x.newEngineAttempt(s, place)
	x.watchEngine(s, a)
	x.openEngine(s, a)
	return x.streamFrom(s, a)
}

// watchEngine begins to watch the progress of an attempt.
func (x *relay) watchEngine(s *streamRun, a *engineAttempt) {
	var t takeover
	if x.Policy.ResumeStalled && !s.plan.atMostOnce() {
		t = func(ctx context.Context, giveUp func() bool) bool { return x.takeOverStream(ctx, s, giveUp) }
	}
	a.watch.start(firstEventTimeout(s.plan), t)
}

func (x *relay) newEngineAttempt(s *streamRun, place placement.Place) *engineAttempt {
	s.avoid = append(s.avoid, place.Target())
	s.attempts.recordSelection()
	return &engineAttempt{runnerAttempt: x.newAttempt(s.plan, place.Target()), place: place}
}

// openEngine sends the call to the engine of an attempt.
func (x *relay) openEngine(s *streamRun, a *engineAttempt) {
	// A runner may return under its identifier with another version.
	version := a.target.Runner().Version
	accepts := func() bool { return a.target.Runner().Version == version && x.accepts(s, version) }
	x.open(&a.runnerAttempt, Dispatch{Inputs: s.inputs, ResumeAfter: s.state.position(), Accepts: accepts})
	if notSent(a.err) && !runnerWithdrawn(a.err) && a.watch.ctx.Err() == nil && !a.cutOff() && !errors.Is(a.err, detour.ErrCutOff) {
		a.place.Unreachable()
	}
}

// place chooses an engine for the n-th attempt of the call, counted from zero, or
// returns nil if there is none.
func (x *relay) place(ctx context.Context, s *streamRun, n int) placement.Place {
	where := x.placementRequest(s.plan)
	if n > 0 {
		// Two attempts of a call may be placed at the same time.
		where.ID += "/" + strconv.Itoa(n)
	}
	where.Zone, where.InputBytes, where.Avoid = s.zone, s.results.bytes(), x.tried(s.plan, s.avoid)
	where.Version = s.origin.Load()
	if where.Version == nil && s.plan.route.Resumable {
		mayBegin := x.Streams.MayBegin(s.plan.service)
		where.Accepts = func(t *target.Target) bool { return mayBegin(t.Runner().Version) }
	}
	return x.Engines.Place(ctx, where)
}

// takeOverStream has the call go on at another engine once one has begun its answer.
func (x *relay) takeOverStream(ctx context.Context, s *streamRun, giveUp func() bool) bool {
	for {
		a := x.nextStandby(ctx, s)
		if a == nil {
			return false
		}
		a.group.Go(func() { x.openEngine(s, a) })
		// Engines answer with their first event, so that until then only one of them runs
		// the call, and this one may still be full.
		if x.await(ctx, &a.runnerAttempt, firstEventTimeout(s.plan)) && a.answered() && passable(a.answer) && giveUp() {
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
}

// nextStandby returns an attempt at another engine that may take the call over, or nil
// if there is none.
func (x *relay) nextStandby(ctx context.Context, s *streamRun) *engineAttempt {
	if x.checkQuarantine(s.plan) != nil || s.results.inputs(x.Clock.Now()) != available {
		return nil
	}
	if !x.hasAlternative(s.plan, s.avoid) || !s.attempts.reserveNext() {
		return nil
	}
	place := x.place(ctx, s, len(s.avoid))
	if place == nil {
		return nil
	}
	if ctx.Err() != nil {
		place.Ended()
		return nil
	}
	return x.newEngineAttempt(s, place)
}

// passable reports whether the events of an answer can be passed on.
func passable(a *Answer) bool { return a.Events && a.Sealed && a.Status < 300 }

// dropStandby gives up the standby.
func (s *streamRun) dropStandby() {
	if s.standby != nil {
		s.standby.close()
		s.standby = nil
	}
}

// placementRequest returns the request to choose an engine for the call.
func (x *relay) placementRequest(p *callPlan) placement.Request {
	return placement.Request{
		ID: p.call.ID, Shard: x.shardOf(p, p.service), Prompt: p.call.Prompt, Deadline: p.deadline,
		Output: cost.Request{Route: p.route.Name, Max: p.call.MaxOutputTokens, Hint: p.call.OutputHint},
	}
}

// resultZone returns the zone that holds the most results for the call, or the
// zone of this instance if no other holds more.
func (x *relay) resultZone(p *callPlan, res *results) string {
	count := make(map[string]int)
	best := x.Zone
	for _, id := range res.runnerIDs(p.route.FinalStages()) {
		if t := x.Targets.Find(id); t != nil {
			zone := t.Runner().Zone
			count[zone]++
			if count[zone] > count[best] {
				best = zone
			}
		}
	}
	return best
}

// streamFrom forwards the events of an attempt. It returns nil if the answer is
// complete.
func (x *relay) streamFrom(s *streamRun, a *engineAttempt) (fault.Outcome, error) {
	defer a.close()
	<-a.opened
	outcome, err := x.passOpened(s, a)
	if err != nil {
		a.watch.settle()
	}
	return outcome, err
}

func (x *relay) passOpened(s *streamRun, a *engineAttempt) (fault.Outcome, error) {
	var sendErr *SendError
	switch {
	case errors.As(a.err, &sendErr) && !sendErr.Sent:
		return fault.NotRun, a.err
	case a.err != nil:
		a.reportCrash(a.err)
		return fault.Unknown, a.err
	}
	return x.passAnswer(s, a)
}

// passAnswer returns the answer of an engine to the caller.
func (x *relay) passAnswer(s *streamRun, ea *engineAttempt) (fault.Outcome, error) {
	p, t, a := s.plan, ea.target, ea.answer
	if a.NotRun {
		return fault.NotRun, fault.New(fault.Overloaded, "runner %q answered %d", t.Runner().ID, a.Status)
	}
	if !a.Events || a.Status >= 300 {
		return fault.Run, x.passPlainAnswer(s.state, ea)
	}
	if !a.Sealed {
		return fault.Unknown, errUnsealed
	}
	answered, before, resumed := false, s.state.eventsSent, s.state.position() != ""
	err := x.passEvents(p, s.state, &ea.runnerAttempt, func() {
		answered = true
		x.begun(s, ea.runner)
		ea.place.Answered(ea.took)
		x.Log.Info("first event", "request", p.call.ID, "runner", t.Runner().ID, "resumed", s.state.headerSent,
			"afterMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds(), "expectedMillis", ea.place.Expected().Milliseconds(), "observedMillis", ea.took.Milliseconds())
		ea.reportAnswer(false)
		x.Quarantine.Answered(p.service, p.call.Prompt)
		for _, f := range p.route.FinalStages() {
			s.results.unref(f)
		}
	})
	if err == nil && !resumed {
		ea.place.Completed(s.state.eventsSent - before) // engines send an event for each token
	}
	if !answered {
		ea.reportCrash(err)
	}
	if err != nil && !fault.Is(err, fault.CallerGone) && (!answered || p.ctx.Err() == nil) {
		// A stream that breaks after its first event counts once more, as a failure.
		// One that is still running at its deadline doesn't.
		ea.reportLoss(err)
	}
	return fault.Run, err
}

// passPlainAnswer returns an answer without events to the caller, such as runners
// give on failure.
func (x *relay) passPlainAnswer(s *streamState, ea *engineAttempt) error {
	p, a := ea.plan, ea.answer
	if s.headerSent {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream that goes on", a.Status)
	}
	body, ended, err := readHeld(a.Body, p.call.Memory)
	defer p.call.Memory.Free(memory.Answers)
	if !failed(a) {
		ea.reportBody(err)
	}
	if err != nil {
		return err
	}
	if !ended {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream with more bytes than can be held, at most %d", a.Status, maxBuffered)
	}
	if a.Status >= http.StatusInternalServerError && !p.atMostOnce() {
		return fault.New(fault.RunnerFailed, "the runner answered %d", a.Status)
	}
	if a.Status < 300 && !a.Sealed {
		return errUnsealed
	}
	maps.Copy(s.w.Header(), a.Header)
	s.w.WriteHeader(a.Status)
	p.status = a.Status
	if err := writeHeld(s.w, body); err != nil {
		x.Log.Info("answer not delivered", "request", p.call.ID, "error", err)
	}
	return nil
}

var errEmptyStream error = fault.New(fault.RunnerFailed, "the stream has no event")

// passEvents forwards events as they arrive. It calls onFirst at the first one.
func (x *relay) passEvents(p *callPlan, s *streamState, a *runnerAttempt, onFirst func()) error {
	events := newEventReader(a.answer.Body, p.call.Memory)
	defer p.call.Memory.Free(memory.Answers)
	for answered := false; ; {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !events.any && !s.mayBeComplete(a.answer) {
				return errEmptyStream
			}
			p.status, p.events = http.StatusOK, s.eventsSent
			return nil
		}
		if err != nil {
			if p.ctx.Err() == nil && !errors.Is(err, memory.ErrShort) {
				a.connectionFailed(err)
			}
			return err
		}
		if !events.any {
			continue
		}
		a.watch.pause() // while the caller reads
		if err := s.checkOrder(p, id); err != nil {
			return err
		}
		if !answered {
			answered = true
			onFirst()
		}
		if err := s.writeEvent(a.answer, event); err != nil {
			return fault.Wrap(fault.CallerGone, err, "pass an event on").WithOutcome(fault.Run)
		}
		if id != "" {
			s.setPosition(id)
		}
		a.watch.progress(eventTimeout(p))
	}
}

// mayBeComplete reports whether an answer without events ends the stream. One that
// has no length may have been broken off.
func (s *streamState) mayBeComplete(a *Answer) bool { return s.headerSent && !a.Unframed }

// checkOrder returns an error if an event can't come after the last one.
func (s *streamState) checkOrder(p *callPlan, id string) error {
	last := s.position()
	if id == "" || last == "" || (!p.route.Resumable && s.eventsSent == 0) || follows(id, last) {
		return nil
	}
	return fault.New(fault.RunnerFailed, "event %q came after %q", id, last)
}

// writeEvent sends one event to the caller, after the status and headers if it's the
// first. A stream that is resumed at another runner keeps the first runner's
// status and headers.
func (s *streamState) writeEvent(a *Answer, event []byte) error {
	if !s.headerSent {
		maps.Copy(s.w.Header(), a.Header)
		s.w.Header().Del("Content-Length") // another runner may write a part of it
		s.w.WriteHeader(a.Status)
		s.headerSent = true
	}
	s.eventsSent++
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// failStream ends a stream that can't be completed. If events were already sent, it
// aborts the connection, so that the stream can't be taken for complete.
func (x *relay) failStream(p *callPlan, s *streamState, run fault.Outcome, last error) error {
	if s.headerSent {
		x.Log.Warn("stream broken off", "request", p.call.ID, "route", p.route.Name, "events", s.eventsSent,
			"afterMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds(), "error", last)
		panic(http.ErrAbortHandler)
	}
	switch {
	case p.ctx.Err() != nil:
		return x.contextFault(p, run)
	case last == nil:
		return x.withPause(p, fault.New(fault.NoRunner, "no runner of %q takes calls", p.service))
	case run == fault.NotRun:
		return x.withPause(p, fault.Wrap(fault.Overloaded, last, "no runner of %q accepted the call", p.service))
	}
	return fault.Wrap(fault.OutcomeUnknown, last, "no usable answer of %q", p.service).WithOutcome(run)
}
