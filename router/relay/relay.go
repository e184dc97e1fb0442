package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/stage"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Relay serves calls.
type Relay interface {
	// Serve answers one call. It panics with http.ErrAbortHandler to break an
	// answer off, so that it can't be taken for complete.
	Serve(ctx context.Context, w http.ResponseWriter, c *Call)
}

// Parts are what a relay works with.
type Parts struct {
	Clock   clock.Clock
	Timers  clock.Timers
	Current *inventory.Current
	// Refresh reads at once whether the configuration has changed.
	Refresh func(ctx context.Context) error
	Targets target.Set
	// Engines places calls that are answered by events.
	Engines placement.Placer
	Pieces  stage.Maker
	Runners Runners
	Repeats Repeats
	Meter   Meter
	Log     hclog.Logger
	// Zone is the availability zone of this instance.
	Zone string
	// KnownFor is how old the configuration may be for calls with a key; zero
	// means any age.
	KnownFor time.Duration
	// Random decides between the services of a route.
	Random random.Source
	Policy policy.Policy
}

// Meter measures calls. Its methods are those of gauge.Relay.
type Meter interface {
	Answered(route, kind string, took time.Duration)
	Sent(service string, status int, took time.Duration)
	Staged(service, failure string, took time.Duration)
}

// New returns a relay.
func New(p Parts) Relay {
	return &relay{Parts: p, refreshing: shared{clk: p.Clock}}
}

type relay struct {
	Parts
	refreshing shared
}

func (x *relay) Serve(ctx context.Context, w http.ResponseWriter, c *Call) {
	p, err := x.plan(c)
	if fault.Is(err, fault.StaleConfiguration) {
		p, err = x.planAnew(ctx, c)
	}
	if err != nil {
		x.Meter.Answered("", string(fault.Of(err).Kind()), x.Clock.Now().Sub(c.Arrived))
		x.refuse(w, c, "", err)
		return
	}
	kind := fault.RunnerFailed // stands if the answer is broken off
	defer func() { x.Meter.Answered(p.route.Name, string(kind), x.Clock.Now().Sub(c.Arrived)) }()
	ctx, cancel := context.WithTimeout(ctx, p.until.Sub(x.Clock.Now()))
	defer cancel()
	p.ctx = ctx
	if p.route.Kind == routing.Streaming {
		err = x.stream(w, p)
	} else {
		err = x.plain(w, p)
	}
	kind = ""
	if err != nil {
		kind = fault.Of(err).Kind()
		x.refuse(w, c, p.route.Name, err)
		return
	}
	x.Log.Info("answered", "request", c.ID, "route", p.route.Name, "team", p.team, "rank", p.priority, "status", p.status,
		"events", p.events, "objectiveMillis", p.route.Objective.Milliseconds(), "afterMillis", x.Clock.Now().Sub(c.Arrived).Milliseconds())
}

// plan finds out what the configuration says of a call.
func (x *relay) plan(c *Call) (*plan, error) {
	s := x.Current.Load()
	if s.Table == nil {
		return nil, fault.New(fault.NotReady, "no configuration is known yet")
	}
	r := s.Table.Match(c.Host, c.Path)
	if r == nil {
		return nil, x.deny(fault.New(fault.UnknownRoute, "no route matches").WithField("path"))
	}
	p := &plan{call: c, route: r, priority: r.Priority}
	if s.Table.NeedsKey(r) {
		if age := x.Current.Age(); x.KnownFor > 0 && age > x.KnownFor {
			return nil, fault.New(fault.StaleConfiguration, "the configuration was last confirmed %v ago", age)
		}
		team := s.Table.Team(c.Key)
		if team == nil {
			return nil, x.deny(fault.New(fault.Unauthenticated, "no team has this key").WithField("key"))
		}
		p.team = team.Name
		if team.HasPriority {
			p.priority = team.Priority
		}
	}
	p.service = x.service(r)
	patience := r.Timeout
	if c.Patience > 0 {
		patience = min(patience, c.Patience)
	}
	p.until = c.Arrived.Add(patience)
	if !p.until.After(x.Clock.Now()) {
		return nil, fault.New(fault.DeadlineShort, "the deadline has passed").WithField("deadline")
	}
	return p, nil
}

