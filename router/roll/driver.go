package roll

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

// maxDrivePause bounds the time between two passes of a roll that is held.
const maxDrivePause = 5 * time.Second

// drive moves the roll on whenever it is this instance's turn.
func (n *node) drive(ctx context.Context) error {
	d := &driver{node: n}
	pause := n.cfg.drivePeriod
	for {
		select {
		case <-n.known:
			pause = n.cfg.drivePeriod
		case <-n.clock.After(pause):
		case <-ctx.Done():
			return nil
		}
		r, ok := n.knownState().moving()
		if !ok || !n.turn(ctx, r) {
			n.setDriving(0, nil)
			continue
		}
		moved := d.pass(ctx, r)
		pause = nextPause(pause, moved, n.cfg.drivePeriod)
		if moved {
			n.wake()
		}
	}
}

// nextPause lengthens the pause of a roll that is held.
func nextPause(pause time.Duration, moved bool, first time.Duration) time.Duration {
	if moved {
		return first
	}
	return min(pause*3/2, maxDrivePause)
}

// moving returns the version that a driver has to move on.
func (s State) moving() (operatorapi.Version, bool) {
	r, ok := s.Find(s.Rolling)
	return r, ok && (r.Phase == operatorapi.Staging || r.Phase == operatorapi.Decided)
}

func (n *node) setDriving(version uint64, held []waiting) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.driving = version
	n.waiting = held
}

// turn reports whether this instance drives r: the roll was started here, it
// drives it already, or the roll stands still and no instance before this one
// among the watchers answers.
func (n *node) turn(ctx context.Context, r operatorapi.Version) bool {
	n.mu.Lock()
	mine := n.asked == r.Version || n.driving == r.Version
	still := n.clock.Now().Sub(n.seenAt)
	n.mu.Unlock()
	if mine {
		return true
	}
	if still < n.cfg.takeOverAfter {
		return false
	}
	before := []string{r.Driver}
	for _, w := range n.view.Watchers(ctx) {
		if w.ID == n.self.ID {
			break
		}
		before = append(before, w.ID)
	}
	return !n.anyDrives(ctx, before, r.Version)
}

// anyDrives reports whether one of ids drives the version or is about to.
func (n *node) anyDrives(ctx context.Context, ids []string, version uint64) bool {
	for _, id := range ids {
		if id == "" || id == n.self.ID {
			continue
		}
		s, err := n.statusOf(ctx, id)
		if err != nil {
			continue
		}
		if s.Driving == version || (id != ids[0] && s.Stored) {
			return true
		}
	}
	return false
}

func (n *node) statusOf(ctx context.Context, id string) (Status, error) {
	call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
	defer cancel()
	var s Status
	err := n.mesh.Call(call, id, methodStatus, statusRequest{InForce: n.version()}, &s)
	return s, err
}

// driver moves one roll on. All that it remembers are acknowledgements, so
// that another one can go on at any point.
type driver struct {
	*node
	version uint64
	step    string
	phase   operatorapi.Phase
	// acked tells when each instance acknowledged the phase.
	acked map[string]time.Time
	// named are instances that acknowledgements named as guests.
	named map[string]bool
	// silent are instances that did not answer in this pass.
	silent map[string]bool
}

// pass tries to move the roll one phase on. moved tells that it did.
func (d *driver) pass(ctx context.Context, known operatorapi.Version) (moved bool) {
	call, cancel := context.WithTimeout(ctx, d.cfg.stageTimeout)
	defer cancel()
	d.remember(known.Version)
	v, err := d.readState(call)
	if err != nil {
		d.log.Info("state not read; leaving the roll to others", "version", known.Version, "error", err)
		d.leave()
		return false
	}
	r, ok := v.moving()
	if !ok {
		return false
	}
	if r.Version != d.version || r.Step != d.step || r.Phase != d.phase {
		d.version, d.step, d.phase = r.Version, r.Step, r.Phase
		d.acked = map[string]time.Time{}
		d.named = map[string]bool{}
	}
	d.silent = map[string]bool{}
	w, held, err := d.collect(ctx, r)
	if err != nil {
		held = append(held, waiting{Instance: d.self.ID, Reason: err.Error()})
	}
	d.hold(r.Version, held)
	if len(held) > 0 {
		return false
	}
	return d.advance(ctx, v, r, w)
}

// remember marks the version as driven here before the first pass ends.
func (d *driver) remember(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.driving = version
}

// leave lets another instance drive.
func (d *driver) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.driving, d.asked, d.waiting = 0, 0, nil
	d.seenAt = d.clock.Now()
}

func (d *driver) hold(version uint64, held []waiting) {
	slices.SortFunc(held, func(a, b waiting) int { return cmp.Compare(a.Instance, b.Instance) })
	d.setDriving(version, held)
}

// advance writes the next phase. The state must not have changed since it was
// read, which was before the instances were listed: one that registers later
// reads the state later and finds what is written here.
func (d *driver) advance(ctx context.Context, v versioned, r operatorapi.Version, w wantedSet) bool {
	now := d.clock.Now()
	var next State
	var err error
	if r.Phase == operatorapi.Staging {
		next, err = v.WithDecision(r.Version, r.Step, w.members(), now)
	} else {
		next, err = v.WithAcceptance(r.Version, now)
	}
	if err != nil {
		d.log.Warn("roll cannot move on", "version", r.Version, "error", err)
		return false
	}
	written, err := d.document.write(ctx, v, next)
	if err != nil {
		d.log.Info("state not written; reading it back", "version", r.Version, "error", err)
		return fault.Is(err, fault.Conflict)
	}
	d.learn(written)
	record, _ := written.Find(r.Version)
	d.log.Info("roll moved on", "version", r.Version, "phase", record.Phase, "members", record.MemberCount)
	return true
}

// members returns the instances in ascending order.
func (w wantedSet) members() []string {
	ids := make([]string, 0, len(w))
	for id := range w {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
