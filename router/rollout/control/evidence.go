package control

import (
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
)

// reportLife is how long a report counts as up to date. It covers the loss of two reports
// of the largest fleet.
const reportLife = 3 * time.Second

// reporter has the reports of the instances of one name.
type reporter struct {
	// latest is the last report of the newest incarnation, at the time of its arrival.
	latest report
	at     time.Time
	// registration is the revision of the instance's registration at that time.
	registration era.Revision
	// past is the evidence of earlier incarnations, and pastSent what they sent.
	past     rollout.Evidence
	pastSent rollout.Counts
}

// accept takes over a report. The caller holds mu.
func (c *controller) accept(svc *service, r report, now time.Time) {
	if era.New(r.OrderEra, r.OrderRevision).Before(svc.attempt) {
		return
	}
	registration := c.current.Load().Instances[r.Instance].Revision
	old := svc.reporters[r.Instance]
	switch {
	case old == nil:
		old = &reporter{}
		svc.reporters[r.Instance] = old
	case r.Incarnation < old.latest.Incarnation, r.Incarnation == old.latest.Incarnation && r.Sequence <= old.latest.Sequence:
		return
	case r.Incarnation > old.latest.Incarnation:
		old.past = old.past.Plus(old.latest.Evidence)
		old.pastSent = plus(old.pastSent, old.latest.Sent)
	}
	old.latest, old.at, old.registration = r, now, registration
	if r.RolledBack != nil {
		c.adopt(svc, *r.RolledBack, "report of "+r.Instance)
	}
}

func plus(a, b rollout.Counts) rollout.Counts {
	return rollout.Counts{Baseline: a.Baseline + b.Baseline, Candidate: a.Candidate + b.Candidate}
}

// gathered is the sum of the reports on a service.
type gathered struct {
	total              rollout.Evidence
	sent, inFlight     rollout.Counts
	baselineAtMostOnce int64
	callTime           time.Duration
	// reporting counts the instances with reports that are up to date. unconfirmed
	// counts those that may send calls and haven't reported the step.
	reporting, unconfirmed int
}

// add adds evidence in place, since a decider adds that of all instances each time.
func (g *gathered) add(e rollout.Evidence) {
	for route, r := range e {
		sum := g.total[route]
		sum.Baseline, sum.Candidate = sum.Baseline.Plus(r.Baseline), sum.Candidate.Plus(r.Candidate)
		g.total[route] = sum
	}
}

// gather sums up the reports. Reports of instances that are no longer registered count
// as evidence; the rest of them counts as long as they go on reporting, as instances do
// that finish their calls. The caller holds mu.
func (s *service) gather(view *inventory.Snapshot, now time.Time) gathered {
	g := gathered{total: make(rollout.Evidence)}
	for name, r := range s.reporters {
		g.add(r.past)
		g.add(r.latest.Evidence)
		g.sent = plus(g.sent, plus(r.pastSent, r.latest.Sent))
		fresh := now.Sub(r.at) <= reportLife
		if fresh {
			g.reporting++
			g.callTime = max(g.callTime, r.latest.CallTime)
		}
		if _, registered := view.Instances[name]; !registered && !fresh {
			continue
		}
		g.inFlight = plus(g.inFlight, r.latest.InFlight)
		g.baselineAtMostOnce += r.latest.BaselineAtMostOnce
		if r.latest.Step < s.current.Step {
			g.unconfirmed++
		}
	}
	for name, i := range view.Instances {
		// A new registration may be that of a process that hasn't applied the step.
		if r := s.reporters[name]; r == nil || r.registration != i.Revision && r.latest.Step >= s.current.Step {
			g.unconfirmed++
		}
	}
	return g
}
