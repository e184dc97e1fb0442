package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxSeries bounds the series of one seriesTable. Labels come from bundles, and a
// fleet that rolls out bundles for a year without a restart must not accumulate
// series without bound.
const maxSeries = 4096

// seriesTable maps labels to their series. Lookups take no lock: the map is
// copied on write.
type seriesTable[K comparable, V any] struct {
	series atomic.Pointer[map[K]V]
	mu     sync.Mutex
	make   func(K) V
}

func newSeriesTable[K comparable, V any](makeSeries func(K) V) *seriesTable[K, V] {
	t := &seriesTable[K, V]{make: makeSeries}
	t.series.Store(&map[K]V{})
	return t
}

// get returns the series of k and creates it if needed. Once the table is full,
// new labels share the series of the zero key.
func (t *seriesTable[K, V]) get(k K) V {
	if v, ok := (*t.series.Load())[k]; ok {
		return v
	}
	return t.create(k)
}

func (t *seriesTable[K, V]) create(k K) V {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := *t.series.Load()
	if len(current) >= maxSeries {
		var overflow K
		k = overflow
	}
	if v, ok := current[k]; ok {
		return v
	}
	extended := maps.Clone(current)
	extended[k] = t.make(k)
	t.series.Store(&extended)
	return extended[k]
}
