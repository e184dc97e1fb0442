package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type storeKey struct {
	call   string
	failed bool
}

type storeSeries struct {
	count   *metrics.Counter
	seconds *histogram
}

func (m *registry) newStoreSeries(k storeKey) *storeSeries {
	result := "answered"
	if k.failed {
		result = "failed"
	}
	labels := fmt.Sprintf("call=%q,result=%q", k.call, result)
	return &storeSeries{
		count:   m.set.NewCounter("cicadawell_store_calls_total{" + labels + "}"),
		seconds: newHistogram(m.set, "cicadawell_store_call_seconds", labels),
	}
}

// StoreCalled counts a call to the platform's store.
func (m *registry) StoreCalled(c StoreCall) {
	s := m.store.get(storeKey{c.Call, c.Failed})
	s.count.Inc()
	s.seconds.observe(c.Took)
}
