package telemetry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/telemetry"
	"github.com/matryer/is"
)

func TestSeries(t *testing.T) {
	is := is.New(t)
	m := telemetry.New()
	countAll(m)
	m.RegisterGauge("cicadawell_bundle_version", func() float64 { return 7 })
	m.RegisterPools(func() []pool.Status {
		return []pool.Status{
			{Runner: "b1", Service: "booking", Zone: "b", InFlight: 2, Limit: 4, Queued: 3},
			{Runner: "g1", Service: "generate", Zone: "a", InFlight: 1, Limit: 8, Permits: 1, Cold: true},
			{Runner: "g2", Service: "generate", Zone: "a", InFlight: 5, Limit: 8, Permits: 9, Out: true},
		}
	})
	var out bytes.Buffer
	m.WritePrometheus(&out)
	golden.Check(t, "testdata/series.golden", nonEmptySeries(out.String()))
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(nonEmptySeries(rec.Body.String()), nonEmptySeries(out.String()))
}

// countAll calls each counting method of Metrics.
func countAll(m telemetry.Metrics) {
	for range 2 {
		m.Finished(telemetry.Request{
			Tier: "paying", Pipeline: "summary", Zone: "a", Attainment: telemetry.Met,
			Took: 3 * time.Millisecond, FirstToken: time.Millisecond, RunnerTime: 2 * time.Millisecond,
		})
	}
	m.Finished(telemetry.Request{Tier: "free", Pipeline: "summary", Zone: "a", Attainment: telemetry.Missed, Took: time.Hour})
	m.Refused(fault.Overloaded, fault.NotRun)
	m.Attempted(telemetry.Attempt{
		Pipeline: "summary", Stage: "generate", Zone: "b", Ending: pool.TimedOut,
		SlotTime: 21 * time.Millisecond, Tokens: 5, CachedTokens: 2,
	})
	m.Dropped("generate")
	m.Replayed("booking")
	m.StoreCalled(telemetry.StoreCall{Call: "put", Failed: true, Took: time.Second})
}

// nonEmptySeries returns the sorted lines of this program's metrics without
// empty histogram buckets.
func nonEmptySeries(text string) string {
	lines := slices.DeleteFunc(strings.Split(text, "\n"), func(l string) bool {
		return !strings.HasPrefix(l, "cicadawell_") || strings.HasSuffix(l, "} 0") && strings.Contains(l, "_bucket")
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m := telemetry.New()
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 2000 {
				m.Dropped(fmt.Sprintf("service%d-%d", g, i))
			}
		})
	}
	group.Wait()
	var out bytes.Buffer
	m.WritePrometheus(&out)
	lines := strings.Count(out.String(), "cicadawell_dropped_answers_total{")
	is.True(lines <= 4097)
	is.True(strings.Contains(out.String(), fmt.Sprintf("cicadawell_dropped_answers_total{service=\"\"} %d", 8000-4096))) // nothing is lost
}

func TestCountingAllocationsBound(t *testing.T) {
	is := is.New(t)
	m := telemetry.New()
	countAll(m)
	is.Equal(testing.AllocsPerRun(1000, func() { countAll(m) }), 0.0)
}
