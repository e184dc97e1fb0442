package stage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPace(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const best = 100
	var p throughput
	is.Equal(p.estimate(now, best), float64(best)) // no measurement yet
	p.record(now, 8, false)
	is.Equal(p.estimate(now, best), float64(best)) // there was no backlog
	p.record(now, 8, true)
	for range 3 {
		now = now.Add(200 * time.Millisecond)
		p.record(now, 10, true)
	}
	is.Equal(p.estimate(now, best), 50.0)
	is.Equal(p.estimate(now, 30), 30.0) // never more than with full batches
	is.Equal(p.estimate(now.Add(throughputTTL+1), best), float64(best))
	now = now.Add(throughputWindow)
	p.record(now, 0, true)
	is.Equal(p.estimate(now, best), minThroughputRatio*best) // the estimate has a lower bound
}
