package gauge

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxSeries bounds the rows of one table. Labels come from bundles, and a fleet
// that rolls bundles for a year without a restart must not grow without bound.
const maxSeries = 4096

// table finds a row by its labels without a lock; new rows replace the map.
type table[K comparable, V any] struct {
	rows atomic.Pointer[map[K]V]
	mu   sync.Mutex
	make func(K) V
}

func newTable[K comparable, V any](makeRow func(K) V) *table[K, V] {
	t := &table[K, V]{make: makeRow}
	t.rows.Store(&map[K]V{})
	return t
}

// row returns the row of k, made if need be. Once the table is full, new labels
// share the row of the zero key.
func (t *table[K, V]) row(k K) V {
	if v, ok := (*t.rows.Load())[k]; ok {
		return v
	}
	return t.add(k)
}

func (t *table[K, V]) add(k K) V {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := *t.rows.Load()
	if len(rows) >= maxSeries {
		var overflow K
		k = overflow
	}
	if v, ok := rows[k]; ok {
		return v
	}
	grown := maps.Clone(rows)
	grown[k] = t.make(k)
	t.rows.Store(&grown)
	return grown[k]
}
