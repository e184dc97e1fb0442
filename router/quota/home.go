package quota

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// homes holds the reports about the teams whose home this instance is.
type homes struct {
	mu    sync.Mutex
	teams map[string]map[string]reported
}

// reported is the last demand that an instance reported.
type reported struct {
	perSecond float64
	at        time.Time
}

func (q *quotas) Reports(now time.Time) map[string]Report {
	v := q.view.Load()
	out := make(map[string]Report)
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for id, t := range s.teams {
			demand := t.period(now.UnixNano())
			if t.idle(now.UnixNano()) {
				delete(s.teams, id)
				continue
			}
			home := v.home(id)
			r := out[home]
			r.From = v.self
			r.Teams = append(r.Teams, Demand{id, demand})
			out[home] = r
		}
		s.mu.Unlock()
	}
	return out
}

// home returns the instance that adds up the demand of the team, by
// rendezvous hashing.
func (v *view) home(team string) string {
	h := xxhash.Sum64String(team)
	best, score := "", uint64(0)
	for i, m := range v.members {
		if s := mix(m ^ h); best == "" || s > score {
			best, score = v.ids[i], s
		}
	}
	return best
}

func (q *quotas) Collect(r Report, now time.Time) Totals {
	q.homes.mu.Lock()
	defer q.homes.mu.Unlock()
	if q.homes.teams == nil {
		q.homes.teams = make(map[string]map[string]reported)
	}
	t := Totals{Teams: make([]Demand, 0, len(r.Teams))}
	for _, d := range r.Teams {
		by := q.homes.teams[d.Team]
		if by == nil {
			by = make(map[string]reported)
			q.homes.teams[d.Team] = by
		}
		by[r.From] = reported{d.PerSecond, now}
		t.Teams = append(t.Teams, Demand{d.Team, sum(by, now)})
	}
	q.homes.forget(now)
	return t
}

// sum adds up the reports that still count and drops the others.
func sum(by map[string]reported, now time.Time) float64 {
	total := 0.0
	maps.DeleteFunc(by, func(_ string, r reported) bool { return now.Sub(r.at) > life })
	for _, r := range by {
		total += r.perSecond
	}
	return total
}

// forget drops a few teams of which no report counts any more; q.homes.mu is
// held.
func (h *homes) forget(now time.Time) {
	const each = 8
	looked := 0
	for id, by := range h.teams {
		if looked++; looked > each {
			return
		}
		if sum(by, now); len(by) == 0 {
			delete(h.teams, id)
		}
	}
}

func (q *quotas) Learn(totals Totals, now time.Time) {
	for _, d := range totals.Teams {
		t := q.find(d.Team)
		if t == nil {
			continue
		}
		t.total.Store(math.Float64bits(d.PerSecond))
		t.learnt.Store(now.UnixNano())
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
