package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// marker admits everything until a team's demand over all instances exceeds
// its limit; while it does, each instance admits a sample of the requests by
// hashing them.
type marker struct {
	// percent is the sample; zero means the limit's part of the demand.
	percent float64
	nonce   atomic.Uint64
}

// WithMarker replaces the shares by a marker with hashed sampling.
func WithMarker(percent float64) Option {
	return func(q *quotas) { q.marker = &marker{percent: percent} }
}

// admit reports whether the request belongs to the sample.
func (m *marker) admit(t *team, hash uint64, limit float64, now time.Time) (bool, time.Duration) {
	total := math.Float64frombits(t.total.Load())
	if now.UnixNano()-t.learnt.Load() > int64(life) || total <= limit {
		return true, 0
	}
	percent := m.percent
	if percent == 0 {
		percent = 100 * limit / total
	}
	const buckets = 10_000
	bucket := mix(hash^m.nonce.Add(0x9e3779b97f4a7c15)) % buckets
	return float64(bucket) < percent*buckets/100, time.Second
}
