package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/stage"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Relay serves calls.
type Relay interface {
	// Serve answers one call. It panics with http.ErrAbortHandler to abort a
	// truncated answer, so that it can't be taken for complete. A call whose context
	// is cancelled with a fault.Error as its cause is refused with that error.
	Serve(ctx context.Context, w http.ResponseWriter, c *Call)
}

// Parts are the dependencies and settings of a relay.
type Parts struct {
	Clock   clock.Clock
	Timers  clock.Timers
	Current *inventory.Current
	// Refresh checks the store for a newer configuration.
	Refresh func(ctx context.Context) error
	Targets target.Set
	// Engines chooses the runner of calls that are answered by events.
	Engines placement.Placer
	// Shards chooses the zone of calls whose services are divided.
	Shards  shard.Balancer
	Pieces  stage.Maker
	Runners Runners
	// RetryBudget is the budget for sending calls to further runners.
	RetryBudget RetryBudget
	// Quarantine is optional. Without it no call is refused for its prompt.
	Quarantine Quarantine
	// Streams is optional. Without it a stream that its caller takes up goes on at any
	// version.
	Streams Streams
	// Rollouts is optional. Without it answers aren't recorded by version.
	Rollouts Rollouts
	// Paths is optional. Without it this instance is never cut off.
	Paths Paths
	Meter Meter
	Log   hclog.Logger
	// Zone is the availability zone of this instance.
	Zone string
	// MaxConfigAge is the maximum age of the configuration for calls that need a key;
	// zero means any age.
	MaxConfigAge time.Duration
	// Random chooses among the services of a route.
	Random random.Source
	Policy policy.Policy
}

// Meter records metrics of calls. telemetry.Relay implements it.
type Meter interface {
	Answered(route, kind string, took time.Duration)
	Attempted(service string, status int, took time.Duration)
	StageEnded(service, failure string, took time.Duration)
}

// New returns a relay.
func New(p Parts) Explainable {
	if p.Quarantine == nil {
		p.Quarantine = noQuarantine{}
	}
	if p.Streams == nil {
		p.Streams = anyVersion{}
	}
	if p.Rollouts == nil {
		p.Rollouts = noRollouts{}
	}
	if p.Paths == nil {
		p.Paths = noPaths{}
	}
	x := &relay{Parts: p, refresher: sharedRefresh{clk: p.Clock}}
	p.Paths.Watch(x.lostPaths)
	return x
}

type relay struct {
	Parts
	refresher sharedRefresh
	durations durations
	watches   watches
}