// denyAge is how old the configuration may be for an answer that says that it
// doesn't allow a call: below the bounds on applying a newer one.
const denyAge = 1500 * time.Millisecond

// deny returns the error of a call that the configuration doesn't allow. What
// may have become allowed meanwhile is not denied.
func (x *relay) deny(denial error) error {
	if age := x.Current.Age(); age > denyAge {
		return fault.Wrap(fault.StaleConfiguration, denial, "the configuration was last confirmed %v ago", age)
	}
	return denial
}

// refreshTimeout bounds the wait for a configuration that is known to be the
// newest: several times what the store usually takes.
const refreshTimeout = 150 * time.Millisecond

// planAnew plans a call after the configuration was read again.
func (x *relay) planAnew(ctx context.Context, c *Call) (*plan, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := x.refreshing.Do(ctx, x.Refresh); err != nil {
		x.Log.Debug("configuration not confirmed", "request", c.ID, "error", err)
	}
	return x.plan(c)
}

// service chooses among a route's services by their weights.
func (x *relay) service(r *routing.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	n := x.Random.IntN(sum)
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// refuse answers a call by the table of kinds. The route is "" if none is known.
func (x *relay) refuse(w http.ResponseWriter, c *Call, route string, err error) {
	e := fault.Of(err)
	status := fault.AnswerOf(e.Kind()).Status
	outcome := e.Outcome()
	if status == http.StatusServiceUnavailable && outcome != fault.NotRun {
		status = http.StatusBadGateway
	}
	if after := e.RetryAfter(); after > 0 && outcome == fault.NotRun {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	level := hclog.Warn
	if status < http.StatusInternalServerError {
		level = hclog.Info
	}
	x.Log.Log(level, "refused", "request", c.ID, "route", route, "kind", e.Kind(), "outcome", outcome, "status", status,
		"afterMillis", x.Clock.Now().Sub(c.Arrived).Milliseconds(), "error", e)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// send passes the call to one runner and notes how that went.
func (x *relay) send(ctx context.Context, p *plan, t *target.Target, d Dispatch) (*Answer, error) {
	d.Runner = t.Runner()
	d.Team = p.team
	d.Urgency = p.priority
	d.Left = p.until.Sub(x.Clock.Now())
	d.Once = p.once()
	start := x.Clock.Now()
	connected := start
	d.Usable = func() bool {
		connected = x.Clock.Now()
		return x.Targets.MayUse(t)
	}
	a, err := x.Runners.Send(ctx, p.call, d)
	now := x.Clock.Now()
	switch {
	case left(err):
	case err != nil && ctx.Err() == nil:
		t.Broke(now)
	case err != nil && p.ctx.Err() == nil:
		t.Failed(now)
	case err != nil:
	case a.NotRun || a.Status >= http.StatusInternalServerError || (a.Status < 300 && !a.Sealed):
		t.Failed(now)
	default:
		t.Succeeded(now, now.Sub(start))
	}
	x.Meter.Sent(p.service, statusOf(a), now.Sub(start))
	x.Log.Info("sent", "request", p.call.ID, "route", p.route.Name, "service", p.service, "team", p.team, "runner", d.Runner.ID,
		"zone", d.Runner.Zone, "runnerRevision", d.Runner.Revision, "configuration", x.Current.Load().Table.Version(), "viewMillis", x.Current.Age().Milliseconds(),
		"connectedMillis", connected.Sub(start).Milliseconds(), "leftMillis", d.Left.Milliseconds(), "resumeAfter", d.ResumeAfter, "inputs", len(d.Inputs),
		"tookMillis", now.Sub(start).Milliseconds(), "status", statusOf(a), "error", err)
	return a, err
}

func statusOf(a *Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// ended returns the error of a call whose time or caller has gone.
func (x *relay) ended(p *plan, run fault.Outcome) error {
	if errors.Is(context.Cause(p.ctx), context.DeadlineExceeded) {
		if run == fault.NotRun {
			return fault.New(fault.DeadlineShort, "the deadline passed before a runner took the call")
		}
		return fault.New(fault.DeadlineMissed, "the deadline passed while the call ran").WithOutcome(run)
	}
	return fault.New(fault.CallerGone, "the caller left").WithOutcome(run)
}
