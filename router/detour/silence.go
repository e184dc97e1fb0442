package detour

import (
	"sync/atomic"
	"time"
)

// silence tracks for how long nothing has arrived from any runner although something was
// sent. It takes no lock, as all calls use it.
type silence struct {
	// sentAt is when the first bytes were sent since bytes last arrived, or zero.
	sentAt atomic.Int64
}

// sent records that bytes are sent at a time, which is positive.
func (s *silence) sent(at time.Duration) {
	if s.sentAt.Load() == 0 {
		s.sentAt.CompareAndSwap(0, int64(at))
	}
}

// heard records that bytes arrived.
func (s *silence) heard() {
	if s.sentAt.Load() != 0 {
		s.sentAt.Store(0)
	}
}

// lasts returns how long nothing has arrived.
func (s *silence) lasts(now time.Duration) time.Duration {
	if at := s.sentAt.Load(); at != 0 {
		return now - time.Duration(at)
	}
	return 0
}
