package quota

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// aggregates holds the reported demand of the teams that this instance owns.
type aggregates struct {
	mu sync.Mutex
	// teams holds the reports by team and reporting instance.
	teams map[string]map[string]reportedDemand
}

// reportedDemand is the demand in the last report of one instance.
type reportedDemand struct {
	perSecond float64
	at        time.Time
}

func (q *limiter) EndPeriod(now time.Time) map[string]Report {
	v := q.view.Load()
	out := make(map[string]Report)
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for id, t := range s.teams {
			demand := t.endPeriod(now.UnixNano())
			if t.idle(now.UnixNano()) {
				delete(s.teams, id)
				continue
			}
			owner := v.owner(id)
			r := out[owner]
			r.From = v.self
			r.Teams = append(r.Teams, Demand{id, demand})
			out[owner] = r
		}
		s.mu.Unlock()
	}
	return out
}

// owner returns the instance that adds up the team's demand, chosen by
// rendezvous hashing.
func (v *view) owner(team string) string {
	h := xxhash.Sum64String(team)
	best, score := "", uint64(0)
	for i, m := range v.hashes {
		if s := mix(m ^ h); best == "" || s > score {
			best, score = v.ids[i], s
		}
	}
	return best
}

func (q *limiter) RecordReport(r Report, now time.Time) Totals {
	q.aggregates.mu.Lock()
	defer q.aggregates.mu.Unlock()
	if q.aggregates.teams == nil {
		q.aggregates.teams = make(map[string]map[string]reportedDemand)
	}
	t := Totals{Teams: make([]Demand, 0, len(r.Teams))}
	for _, d := range r.Teams {
		byInstance := q.aggregates.teams[d.Team]
		if byInstance == nil {
			byInstance = make(map[string]reportedDemand)
			q.aggregates.teams[d.Team] = byInstance
		}
		byInstance[r.From] = reportedDemand{d.PerSecond, now}
		t.Teams = append(t.Teams, Demand{d.Team, sumDemand(byInstance, now)})
	}
	q.aggregates.evictExpired(now)
	return t
}

// sumDemand deletes expired reports and returns the sum of the others in
// requests per second.
func sumDemand(byInstance map[string]reportedDemand, now time.Time) float64 {
	total := 0.0
	maps.DeleteFunc(byInstance, func(_ string, r reportedDemand) bool { return now.Sub(r.at) > reportTTL })
	for _, r := range byInstance {
		total += r.perSecond
	}
	return total
}

// evictExpired deletes teams without unexpired reports. It checks only a few
// teams per call to bound its time; q.aggregates.mu is held.
func (a *aggregates) evictExpired(now time.Time) {
	const maxChecked = 8
	checked := 0
	for id, byInstance := range a.teams {
		if checked++; checked > maxChecked {
			return
		}
		if sumDemand(byInstance, now); len(byInstance) == 0 {
			delete(a.teams, id)
		}
	}
}

func (q *limiter) ApplyTotals(totals Totals, now time.Time) {
	for _, d := range totals.Teams {
		t := q.lookup(d.Team)
		if t == nil {
			continue
		}
		t.totalDemand.Store(math.Float64bits(d.PerSecond))
		t.totalAt.Store(now.UnixNano())
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
