package order

import "time"

// Pace spaces the loads that one instance orders, so that all instances
// together stay within the weight store's rate. It is immutable.
type Pace struct {
	// Interval is the time between two loads over all instances.
	Interval time.Duration
	// Last is when this instance last ordered a load.
	Last time.Time
}

// NextAt returns when the next load may be ordered by one of n instances.
func (p Pace) NextAt(n int) time.Time {
	if p.Last.IsZero() {
		return time.Time{}
	}
	return p.Last.Add(p.Interval * time.Duration(max(1, n)))
}

// WithLoad returns a copy that ordered a load at now.
func (p Pace) WithLoad(now time.Time) Pace {
	p.Last = now
	return p
}
