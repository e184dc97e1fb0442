package hold

import "time"

// Timing are the spans that all members share.
type Timing struct {
	// Hold is how long a hold lasts from the start of the call that renewed
	// it, by the holder's clock.
	Hold time.Duration
	// Limit is how long after the start of the last store read that showed
	// the epoch the promises of peers may renew a hold.
	Limit time.Duration
	// Drift bounds how far the rate of a member's clock is from the true
	// one, as a share of it.
	Drift float64
	// ProposalStep is the further wait of each next member in line before
	// it proposes a change that the ones before it did not.
	ProposalStep time.Duration
	// HeardFor is how long after a reply of a member its missing
	// registration does not remove it.
	HeardFor time.Duration
}

// DefaultTiming returns the spans used where nothing else is set.
func DefaultTiming() Timing {
	return Timing{
		Hold:         3 * time.Second,
		Limit:        10 * time.Minute,
		Drift:        0.01,
		ProposalStep: 500 * time.Millisecond,
		HeardFor:     3 * time.Second,
	}
}

// minPromising is the least number of members whose promises renew holds. In a
// smaller view the loss of one member leaves no majority, and a change of the
// view would have to wait for Limit.
const minPromising = 3

// limit returns Limit for a view of n members.
func (t Timing) limit(n int) time.Duration {
	if n < minPromising {
		return 0
	}
	return t.Limit
}

// Stretch returns how long a member has to wait by its own clock to be certain
// that d has passed by the clock of any other.
func (t Timing) Stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + time.Nanosecond
}

// elapsed returns the larger of what the monotonic clock and the wall clock
// say has passed: a monotonic clock may stand still while the machine is
// suspended, and a hold must not outlive that.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
