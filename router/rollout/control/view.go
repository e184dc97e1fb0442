package control

import (
	"cmp"
	"slices"

	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/rollout"
)

// ordered is the phase in views until the first decision.
const ordered = "ordered"

func (c *controller) States() []View {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []View{}
	for _, svc := range c.services {
		if svc.order != nil || known(svc.current) {
			out = append(out, c.view(svc))
		}
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (c *controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// view returns what is known of a service. The caller holds mu.
func (c *controller) view(svc *service) View {
	now, st := c.clk.Now(), svc.current
	v := View{Service: svc.name, Target: svc.target(), Phase: ordered, Step: st.Step, InContact: svc.inContact, Withdrawn: svc.order == nil, Decider: c.decider(svc.name)}
	if svc.order != nil {
		v.DurationMillis, v.ElapsedMillis = svc.order.Duration.Milliseconds(), svc.elapsed(now).Milliseconds()
	}
	if known(st) && (svc.order == nil || !st.Order().Before(svc.order.Revision)) {
		v.Phase, v.Share, v.Runners, v.Reason, v.Barred, v.Stored = string(st.Phase), st.Share, st.Runners, st.Reason, st.Barred, st.Revision.Stored()
		v.DurationMillis, v.ElapsedMillis = st.Duration.Milliseconds(), st.Elapsed.Milliseconds()
		if st.Phase == rollout.Running {
			v.ElapsedMillis = svc.elapsed(now).Milliseconds()
		}
	}
	usage := c.targets.RolloutUsage(svc.name, v.Target)
	v.InFlight = countsOf(usage.InFlight)
	v.Answers, v.Failures = answersOf(c.recorder.Evidence(svc.name))
	if v.Decider == c.self {
		g := svc.gather(c.current.Load(), now)
		v.Fleet = &operatorapi.RolloutFleet{Reporting: g.reporting, Unconfirmed: g.unconfirmed, InFlight: countsOf(g.inFlight)}
		v.Fleet.Answers, v.Fleet.Failures = answersOf(g.total)
	}
	return v
}

func countsOf(c rollout.Counts) operatorapi.RolloutCounts {
	return operatorapi.RolloutCounts{Old: c.Baseline, Target: c.Candidate}
}

// answersOf returns the answers and the failures on all routes.
func answersOf(e rollout.Evidence) (answers, failures operatorapi.RolloutCounts) {
	all := e.Overall()
	return operatorapi.RolloutCounts{Old: all.Baseline.Answers, Target: all.Candidate.Answers},
		operatorapi.RolloutCounts{Old: all.Baseline.Failures, Target: all.Candidate.Failures}
}
