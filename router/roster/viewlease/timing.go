package viewlease

import "time"

// Timing holds the durations of the protocol. All members must use the same.
type Timing struct {
	// LeaseDuration is how long a lease on an epoch is valid after the start
	// of the call that renewed it, by the clock of its member.
	LeaseDuration time.Duration
	// MaxReadAge is how long after the start of the last store read that
	// showed the epoch the promises of a majority may still renew a lease.
	MaxReadAge time.Duration
	// Drift is the largest deviation of a member's clock rate from the true
	// rate, as a fraction of the true rate.
	Drift float64
	// ProposalStagger is the additional delay per rank before a member
	// proposes a change that the members of lower rank have not proposed.
	ProposalStagger time.Duration
	// ReplyGrace is how long after its last reply a member without a
	// registration stays in the view.
	ReplyGrace time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:   3 * time.Second,
		MaxReadAge:      10 * time.Minute,
		Drift:           0.01,
		ProposalStagger: 500 * time.Millisecond,
		ReplyGrace:      3 * time.Second,
	}
}

// minPromisingMembers is the least number of members in a view whose promises
// renew leases. In a smaller view the loss of one member leaves no majority,
// and a change of the view would have to wait for MaxReadAge.
const minPromisingMembers = 3

// maxReadAge returns MaxReadAge for a view of n members, or zero if the view
// is too small for promises to renew leases.
func (t Timing) maxReadAge(n int) time.Duration {
	if n < minPromisingMembers {
		return 0
	}
	return t.MaxReadAge
}

// DriftAdjusted returns how long a member must wait by its own clock to be
// certain that at least d has passed by the clock of any other member.
func (t Timing) DriftAdjusted(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + time.Nanosecond
}

// elapsed returns the larger of the times elapsed by the monotonic clock and by
// the wall clock. The monotonic clock may stop while the machine is suspended,
// and a lease must expire during that time all the same.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
