package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"cicadawell.dev/router/pool"
	"github.com/VictoriaMetrics/metrics"
)

type poolKey struct{ service, zone string }

// poolSums holds the sums over the runners of one service in one availability
// zone.
type poolSums struct {
	key                           poolKey
	runners, cold, out            float64
	inFlight, limit               float64
	queued, permits, coldInFlight float64
}

func (s *poolSums) add(status pool.Status) {
	s.runners++
	s.inFlight += float64(status.InFlight)
	s.limit += status.Limit
	s.queued += float64(status.Queued)
	if status.Cold {
		s.cold++
		s.permits += float64(status.Permits)
		s.coldInFlight += float64(status.InFlight)
	}
	if status.Out {
		s.out++
	}
}

func writePools(w io.Writer, statuses []pool.Status) {
	for _, s := range sumPools(statuses) {
		labels := fmt.Sprintf("{service=%q,zone=%q}", s.key.service, s.key.zone)
		gauges := []struct {
			name  string
			value float64
		}{
			{"runners", s.runners},
			{"runners_cold", s.cold},
			{"runners_out", s.out},
			{"in_flight", s.inFlight},
			{"limit", s.limit},
			{"queued", s.queued},
			{"cold_permits", s.permits},
			{"cold_in_flight", s.coldInFlight},
		}
		for _, g := range gauges {
			metrics.WriteGaugeFloat64(w, "cicadawell_pool_"+g.name+labels, g.value)
		}
	}
}

// sumPools returns the sums, sorted by service and zone.
func sumPools(statuses []pool.Status) []poolSums {
	byKey := map[poolKey]*poolSums{}
	for _, status := range statuses {
		k := poolKey{status.Service, status.Zone}
		if byKey[k] == nil {
			byKey[k] = &poolSums{key: k}
		}
		byKey[k].add(status)
	}
	sums := make([]poolSums, 0, len(byKey))
	for _, s := range byKey {
		sums = append(sums, *s)
	}
	slices.SortFunc(sums, func(a, b poolSums) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.zone, b.key.zone))
	})
	return sums
}
