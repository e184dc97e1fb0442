package control

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/rollout"
)

const (
	// methodReport reports what an instance observes to the decider.
	methodReport = "rollout.report"
	// reportInterval is the time between two reports, and reportIntervalPerInstance the
	// same for each instance of a large fleet, so that the decider's messages don't grow
	// with it.
	reportInterval            = 200 * time.Millisecond
	reportIntervalPerInstance = 2 * time.Millisecond
	// reportTimeout bounds the wait for an answer, forwardTimeout that of an instance
	// that forwards a report. Two lost answers leave time for a third within
	// contactTimeout.
	reportTimeout  = 400 * time.Millisecond
	forwardTimeout = 250 * time.Millisecond
	// writeFailingAfter is the time after which an instance that can't write leaves the
	// decisions to the next one.
	writeFailingAfter = 2 * time.Second
	// leftFor is how long it then tells others so. Owners that don't answer are skipped
	// for longer.
	leftFor = 4 * time.Second
	// aroundFor is how long an instance that couldn't reach the decider sends its reports
	// by way of others, too. Owners that don't answer are skipped for as long.
	aroundFor = 5 * time.Second
)

// report is what an instance reports.
type report struct {
	rollout.Report
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	// Sequence increases with each report of an incarnation.
	Sequence int64 `json:"sequence"`
	// RolledBack is the rollback that the instance applies, if it isn't in the store. A
	// new decider learns from it what its predecessor couldn't write.
	RolledBack *rollout.State `json:"rolledBack,omitempty"`
	// Forwarded is set if the report was sent on by an instance that isn't the decider.
	Forwarded bool `json:"forwarded,omitempty"`
}

// answer is the answer to a report: the decision in force.
type answer struct {
	// State is missing if the instance that reports applies the decision already.
	State *rollout.State `json:"state,omitempty"`
	// Revision is the store's revision of the state; zero if it isn't in the store.
	Revision int64 `json:"revision,omitempty"`
	Era      int64 `json:"era,omitempty"`
	// InContact is set if the decider hears from the store or from most instances, and
	// HeardMillis is how long ago it did.
	InContact   bool  `json:"inContact"`
	HeardMillis int64 `json:"heardMillis,omitempty"`
	// WriteFailing is set if the decider can't write to the store.
	WriteFailing bool `json:"writeFailing,omitempty"`
}

// inEra returns the report with the era of its order, which older builds don't state.
func (r report) inEra(n int64) report {
	r.OrderEra = cmp.Or(r.OrderEra, n)
	if r.RolledBack != nil {
		rolledBack := r.RolledBack.InEra(n)
		r.RolledBack = &rolledBack
	}
	return r
}

// era returns the era of the store that is known.
func (c *controller) era() int64 { return c.current.Load().Revision.Era }

// sendReports reports on all services until ctx ends.
func (c *controller) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range c.reportable() {
			c.group.Go(func() { c.sendReport(ctx, name) })
		}
		_ = c.clk.Sleep(ctx, intervalOf(len(c.current.Load().Instances)))
	}
}

// intervalOf returns the time between two reports in a fleet.
func intervalOf(instances int) time.Duration {
	return max(reportInterval, time.Duration(instances)*reportIntervalPerInstance)
}

// reportable returns the services to report on.
func (c *controller) reportable() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, svc := range c.services {
		if svc.active() && !svc.reporting {
			svc.reporting = true
			out = append(out, name)
		}
	}
	return out
}

// sendReport sends a report to the decider, and to its successor if it doesn't answer.
func (c *controller) sendReport(ctx context.Context, name string) {
	const tries = 2
	for range tries {
		sentAt := c.clk.Now()
		r := c.newReport(name)
		a, to, err := c.deliver(ctx, r)
		if err == nil {
			c.noteAnswer(name, a, to, sentAt)
			break
		}
		if ctx.Err() != nil {
			break
		}
		c.log.Info("decider of a rollout doesn't answer", "service", name, "decider", to, "error", err)
		c.owners.MarkUnavailable(to)
		c.mu.Lock()
		c.stats.ReportErrors++
		c.services[name].lostDeciderAt = c.clk.Now()
		c.mu.Unlock()
	}
	c.reportAround(ctx, name)
	c.mu.Lock()
	c.services[name].reporting = false
	c.mu.Unlock()
}

// reportAround sends a report to another instance if this one has become the decider
// because it couldn't reach the former one. If the others can, they forward the report.
func (c *controller) reportAround(ctx context.Context, name string) {
	c.mu.Lock()
	lostAt := c.services[name].lostDeciderAt
	c.mu.Unlock()
	if lostAt.IsZero() || c.clk.Now().Sub(lostAt) > aroundFor || c.decider(name) != c.self {
		return
	}
	for _, to := range c.owners.Ranked(ownerKeyPrefix+name, 2) {
		if to == c.self {
			continue
		}
		sentAt := c.clk.Now()
		calling, cancel := context.WithTimeout(instance.MarkIdempotent(ctx), reportTimeout)
		var a answer
		err := c.mesh.Call(calling, to, methodReport, c.newReport(name), &a)
		cancel()
		if err == nil {
			a.WriteFailing = false // it is the forwarding instance that chooses the decider
			c.noteAnswer(name, a, to, sentAt)
		}
	}
}

// deliver sends a report to the decider, which it returns, too.
func (c *controller) deliver(ctx context.Context, r report) (answer, string, error) {
	to := c.decider(r.Service)
	if to == c.self || to == "" {
		return c.answerTo(r), c.self, nil
	}
	calling, cancel := context.WithTimeout(instance.MarkIdempotent(ctx), reportTimeout)
	defer cancel()
	var a answer
	err := c.mesh.Call(calling, to, methodReport, r, &a)
	return a, to, err
}

