package target

import "time"

// pacer is a rate limiter without bursts, which spaces the calls to a cold runner
// evenly.
type pacer struct {
	// next is the earliest time of the next call.
	next time.Time
}

// take reports whether a call may be sent now, at a rate in calls per second. If so
// it counts the call.
func (p *pacer) take(now time.Time, rate float64) bool {
	if rate <= 0 || now.Before(p.next) {
		return false
	}
	p.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}
