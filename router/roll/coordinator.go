package roll

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

// maxPassBackoff is the longest delay between two passes of a blocked rollout.
const maxPassBackoff = 5 * time.Second

// coordinate advances the rollout in progress while this instance is its
// coordinator.
func (n *node) coordinate(ctx context.Context) error {
	d := &coordinator{node: n}
	backoff := n.cfg.passPeriod
	for {
		select {
		case <-n.stateChanged:
			backoff = n.cfg.passPeriod
		case <-n.clock.After(backoff):
		case <-ctx.Done():
			return nil
		}
		r, ok := n.latestState().inProgress()
		if !ok || !n.shouldCoordinate(ctx, r) {
			n.setCoordinating(0, nil)
			continue
		}
		advanced := d.pass(ctx, r)
		backoff = nextBackoff(backoff, advanced, n.cfg.passPeriod)
		if advanced {
			n.wakeCoordinator()
		}
	}
}

// nextBackoff returns the delay before the next pass. It grows while the
// rollout is blocked.
func nextBackoff(backoff time.Duration, advanced bool, initial time.Duration) time.Duration {
	if advanced {
		return initial
	}
	return min(backoff*3/2, maxPassBackoff)
}

// inProgress returns the version whose rollout a coordinator has to advance.
func (s State) inProgress() (operatorapi.Version, bool) {
	r, ok := s.Find(s.Rolling)
	return r, ok && (r.Phase == operatorapi.Staging || r.Phase == operatorapi.Decided)
}

func (n *node) setCoordinating(version uint64, blockers []blocker) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.coordinating = version
	n.blockers = blockers
}

// shouldCoordinate reports whether this instance coordinates the rollout of r:
// the rollout was started here, this instance coordinates it already, or the
// rollout has made no progress for the failover timeout and neither
// r.Coordinator nor an earlier watcher is available to coordinate it.
func (n *node) shouldCoordinate(ctx context.Context, r operatorapi.Version) bool {
	n.mu.Lock()
	mine := n.startedHere == r.Version || n.coordinating == r.Version
	stalled := n.clock.Now().Sub(n.latestChangedAt)
	n.mu.Unlock()
	if mine {
		return true
	}
	if stalled < n.cfg.failoverTimeout {
		return false
	}
	predecessors := []string{r.Coordinator}
	for _, w := range n.view.Watchers(ctx) {
		if w.ID == n.self.ID {
			break
		}
		predecessors = append(predecessors, w.ID)
	}
	return !n.anyCoordinates(ctx, predecessors, r.Version)
}

// anyCoordinates reports whether one of ids coordinates the rollout of version
// or is able to. The first ID is the Coordinator recorded for the version, which
// counts only if it coordinates; a watcher also counts if it can reach the store.
func (n *node) anyCoordinates(ctx context.Context, ids []string, version uint64) bool {
	for _, id := range ids {
		if id == "" || id == n.self.ID {
			continue
		}
		s, err := n.statusOf(ctx, id)
		if err != nil {
			continue
		}
		if s.Coordinating == version || (id != ids[0] && s.StoreReachable) {
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

// coordinator advances one rollout. Its only state is the acknowledgements
// that it received, so another instance can take over at any point.
type coordinator struct {
	*node
	version uint64
	step    string
	phase   operatorapi.Phase
	// ackedAt is when each instance acknowledged the phase.
	ackedAt map[string]time.Time
	// reportedJoining are the instances that acknowledgements reported as
	// joining.
	reportedJoining map[string]bool
	// unresponsive are the instances whose call failed in this pass.
	unresponsive map[string]bool
}

// pass tries to advance the rollout by one phase and reports whether it did.
func (d *coordinator) pass(ctx context.Context, known operatorapi.Version) (advanced bool) {
	call, cancel := context.WithTimeout(ctx, d.cfg.stageTimeout)
	defer cancel()
	d.markCoordinating(known.Version)
	v, err := d.readState(call)
	if err != nil {
		d.log.Info("cannot read the state; another instance may take over the rollout", "version", known.Version, "error", err)
		d.stepDown()
		return false
	}
	r, ok := v.inProgress()
	if !ok {
		return false
	}
	if r.Version != d.version || r.Step != d.step || r.Phase != d.phase {
		d.version, d.step, d.phase = r.Version, r.Step, r.Phase
		d.ackedAt = map[string]time.Time{}
		d.reportedJoining = map[string]bool{}
	}
	d.unresponsive = map[string]bool{}
	w, blockers, err := d.collectAcks(ctx, r)
	if err != nil {
		blockers = append(blockers, blocker{Instance: d.self.ID, Reason: err.Error()})
	}
	d.setBlockers(r.Version, blockers)
	if len(blockers) > 0 {
		return false
	}
	return d.advance(ctx, v, r, w)
}

// markCoordinating records that this instance coordinates the rollout of
// version, before the first pass ends.
func (d *coordinator) markCoordinating(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coordinating = version
}

// stepDown ends the coordination, so that another instance can take over, and
// restarts the failover timeout of this instance.
func (d *coordinator) stepDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coordinating, d.startedHere, d.blockers = 0, 0, nil
	d.latestChangedAt = d.clock.Now()
}

func (d *coordinator) setBlockers(version uint64, blockers []blocker) {
	slices.SortFunc(blockers, func(a, b blocker) int { return cmp.Compare(a.Instance, b.Instance) })
	d.setCoordinating(version, blockers)
}

// advance writes the next phase on the condition that the state has not
// changed since v was read. The instances were listed after that read: an
// instance that registers after the listing reads the state later still, and
// finds v or a newer state.
func (d *coordinator) advance(ctx context.Context, v versionedState, r operatorapi.Version, w participantSet) bool {
	now := d.clock.Now()
	var next State
	var err error
	if r.Phase == operatorapi.Staging {
		next, err = v.WithDecision(r.Version, r.Step, w.members(), now)
	} else {
		next, err = v.WithAcceptance(r.Version, now)
	}
	if err != nil {
		d.log.Warn("rollout cannot advance", "version", r.Version, "error", err)
		return false
	}
	written, err := d.states.write(ctx, v, next)
	if err != nil {
		d.log.Info("cannot write the state; it is read again in the next pass", "version", r.Version, "error", err)
		return fault.Is(err, fault.Conflict)
	}
	d.observe(written)
	record, _ := written.Find(r.Version)
	d.log.Info("rollout advanced", "version", r.Version, "phase", record.Phase, "members", record.MemberCount)
	return true
}

// members returns the participants in ascending order.
func (w participantSet) members() []string {
	ids := make([]string, 0, len(w))
	for id := range w {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