func (x *relay) Serve(ctx context.Context, w http.ResponseWriter, c *Call) {
	p, err := x.plan(c)
	if fault.Is(err, fault.StaleConfiguration) && !errors.Is(err, errOutdated) {
		p, err = x.refreshAndPlan(ctx, c)
	}
	if err != nil {
		x.Meter.Answered("", string(fault.Of(err).Kind()), x.Clock.Now().Sub(c.Arrived))
		x.refuse(w, c, "", err)
		return
	}
	kind := fault.RunnerFailed // recorded if the answer is aborted by a panic
	defer func() {
		now := x.Clock.Now()
		took := now.Sub(c.Arrived)
		x.Meter.Answered(p.route.Name, string(kind), took)
		if kind == "" || kind == fault.DeadlineExceeded {
			x.durations.record(p.route.Name, now, took)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, p.deadline.Sub(x.Clock.Now()))
	defer cancel()
	p.ctx = ctx
	switch err = x.checkQuarantine(p); {
	case err != nil:
	case p.route.Kind == routing.Streaming:
		err = x.stream(w, p)
	default:
		err = x.plain(w, p)
	}
	kind = ""
	if err != nil {
		err = cancellationFault(ctx, err)
		kind = fault.Of(err).Kind()
		x.refuse(w, c, p.route.Name, err)
		return
	}
	x.Log.Info("answered", "request", c.ID, "route", p.route.Name, "team", p.team, "rank", p.priority, "status", p.status,
		"events", p.events, "objectiveMillis", p.route.Objective.Milliseconds(), "afterMillis", x.Clock.Now().Sub(c.Arrived).Milliseconds())
}

// plan matches a call to its route and checks the team's key and the deadline.
func (x *relay) plan(c *Call) (*callPlan, error) { return x.planWith(c, x.chooseService) }

// planWith is like plan with a function that chooses the service.
func (x *relay) planWith(c *Call, choose func(*routing.Route) string) (*callPlan, error) {
	s := x.Current.Load()
	if s.Table == nil {
		return nil, fault.New(fault.NotReady, "no configuration is known yet")
	}
	if x.Current.Outdated() {
		return nil, errOutdated
	}
	r := s.Table.Match(c.Host, c.Path)
	if r == nil {
		return nil, x.deny(fault.New(fault.UnknownRoute, "no route matches").WithField("path"))
	}
	p := &callPlan{call: c, route: r}
	x.setRank(p, s.Table, nil)
	if s.Table.NeedsKey(r) {
		if age := x.Current.Age(); x.MaxConfigAge > 0 && age > x.MaxConfigAge {
			return nil, fault.New(fault.StaleConfiguration, "the configuration was last confirmed %v ago", age)
		}
		team := s.Table.Team(c.Key)
		if team == nil {
			return nil, x.deny(fault.New(fault.Unauthenticated, "no team has this key").WithField("key"))
		}
		p.team = team.Name
		x.setRank(p, s.Table, team)
	}
	p.service = choose(r)
	timeout := r.Timeout
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	p.deadline = c.Arrived.Add(timeout)
	now := x.Clock.Now()
	if !p.deadline.After(now) {
		return nil, fault.New(fault.DeadlineTooShort, "the deadline has passed").WithField("deadline")
	}
	if err := x.checkStop(p, now); err != nil {
		return nil, err
	}
	p.stagesDeadline = p.deadline
	if abandoned := c.Arrived.Add(streamPatience(r)); r.Kind == routing.Streaming && abandoned.Before(p.deadline) {
		p.stagesDeadline = abandoned
	}
	return p, nil
}

// errOutdated is the error of a call while a newer view is arriving, which a further read of
// the store would delay.
var errOutdated error = fault.New(fault.StaleConfiguration, "the view is outdated, and a newer one is arriving")

// setRank sets the rank and the urgency of a call. The team is nil if the call has no
// key.
func (x *relay) setRank(p *callPlan, table *routing.Table, team *routing.Team) {
	if x.Policy.RouteRanks {
		p.priority = table.Rank(p.route, team)
		p.urgency = table.Urgency(p.priority)
		return
	}
	p.priority = p.route.Priority
	if team != nil && team.HasPriority {
		p.priority = team.Priority
	}
	p.urgency = p.priority
}

// checkQuarantine returns an error if the call must not be sent to a runner because
// of its prompt.
func (x *relay) checkQuarantine(p *callPlan) error {
	left, blocked := x.Quarantine.Blocked(p.service, p.call.Prompt)
	if !blocked {
		return nil
	}
	return fault.New(fault.Quarantined, "the prompt has parts that crash the runners of %q", p.service).WithRetryAfter(left)
}

// reportCrash reports the error of an attempt without an answer if it may be due to a
// crash of the runner: the connection was lost after the call was sent.
func (a *runnerAttempt) reportCrash(err error) {
	if a.watch.ctx.Err() != nil || notSent(err) || a.cutOff() {
		return
	}
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncatedEvent, errEmptyStream} {
		if errors.Is(err, lost) {
			a.relay.Quarantine.Crashed(a.target.Runner(), a.plan.call.Prompt)
			return
		}
	}
}

// Callers abandon a stream after a gap, also before its first event, that is longer
// than the largest of a fixed time and of multiples of the route's objectives.
const (
	minStreamPatience    = 2 * time.Second
	objectivesOfPatience = 4
	gapsOfPatience       = 8
)

// streamPatience returns how long callers wait for the next event of a stream.
func streamPatience(r *routing.Route) time.Duration {
	return max(minStreamPatience, objectivesOfPatience*r.Objective, gapsOfPatience*r.GapObjective)
}

// maxDenyAge is the maximum age of a configuration that calls are denied by. It is
// below the bounds on the time until a newer configuration is applied.
const maxDenyAge = 1500 * time.Millisecond

// deny returns the error of a call that the configuration doesn't allow. If the
// configuration is too old the error is StaleConfiguration instead, as a newer one
// may allow the call.
func (x *relay) deny(denial error) error {
	if age := x.Current.Age(); age > maxDenyAge {
		return fault.Wrap(fault.StaleConfiguration, denial, "the configuration was last confirmed %v ago", age)
	}
	return denial
}

