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
	v, err := n.document.read(call)
	if err == nil {
		n.learn(v)
	} else {
		v = n.knownState()
	}
	s := v.status()
	s.Stale = err != nil
	s.Instance = n.self.ID
	s.InForceHere = n.version()
	if r, ok := v.moving(); ok {
		s.Waiting = n.whoHolds(ctx, r)
	}
	return s, nil
}

// whoHolds returns the instances that hold a roll, as its driver says.
func (n *node) whoHolds(ctx context.Context, r operatorapi.Version) []waiting {
	if s := n.status(); s.Driving == r.Version {
		return s.Waiting
	}
	ids := []string{r.Driver}
	for _, w := range n.view.Watchers(ctx) {
		ids = append(ids, w.ID)
	}
	for _, id := range ids {
		if id == "" || id == n.self.ID {
			continue
		}
		if s, err := n.statusOf(ctx, id); err == nil && s.Driving == r.Version {
			return s.Waiting
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
	packs, err := writePacks(ctx, n.store, w.Write, data)
	if err != nil {
		return operatorapi.Version{}, err
	}
	draft := operatorapi.Version{
		Base: b.Version, Digest: digest, Write: w.Write, Packs: packs, Bytes: int64(len(data)),
		Writer: by, WrittenAt: n.clock.Now().UTC(), Note: w.Note,
	}
	return n.change(ctx, func(s State) (State, operatorapi.Version, error) {
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

// parse reads and checks a bundle.
func parse(raw json.RawMessage) (bundle.Bundle, error) {
	var b bundle.Bundle
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return b, fault.Wrap(fault.BadRequest, err, "decode bundle").WithField("bundle")
	}
	return b, b.Check()
}

// change updates the state, and removes the contents of versions that it does
// not name any more.
func (n *node) change(
	ctx context.Context, c func(s State) (State, operatorapi.Version, error),
) (operatorapi.Version, error) {
	var record operatorapi.Version
	var removed []operatorapi.Version
	v, err := n.document.update(ctx, func(s State) (State, bool, error) {
		next, r, err := c(s)
		record = r
		if same(s, next) {
			return s, false, err
		}
		removed = missingIn(next, s)
		return next, true, err
	})
	if err != nil {
		return record, err
	}
	n.learn(v)
	for _, r := range removed {
		if err := deletePacks(ctx, n.store, r.Write, r.Packs); err != nil {
			n.log.Warn("content not removed", "version", r.Version, "error", err)
		}
	}
	return record, nil
}

// same reports whether a step left the state as it was. Steps that change it
// make a new list of versions.
func same(a, b State) bool {
	return len(a.Versions) == len(b.Versions) && (len(a.Versions) == 0 || &a.Versions[0] == &b.Versions[0])
}

// missingIn returns the versions of old that next does not have.
func missingIn(next, old State) []operatorapi.Version {
	var all []operatorapi.Version
	for _, r := range old.Versions {
		if next.index(r.Version) < 0 {
			all = append(all, r)
		}
	}
	return all
}

func (n *node) Content(ctx context.Context, version uint64) (bundle.Bundle, error) {
	v, err := n.document.read(ctx)
	if err != nil {
		return bundle.Bundle{}, err
	}
	r, ok := v.Find(version)
	if !ok {
		return bundle.Bundle{}, fault.New(fault.NotFound, "no version %d", version).WithField("version")
	}
	if s, ok := n.find(r.Digest); ok {
		return *s.as(reference(r)).bundle, nil
	}
	data, err := readPacks(ctx, n.store, r.Write, r.Packs)
	if err != nil {
		return bundle.Bundle{}, err
	}
	b, err := data.decode(r.Version, r.Digest)
	if err != nil {
		return bundle.Bundle{}, fault.Wrap(fault.Internal, err, "content of version %d", version)
	}
	return *b, nil
}

// step fills in what a step's transition needs.
func (n *node) step(by string, version uint64, s operatorapi.StepRequest) Step {
	return Step{Version: version, By: by, At: n.clock.Now().UTC(), Instance: n.self.ID, StepRequest: s}
}

func (n *node) Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	return n.change(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithSignature(p) })
}

func (n *node) Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	r, err := n.change(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithRoll(p) })
	if err == nil {
		n.mu.Lock()
		n.asked = version
		n.mu.Unlock()
		n.wake()
	}
	return r, err
}

func (n *node) Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	return n.change(ctx, func(st State) (State, operatorapi.Version, error) { return st.WithCancel(p) })
}

func (n *node) Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error) {
	p := n.step(by, version, s)
	var found operatorapi.Version
	return n.change(ctx, func(st State) (State, operatorapi.Version, error) {
		next, r, err := st.WithDiscard(p)
		if fault.Is(err, fault.NotFound) && found.Version != 0 {
			return st, found, nil // the write before took effect
		}
		found = r
		return next, r, err
	})
}
