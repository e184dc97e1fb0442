package gauge

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"cicadawell.dev/router/pool"
	"github.com/VictoriaMetrics/metrics"
)

type poolKey struct{ service, zone string }

// poolSums add up the rows of the runners of one service in one zone.
type poolSums struct {
	key                         poolKey
	runners, cold, out          float64
	inFlight, limit             float64
	queued, permits, coldInWork float64
}

func (s *poolSums) add(row pool.Status) {
	s.runners++
	s.inFlight += float64(row.InFlight)
	s.limit += row.Limit
	s.queued += float64(row.Queued)
	if row.Cold {
		s.cold++
		s.permits += float64(row.Permits)
		s.coldInWork += float64(row.InFlight)
	}
	if row.Out {
		s.out++
	}
}

func writePools(w io.Writer, rows []pool.Status) {
	for _, s := range sumPools(rows) {
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
			{"cold_in_flight", s.coldInWork},
		}
		for _, g := range gauges {
			metrics.WriteGaugeFloat64(w, "cicadawell_pool_"+g.name+labels, g.value)
		}
	}
}

// sumPools returns the sums in the order of service and zone.
func sumPools(rows []pool.Status) []poolSums {
	byKey := map[poolKey]*poolSums{}
	for _, row := range rows {
		k := poolKey{row.Service, row.Zone}
		if byKey[k] == nil {
			byKey[k] = &poolSums{key: k}
		}
		byKey[k].add(row)
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
