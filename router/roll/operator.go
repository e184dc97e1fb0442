package roll

import (
	"bytes"
	"context"
	"encoding/json"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

func (n *node) Status(ctx context.Context) (operatorapi.BundleStatus, error) {
	call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
	defer cancel()
	v, err := n.states.read(call)
	if err == nil {
		n.observe(v)
	} else {
		v = n.latestState()
	}
	s := v.status()
	s.Stale = err != nil
	s.Instance = n.self.ID
	s.InForceHere = n.version()
	if r, ok := v.inProgress(); ok {
		s.Pending = n.findBlockers(ctx, r)
	}
	return s, nil
}

// findBlockers returns the instances that block the rollout of r, as reported
// by its coordinator.
func (n *node) findBlockers(ctx context.Context, r operatorapi.Version) []blocker {
	if s := n.status(); s.Coordinating == r.Version {
		return s.Blockers
	}
	ids := []string{r.Coordinator}
	for _, w := range n.view.Watchers(ctx) {
		ids = append(ids, w.ID)
	}
	for _, id := range ids {
		if id == "" || id == n.self.ID {
			continue
		}
		if s, err := n.statusOf(ctx, id); err == nil && s.Coordinating == r.Version {
			return s.Blockers
		}
	}
	return nil
}

func (n *node) Write(ctx context.Context, by string, w operatorapi.WriteRequest) (operatorapi.Version, error) {
	b, err := parse(w.Bundle)
	if err != nil {
		return operatorapi.Version{}, err
	}
	data, digest, err := encode(b)
	if err != nil {
		return operatorapi.Version{}, err
	}
	chunks, err := writeChunks(ctx, n.store, w.WriteID, data)
	if err != nil {
		return operatorapi.Version{}, err
	}
	draft := operatorapi.Version{
		Base: b.Version, Digest: digest, WriteID: w.WriteID, Chunks: chunks, Bytes: int64(len(data)),
		Writer: by, WrittenAt: n.clock.Now().UTC(), Note: w.Note,
	}
	return n.updateState(ctx, func(s State) (State, operatorapi.Version, error) {
		if b.Version > s.Last {
			return s, draft, fault.New(fault.BadRequest, "found %d, allowed is 0 to %d", b.Version, s.Last).WithField("bundle.version")
		}
		d := draft
		if d.Base == 0 {
			d.Base = s.InForce
		}
		return s.WithDraft(d)
	})
}

// parse decodes and checks a bundle.
func parse(raw json.RawMessage) (bundle.Bundle, error) {
	var b bundle.Bundle
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return b, fault.Wrap(fault.BadRequest, err, "decode bundle").WithField("bundle")
	}
	return b, b.Validate()
}

// updateState updates the state and deletes the contents of versions that the
// new state no longer has.
func (n *node) updateState(
	ctx context.Context, c func(s State) (State, operatorapi.Version, error),
) (operatorapi.Version, error) {
	var record operatorapi.Version
	var removed []operatorapi.Version
	v, err := n.states.update(ctx, func(s State) (State, bool, error) {
		next, r, err := c(s)
		record = r
		if unchanged(s, next) {
			return s, false, err
		}
		removed = removedVersions(next, s)
		return next, true, err
	})
	if err != nil {
		return record, err
	}
	n.observe(v)
	for _, r := range removed {
		if err := deleteChunks(ctx, n.store, r.WriteID, r.Chunks); err != nil {
			n.log.Warn("cannot delete the content of a removed version", "version", r.Version, "error", err)
		}
	}
	return record, nil
}

// unchanged reports whether a step left the state as it was. Every step that
// changes the state allocates a new list of versions.
func unchanged(a, b State) bool {
	return len(a.Versions) == len(b.Versions) && (len(a.Versions) == 0 || &a.Versions[0] == &b.Versions[0])
}

// removedVersions returns the versions that old has and next does not.
func removedVersions(next, old State) []operatorapi.Version {
	var all []operatorapi.Version
	for _, r := range old.Versions {
		if next.index(r.Version) < 0 {
			all = append(all, r)
		}
	}
	return all
}

func (n *node) Content(ctx context.Context, version uint64) (bundle.Bundle, error) {
	v, err := n.states.read(ctx)
	if err != nil {
		return bundle.Bundle{}, err
	}
	r, ok := v.Find(version)
	if !ok {
		return bundle.Bundle{}, fault.New(fault.NotFound, "no version %d", version).WithField("version")
	}
	if s, ok := n.find(r.Digest); ok {
		return *s.withVersion(reference(r)).bundle, nil
	}
	data, err := readChunks(ctx, n.store, r.WriteID, r.Chunks)
	if err != nil {
		return bundle.Bundle{}, err
	}
	b, err := data.decode(r.Version, r.Digest)
	if err != nil {
		return bundle.Bundle{}, fault.Wrap(fault.Internal, err, "content of version %d", version)
	}
	return *b, nil
}

// step returns the Step for an operator's request.
func (n *node) step(by string, version uint64, s operatorapi.StepRequest) Step {
	return Step{Version: version, By: by, At: n.clock.Now().UTC(), Instance: n.self.ID, StepRequest: s}
}

func (n *node) Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	return n.updateState(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithSignature(p) })
}

func (n *node) Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	r, err := n.updateState(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithRollout(p) })
	if err == nil {
		n.mu.Lock()
		n.startedHere = version
		n.mu.Unlock()
		n.wakeCoordinator()
	}
	return r, err
}

func (n *node) Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	return n.updateState(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithCancel(p) })
}

func (n *node) Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	var found operatorapi.Version
	return n.updateState(ctx, func(st State) (State, operatorapi.Version, error) {
		next, r, err := st.WithDiscard(p)
		if fault.Is(err, fault.NotFound) && found.Version != 0 {
			return st, found, nil // an earlier attempt of this write took effect
		}
		found = r
		return next, r, err
	})
}
