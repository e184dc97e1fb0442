package relay

import "errors"

// maxUnreached is how many runners that can't be reached a call may meet: those
// of a host or a zone that was just lost are passed over one by one.
const maxUnreached = 5

// tries counts the runners that a call is sent to. Those that couldn't be
// reached got nothing of it, so that they count neither for the route's bound
// nor as repeats.
type tries struct {
	relay *relay
	plan  *plan
	// sends is how many runners the call was sent to, begun how many times one
	// was chosen.
	sends, begun int
	// allowed is set once the budget has given a repeat that wasn't sent yet.
	allowed bool
}

func (x *relay) newTries(p *plan) *tries { return &tries{relay: x, plan: p} }

// next reports whether the call may go to one more runner.
func (t *tries) next() bool {
	if t.sends >= t.plan.route.MaxAttempts || t.begun-t.sends > maxUnreached {
		return false
	}
	if t.sends > 0 && !t.allowed {
		if !t.relay.Repeats.Allow(t.plan.service) {
			return false
		}
		t.allowed = true
	}
	t.begun++
	return true
}

// more reports whether the route allows a runner after the one chosen now.
func (t *tries) more() bool { return t.sends+1 < t.plan.route.MaxAttempts }

// sent notes that the runner chosen last got the call, or may have.
func (t *tries) sent() {
	t.sends++
	t.allowed = false
}

// unreached reports whether a try failed before anything left for the runner.
func unreached(err error) bool {
	var u *Unanswered
	return errors.As(err, &u) && !u.Sent
}

// left reports whether a try was given up since its runner takes no calls any
// more.
func left(err error) bool {
	var u *Unanswered
	return errors.As(err, &u) && u.Left
}
