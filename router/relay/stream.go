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

// streamState is the progress of a stream towards its caller.
type streamState struct {
	w http.ResponseWriter
	// begun is set once the head of the answer left for the caller.
	begun bool
	// last is the identifier of the last event that was passed on.
	last string
	// events counts them.
	events int
}

// stream serves a call that is answered by events.
func (x *relay) stream(w http.ResponseWriter, p *plan) error {
	res, err := x.stages(p)
	defer res.release()
	if err != nil {
		return err
	}
	x.Repeats.Success(p.service)
	inputs, zone := res.handles(p.route.Final()), ""
	if x.Policy.ResultZones {
		zone = x.resultZone(p, res)
	}
	state := &streamState{w: w, last: p.call.ResumeAfter}
	run := fault.NotRun
	var avoid []*target.Target
	var last error
	for tries := x.newTries(p); p.ctx.Err() == nil && tries.next(); {
		where := x.placing(p)
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
		if !unreached(err) {
			tries.sent()
		}
		if outcome != fault.NotRun {
			run = outcome
		}
		if run != fault.NotRun && p.once() {
			break
		}
	}
	return x.broken(p, state, run, last)
}

// placing returns the request for an engine.
func (x *relay) placing(p *plan) placement.Request {
	return placement.Request{ID: p.call.ID, Service: p.service, Prompt: p.call.Prompt, Until: p.until}
}

// resultZone returns the zone that has most results for the call's runner, or
// that of this instance.
func (x *relay) resultZone(p *plan, res *results) string {
	count := make(map[string]int)
	best := x.Zone
	for _, id := range res.makers(p.route.Final()) {
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

// streamFrom sends the call to one engine and passes its events on. Without an
// error the answer is complete.
func (x *relay) streamFrom(p *plan, place placement.Place, s *streamState, res *results, inputs []string) (fault.Outcome, error) {
	t := place.Target()
	ended := t.Begin()
	defer ended()
	defer place.Ended()
	ctx, stall := x.watchStream(p)
	defer stall.stop()
	a, err := x.send(ctx, p, t, Dispatch{Inputs: inputs, ResumeAfter: s.last})
	if unreached(err) && !left(err) && ctx.Err() == nil {
		place.Broke()
	}
	var unanswered *Unanswered
	switch {
	case errors.As(err, &unanswered) && !unanswered.Sent:
		return fault.NotRun, err
	case err != nil:
		return fault.Unknown, err
	}
	defer a.Close()
	if a.NotRun {
		return fault.NotRun, fault.New(fault.Overloaded, "runner %q answered %d", t.Runner().ID, a.Status)
	}
	if !a.Events || a.Status >= 300 {
		return fault.Run, x.whole(p, s, a)
	}
	if !a.Sealed {
		return fault.Unknown, errUnsealed
	}
	return fault.Run, x.pass(p, t, s, a, stall, func() {
		place.Answered()
		for _, f := range p.route.Final() {
			res.used(f)
		}
	})
}

// whole passes back an answer without events, as runners give on failure.
func (x *relay) whole(p *plan, s *streamState, a *Answer) error {
	if s.begun {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream that goes on", a.Status)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if err != nil {
		return err
	}
	if len(body) > maxWhole {
		return fault.New(fault.RunnerFailed, "the runner answered %d to a stream with more than %d bytes", a.Status, maxWhole)
	}
	if a.Status >= http.StatusInternalServerError && !p.once() {
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

// pass passes events on as they come. It calls first at the first one.
func (x *relay) pass(p *plan, t *target.Target, s *streamState, a *Answer, stall *stallWatch, first func()) error {
	events := newEventReader(a.Body)
	for answered := false; ; {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !events.any && !s.begun {
				return fault.New(fault.RunnerFailed, "the stream has no event")
			}
			p.status, p.events = http.StatusOK, s.events
			return nil
		}
		if err != nil {
			if p.ctx.Err() == nil {
				t.Broke(x.Clock.Now())
			}
			return err
		}
		if !events.any {
			continue
		}
		if !answered {
			answered = true
			first()
			x.Log.Info("first event", "request", p.call.ID, "runner", t.Runner().ID, "resumed", s.begun,
				"afterMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds())
		}
		stall.event()
		if err := s.write(a, event); err != nil {
			return fault.Wrap(fault.CallerGone, err, "pass an event on").WithOutcome(fault.Run)
		}
		if id != "" {
			s.last = id
		}
	}
}

// write passes one event on, after the head of the answer if it is the first.
// A stream that goes on at another runner keeps the head of the first.
func (s *streamState) write(a *Answer, event []byte) error {
	if !s.begun {
		maps.Copy(s.w.Header(), a.Header)
		s.w.WriteHeader(a.Status)
		s.begun = true
	}
	s.events++
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// broken ends a stream that can't be completed.
func (x *relay) broken(p *plan, s *streamState, run fault.Outcome, last error) error {
	if s.begun {
		x.Log.Warn("stream broken off", "request", p.call.ID, "route", p.route.Name, "events", s.events,
			"afterMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds(), "error", last)
		panic(http.ErrAbortHandler)
	}
	switch {
	case p.ctx.Err() != nil:
		return x.ended(p, run)
	case last == nil:
		return fault.New(fault.NoRunner, "no runner of %q takes calls", p.service)
	case run == fault.NotRun:
		return fault.Wrap(fault.Overloaded, last, "no runner of %q accepted the call", p.service)
	}
	return fault.Wrap(fault.OutcomeUnknown, last, "no usable answer of %q", p.service).WithOutcome(run)
}
