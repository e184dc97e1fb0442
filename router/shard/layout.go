package shard

import (
	"cmp"
	"math"
	"slices"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxRunners is the number of runners of all services, usable or not, up to which
	// one owner schedules a whole service. The messages of owners grow with the
	// runners. The sum over all services changes little when one service loses
	// runners, which is when its owner is busiest.
	maxRunners = 200
	// minPerZone is the mean number of runners in a zone from which a service is
	// divided. With fewer, the loss of a runner leaves a zone with hardly any.
	minPerZone = 3
)

// Layout is the division of all services into shards. It depends only on the
// snapshot, so that instances with the same snapshot agree on it. It is immutable.
type Layout struct {
	// shares has, for each divided service, the share of its usable runners in each
	// zone that has any.
	shares map[string]map[string]float64
}

// NewLayout returns the layout for a snapshot.
func NewLayout(s *inventory.Snapshot) *Layout {
	l := &Layout{shares: make(map[string]map[string]float64)}
	if s.Table == nil {
		return l
	}
	if len(s.Runners) <= maxRunners {
		return l
	}
	for service, byZone := range countUsable(s) {
		total := 0
		for _, n := range byZone {
			total += n
		}
		if !hasOwner(s.Table.Service(service)) || total < minPerZone*len(byZone) || len(byZone) < 2 {
			continue
		}
		l.shares[service] = make(map[string]float64, len(byZone))
		for zone, n := range byZone {
			l.shares[service][zone] = float64(n) / float64(total)
		}
	}
	return l
}

// countUsable counts the runners that accept new calls by service and zone.
func countUsable(s *inventory.Snapshot) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, r := range s.Runners {
		if r.Draining || s.ZonesOut[r.Zone] || restricted(r, s.Rollouts[r.Service]) {
			continue
		}
		if counts[r.Service] == nil {
			counts[r.Service] = make(map[string]int)
		}
		counts[r.Service][r.Zone]++
	}
	return counts
}

// restricted reports whether the decision on a rollout leaves a runner few calls or
// none. A zone with such runners only can't serve a shard.
func restricted(r *inventory.Runner, st rollout.State) bool {
	switch {
	case slices.Contains(st.Barred, r.Version):
		return true
	case st.Phase == rollout.Running:
		return (r.Version == st.Target) == (st.Share < 1)
	}
	return st.Phase == rollout.RolledBack && r.Version == st.Target
}

// hasOwner reports whether an owner schedules a service: its runners make pieces or
// are engines.
func hasOwner(svc *routing.Service) bool {
	return svc != nil && (svc.Engine != nil || svc.Batches != nil)
}

// Divided reports whether a service has a shard for each zone.
func (l *Layout) Divided(service string) bool { return l.shares[service] != nil }

// Of returns the shard of a service that does the work of a zone: the whole service
// if that isn't divided, and otherwise the shard of the zone, or that of another
// zone if it has no usable runner.
func (l *Layout) Of(service, zone string) Shard {
	if !l.Divided(service) {
		return Whole(service)
	}
	if l.shares[service][zone] == 0 {
		zone = l.RankZones(zone, []string{service})[0]
	}
	return Shard{Service: service, Zone: zone}
}

// RankZones returns the zones that have runners of all divided services among
// these, in the order in which they suit a key. Each zone comes first for a share
// of the keys that corresponds to its share of the runners, and when the runners
// change, few keys get another first zone.
func (l *Layout) RankZones(key string, services []string) []string {
	weights := make(map[string]float64)
	first := true
	for _, service := range services {
		shares := l.shares[service]
		if shares == nil {
			continue
		}
		if first {
			for zone, share := range shares {
				weights[zone] = share
			}
			first = false
			continue
		}
		for zone := range weights {
			if shares[zone] == 0 {
				delete(weights, zone)
				continue
			}
			weights[zone] = min(weights[zone], shares[zone])
		}
	}
	type ranked struct {
		zone  string
		score float64
	}
	list := make([]ranked, 0, len(weights))
	for zone, weight := range weights {
		list = append(list, ranked{zone, -math.Log(uniform(key+"/"+zone)) / weight})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.zone, b.zone)) })
	zones := make([]string, len(list))
	for i, r := range list {
		zones[i] = r.zone
	}
	return zones
}

// uniform maps a key to a number above 0 and up to 1. Lower values of
// -log(uniform)/weight are more likely for zones with a higher weight, in
// proportion to it.
func uniform(key string) float64 {
	return (float64(xxhash.Sum64String(key)>>11) + 1) / (1 << 53)
}
