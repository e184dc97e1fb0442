package relay

import (
	"errors"
	"io"
	"maps"
	"net/http"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/target"
)

// streamState is what the caller has received of a stream, over all attempts.
type streamState struct {
	w http.ResponseWriter
	// headerSent is set once the status and headers were sent to the caller.
	headerSent bool
	// lastEventID is the identifier of the last event that was sent, or that the
	// caller resumes after.
	lastEventID string
	// eventsSent counts the events that were sent to the caller.
	eventsSent int
}

// stream serves a call that is answered by events.
func (x *relay) stream(w http.ResponseWriter, p *callPlan) error {
	if err := x.checkPause(p); err != nil {
		return err
	}
	res, err := x.runStages(p)
	defer res.release()
	if err != nil {
		return err
	}
	x.RetryBudget.Success(p.service)
	inputs, zone := res.handles(p.route.FinalStages()), ""
	if x.Policy.ResultZoneAffinity {
		zone = x.resultZone(p, res)
	}
	state := &streamState{w: w, lastEventID: p.call.ResumeAfter}
	run := fault.NotRun
	var avoid []*target.Target
	var last error
	for attempts := x.newAttemptLimiter(p); p.ctx.Err() == nil && attempts.next(); {
		where := x.placementRequest(p)
		where.Zone, where.InputBytes, where.Avoid = zone, res.bytes(), avoid
		place := x.Engines.Place(p.ctx, where)
		if place == nil {
			break
		}
		avoid = append(avoid, place.Target())
		outcome, err := x.streamFrom(p, place, state, res, inputs)
		if err == nil {
			return nil
		}
		last = err
		if !notSent(err) {
			attempts.recordSend()
		}
		if outcome != fault.NotRun {
			run = outcome
		}
		if run != fault.NotRun && p.atMostOnce() {
			break
		}
	}
	return x.failStream(p, state, run, last)
}

// placementRequest returns the request to choose an engine for the call.
func (x *relay) placementRequest(p *callPlan) placement.Request {
	return placement.Request{ID: p.call.ID, Shard: x.shardOf(p, p.service), Prompt: p.call.Prompt, Deadline: p.deadline}
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

// streamFrom sends the call to one engine and forwards its events. It returns nil
// if the answer is complete.
func (x *relay) streamFrom(p *callPlan, place placement.Place, s *streamState, res *results, inputs []string) (fault.Outcome, error) {
	t := place.Target()
	ended := t.Begin()
	defer ended()
	defer place.Ended()
	ctx, stall := x.watchStream(p)
	defer stall.stop()
	a, err := x.send(ctx, p, t, Dispatch{Inputs: inputs, ResumeAfter: s.lastEventID})
	if notSent(err) && !runnerWithdrawn(err) && ctx.Err() == nil {
		place.Unreachable()
	}
	var sendErr *SendError
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return fault.NotRun, err
	case err != nil:
		return fault.Unknown, err
	}
	defer a.Close()
	if a.NotRun {
		return fault.NotRun, fault.New(fault.Overloaded, "runner %q answered %d", t.Runner().ID, a.Status)
	}
	if !a.Events || a.Status >= 300 {
		return fault.Run, x.passPlainAnswer(p, s, a)
	}
	if !a.Sealed {
		return fault.Unknown, errUnsealed
	}
	return fault.Run, x.passEvents(p, t, s, a, stall, func() {
		place.Answered()
		for _, f := range p.route.FinalStages() {
			res.unref(f)
		}
	})
}

// passPlainAnswer returns an answer without events to the caller, such as runners
// give on failure.
func (x *relay) passPlainAnswer(p *callPlan, s *streamState, a *Answer) error {
	if s.headerSent {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream that goes on", a.Status)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered+1))
	if err != nil {
		return err
	}
	if len(body) > maxBuffered {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream with more than %d bytes", a.Status, maxBuffered)
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
	if _, err := s.w.Write(body); err != nil {
		x.Log.Info("answer not delivered", "request", p.call.ID, "error", err)
	}
	return nil
}

// passEvents forwards events as they arrive. It calls onFirst at the first one.
func (x *relay) passEvents(p *callPlan, t *target.Target, s *streamState, a *Answer, stall *stallWatch, onFirst func()) error {
	events := newEventReader(a.Body)
	for answered := false; ; {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !events.any && !s.mayBeComplete(a) {
				return fault.New(fault.RunnerFailed, "the stream has no event")
			}
			p.status, p.events = http.StatusOK, s.eventsSent
			return nil
		}
		if err != nil {
			if p.ctx.Err() == nil {
				t.ConnectionFailed(x.Clock.Now())
			}
			return err
		}
		if !events.any {
			continue
		}
		if err := s.checkOrder(p, id); err != nil {
			return err
		}
		if !answered {
			answered = true
			onFirst()
			x.Log.Info("first event", "request", p.call.ID, "runner", t.Runner().ID, "resumed", s.headerSent,
				"afterMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds())
		}
		stall.progress()
		if err := s.writeEvent(a, event); err != nil {
			return fault.Wrap(fault.CallerGone, err, "pass an event on").WithOutcome(fault.Run)
		}
		if id != "" {
			s.lastEventID = id
		}
	}
}

// mayBeComplete reports whether an answer without events ends the stream. One that
// has no length may have been broken off.
func (s *streamState) mayBeComplete(a *Answer) bool { return s.headerSent && !a.Unframed }

// checkOrder returns an error if an event can't come after the last one.
func (s *streamState) checkOrder(p *callPlan, id string) error {
	if id == "" || s.lastEventID == "" || (!p.route.Resumable && s.eventsSent == 0) || follows(id, s.lastEventID) {
		return nil
	}
	return fault.New(fault.RunnerFailed, "event %q came after %q", id, s.lastEventID)
}

// writeEvent sends one event to the caller, after the status and headers if it's the
// first. A stream that is resumed at another runner keeps the first runner's
// status and headers.
func (s *streamState) writeEvent(a *Answer, event []byte) error {
	if !s.headerSent {
		maps.Copy(s.w.Header(), a.Header)
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
