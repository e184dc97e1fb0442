package target

import "time"

// bucket spaces the calls to a cold runner evenly.
type bucket struct {
	next time.Time
}

// take reports whether a call may go at this rate per second.
func (b *bucket) take(now time.Time, rate float64) bool {
	if rate <= 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}
