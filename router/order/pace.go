package order

import "time"

// Pace rate-limits the loads that one instance orders, so that all instances
// together stay within the weight store's rate. It is immutable.
type Pace struct {
	// Interval is the time between two loads across all instances.
	Interval time.Duration
	// Last is when this instance last ordered a load.
	Last time.Time
}

// NextAt returns when this instance, one of n, may order its next load.
func (p Pace) NextAt(n int) time.Time {
	if p.Last.IsZero() {
		return time.Time{}
	}
	return p.Last.Add(p.Interval * time.Duration(max(1, n)))
}

// WithLoad returns a copy that records a load ordered at now.
func (p Pace) WithLoad(now time.Time) Pace {
	p.Last = now
	return p
}