// newReport returns the report on a service. The step is read before what is in flight,
// so that calls that were chosen by an earlier step are counted.
func (c *controller) newReport(name string) report {
	c.mu.Lock()
	svc := c.services[name]
	svc.sequence++
	r := report{Instance: c.self, Incarnation: c.incarnation, Sequence: svc.sequence}
	r.Service, r.Step = name, svc.current.Step
	if svc.tracked != nil {
		r.OrderRevision, r.OrderEra = svc.tracked.Revision.Number, svc.tracked.Revision.Era
	}
	if svc.current.Phase == rollout.RolledBack && svc.unstored() {
		rolledBack := svc.current
		r.RolledBack = &rolledBack
	}
	version := svc.target()
	c.mu.Unlock()
	usage := c.targets.RolloutUsage(name, version)
	r.Sent, r.InFlight, r.BaselineAtMostOnce = usage.Sent, usage.InFlight, usage.BaselineAtMostOnce
	r.Evidence = c.recorder.Evidence(name)
	r.CallTime = c.recorder.CallTime(name)
	return r
}

// noteAnswer takes over the answer to a report.
func (c *controller) noteAnswer(name string, a answer, from string, sentAt time.Time) {
	c.mu.Lock()
	svc := c.services[name]
	c.stats.Reports++
	if heard := sentAt.Add(-time.Duration(a.HeardMillis) * time.Millisecond); a.InContact && heard.After(svc.heardAt) {
		svc.heardAt = heard
	}
	if a.State != nil && (a.Revision > 0 || a.State.Phase == rollout.RolledBack) {
		// Only rollbacks are in force before they are in the store.
		st := a.State.InEra(c.era())
		st.Revision, st.SeenAt = era.New(cmp.Or(a.Era, c.era()), a.Revision), c.clk.Now()
		if a.Revision > 0 {
			c.noteStored(svc, st, from)
		} else {
			c.adopt(svc, st, from)
		}
	}
	// Another instance is expected to reach the store if the view here is confirmed, or
	// if this is the decider and most others don't report to it.
	leave := a.WriteFailing && (c.current.Age() <= contactTimeout || from == c.self && !a.InContact)
	if leave && from == c.self {
		svc.leftAt = c.clk.Now()
	}
	c.mu.Unlock()
	if leave {
		c.log.Warn("decider of a rollout can't write, its successor takes over", "service", name, "decider", from)
		c.owners.MarkUnavailable(from)
	}
}

// serveReport answers a report of another instance. Instances that disagree on the
// decider, such as one that can't reach it, have their reports forwarded.
func (c *controller) serveReport(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a report").WithField(methodReport)
	}
	if to := c.decider(r.Service); to != c.self && to != "" && to != r.Instance && !r.Forwarded {
		r.Forwarded = true
		calling, cancel := context.WithTimeout(instance.MarkIdempotent(ctx), forwardTimeout)
		defer cancel()
		var a answer
		err := c.mesh.Call(calling, to, methodReport, r, &a)
		if err == nil {
			a.WriteFailing = a.WriteFailing || c.leaves(r.Service)
			return a, nil
		}
		c.log.Info("decider of a rollout doesn't answer", "service", r.Service, "decider", to, "for", r.Instance, "error", err)
		c.owners.MarkUnavailable(to)
	}
	return c.answerTo(r), nil
}

// leaves reports whether this instance leaves the decisions to its successor because it
// can't write.
func (c *controller) leaves(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.services[service]
	return svc != nil && svc.leaves(c.clk.Now())
}

// leaves reports whether an instance can't write, or couldn't until its successor took
// over a moment ago. The others have to choose the successor, too.
func (s *service) leaves(now time.Time) bool {
	failing := !s.failingSince.IsZero() && now.Sub(s.failingSince) >= writeFailingAfter
	return failing || !s.leftAt.IsZero() && now.Sub(s.leftAt) <= leftFor
}

// answerTo accepts a report and returns the decision in force.
func (c *controller) answerTo(r report) answer {
	now := c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.services[r.Service]
	if svc == nil {
		return answer{}
	}
	c.accept(svc, r.inEra(c.era()), now)
	var a answer
	age, inContact := c.heard(svc, now)
	a.InContact, a.HeardMillis = inContact, age.Milliseconds()
	a.WriteFailing = svc.leaves(now)
	// Most reports are those of instances that apply the decision already.
	if st := svc.current; known(st) && (!st.Revision.Stored() || r.RolledBack != nil || r.Step != st.Step) {
		if st.Phase == rollout.Running {
			st.Elapsed += now.Sub(st.SeenAt)
		}
		a.State, a.Revision, a.Era = &st, st.Revision.Number, st.Revision.Era
	}
	return a
}

// heard reports whether the view of the store is confirmed or most registered instances
// report here, and for how long there has been none of both. Two instances that decide
// without the store can't both have most of the others. The caller holds mu.
func (c *controller) heard(svc *service, now time.Time) (time.Duration, bool) {
	instances := c.current.Load().Instances
	limit := min(2*intervalOf(len(instances))+decideInterval, contactTimeout)
	heard := 0
	for name := range instances {
		if r := svc.reporters[name]; r != nil && now.Sub(r.at) <= limit {
			heard++
		}
	}
	if 2*heard > len(instances) {
		return 0, true
	}
	age := c.current.Age()
	return age, age <= contactTimeout
}
