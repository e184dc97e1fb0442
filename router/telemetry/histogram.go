package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// bucketBounds holds the upper bounds of the buckets of all histograms.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 460 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second,
	30 * time.Second, 2 * time.Minute, 10 * time.Minute,
}

// histogram counts durations in fixed buckets. The library's histogram takes a
// lock at each update, but this one is on the hot path of every request.
type histogram struct {
	name   string
	labels string
	// counts holds the count of each bucket, not cumulative; the last one is for
	// durations above all bounds.
	counts    [len(bucketBounds) + 1]atomic.Uint64
	sumMicros atomic.Uint64
}

// newHistogram registers a histogram. The labels are comma-separated, without
// braces.
func newHistogram(set *metrics.Set, name, labels string) *histogram {
	h := &histogram{name: name, labels: labels}
	set.RegisterMetricsWriter(h.write)
	return h
}

func (h *histogram) observe(d time.Duration) {
	i := 0
	for i < len(bucketBounds) && d > bucketBounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sumMicros.Add(uint64(max(0, d.Microseconds())))
}

func (h *histogram) write(w io.Writer) {
	var total uint64
	for i := range h.counts {
		total += h.counts[i].Load()
		metrics.WriteCounterUint64(w, h.series("_bucket", fmt.Sprintf("le=%q", boundLabel(i))), total)
	}
	metrics.WriteCounterFloat64(w, h.series("_sum", ""), float64(h.sumMicros.Load())/1e6)
	metrics.WriteCounterUint64(w, h.series("_count", ""), total)
}

func boundLabel(i int) string {
	if i == len(bucketBounds) {
		return "+Inf"
	}
	return fmt.Sprint(bucketBounds[i].Seconds())
}

func (h *histogram) series(suffix, label string) string {
	return h.name + suffix + "{" + strings.Trim(h.labels+","+label, ",") + "}"
}