// refreshTimeout bounds the wait until the configuration is confirmed to be the
// newest. It is several times the usual latency of the store.
const refreshTimeout = 150 * time.Millisecond

// refreshAndPlan refreshes the configuration and plans the call again.
func (x *relay) refreshAndPlan(ctx context.Context, c *Call) (*callPlan, error) {
	x.refresh(ctx, c)
	return x.plan(c)
}

// refresh confirms that the view is the newest, or replaces it, if that takes no longer than
// refreshTimeout. It reports whether there was an answer.
func (x *relay) refresh(ctx context.Context, c *Call) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	err := x.refresher.Do(ctx, x.Refresh)
	if err != nil {
		x.Log.Debug("configuration refresh failed", "request", c.ID, "error", err)
	}
	return err == nil
}

// chooseService picks one of the route's services at random, by weight.
func (x *relay) chooseService(r *routing.Route) string {
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

// refuse answers a call with the status code of the error's kind. A status 503
// becomes 502 unless the call is known not to have run. The route is "" if none
// matched.
func (x *relay) refuse(w http.ResponseWriter, c *Call, route string, err error) {
	e := fault.Of(err)
	status := fault.ResponseOf(e.Kind()).Status
	outcome := e.Outcome()
	if status == http.StatusServiceUnavailable && outcome != fault.NotRun {
		status = http.StatusBadGateway
	}
	if after := e.RetryAfterSeconds(); after != "" && outcome == fault.NotRun {
		w.Header().Set("Retry-After", after)
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

// send sends the call to one runner, and records the result in the runner's
// health, the metrics and the log.
func (x *relay) send(attempt *runnerAttempt, d Dispatch) (*Answer, error) {
	p, t := attempt.plan, attempt.target
	d.Team = p.team
	d.Urgency = p.urgency
	d.Remaining = p.deadline.Sub(x.Clock.Now())
	d.AtMostOnce = p.atMostOnce()
	start := x.Clock.Now()
	slowdown := t.Slowdown(start)
	connected := start
	d.MaySend = func() bool {
		connected = x.Clock.Now()
		return (d.Accepts == nil || d.Accepts()) && x.Targets.Admit(t)
	}
	a, err := x.Runners.Send(attempt.watch.ctx, p.call, d)
	now := x.Clock.Now()
	attempt.recordHealth(start, a, err)
	x.Meter.Attempted(p.service, statusOf(a), now.Sub(start))
	x.Log.Info("sent", "request", p.call.ID, "route", p.route.Name, "service", p.service, "team", p.team, "runner", d.Runner.ID, "version", d.Runner.Version,
		"zone", d.Runner.Zone, "runnerRevision", d.Runner.Revision.Number, "configuration", x.Current.Load().Table.Version(), "viewMillis", x.Current.Age().Milliseconds(),
		"arrivingMillis", x.Current.ArrivingFor().Milliseconds(), "connectedMillis", connected.Sub(start).Milliseconds(), "leftMillis", d.Remaining.Milliseconds(), "resumeAfter", d.ResumeAfter, "inputs", len(d.Inputs), "slowdown", slowdown,
		"tookMillis", now.Sub(start).Milliseconds(), "status", statusOf(a), "error", err)
	return a, err
}

func statusOf(a *Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// contextFault returns the error of a call whose context ended, by its deadline or
// because the caller disconnected.
func (x *relay) contextFault(p *callPlan, run fault.Outcome) error {
	if errors.Is(context.Cause(p.ctx), context.DeadlineExceeded) {
		if run == fault.NotRun {
			return fault.New(fault.DeadlineTooShort, "the deadline passed before a runner took the call")
		}
		return fault.New(fault.DeadlineExceeded, "the deadline passed while the call ran").WithOutcome(run)
	}
	return fault.New(fault.CallerGone, "the caller left").WithOutcome(run)
}

// cancellationFault returns the cause of the cancellation of ctx in place of
// CallerGone, if the call was cancelled for another reason than that its caller
// disconnected.
func cancellationFault(ctx context.Context, err error) error {
	var cause *fault.Error
	if fault.Is(err, fault.CallerGone) && errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(fault.Of(err).Outcome())
	}
	return err
}
