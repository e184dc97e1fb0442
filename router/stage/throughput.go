package stage

import "time"

const (
	// throughputWindow is how long pieces have to be queued without a break until
	// the pieces completed meanwhile are a measure of what runners can complete.
	// It covers several batches.
	throughputWindow = 600 * time.Millisecond
	// throughputTTL is how long a measurement is valid.
	throughputTTL = 2 * time.Second
	// minThroughputRatio is the lower bound of the estimate, relative to the
	// throughput with full batches.
	minThroughputRatio = 0.25
)

// throughput measures how many pieces per second runners complete while others
// are queued. They may complete fewer than with full batches if result memory
// or inputs are lacking.
type throughput struct {
	// windowStart is when the measurement began; zero while there is no backlog.
	windowStart  time.Time
	windowPieces int
	// perSecond is the last measurement, finished at measuredAt.
	perSecond  float64
	measuredAt time.Time
}

// record counts completed pieces. backlog reports whether others are still
// queued.
func (p *throughput) record(now time.Time, completed int, backlog bool) {
	if p.windowStart.IsZero() {
		if backlog {
			p.windowStart, p.windowPieces = now, 0
		}
		return
	}
	p.windowPieces += completed
	if d := now.Sub(p.windowStart); d >= throughputWindow {
		p.perSecond, p.measuredAt = float64(p.windowPieces)/d.Seconds(), now
		p.windowStart, p.windowPieces = now, 0
	}
	if !backlog {
		p.windowStart = time.Time{}
	}
}

// estimate returns the expected throughput in pieces per second. limit is the
// throughput with full batches.
func (p *throughput) estimate(now time.Time, limit float64) float64 {
	if p.measuredAt.IsZero() || now.Sub(p.measuredAt) > throughputTTL {
		return limit
	}
	return min(limit, max(p.perSecond, minThroughputRatio*limit))
}
