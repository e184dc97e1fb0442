package roll

import (
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

// maxVersions is the maximum number of version records in a state.
const maxVersions = 200

// State is the state of the bundle for the whole fleet. It is one value in the
// store, changed only by compare-and-swap. Values are immutable: the With
// methods return changed copies. They return the state as it is if the step
// was already done, so every step can be repeated.
type State struct {
	// Last is the highest version number assigned; it only increases.
	Last uint64 `json:"last"`
	// InForce is the version that was decided last; it only increases.
	InForce uint64 `json:"inForce"`
	// Rolling is the version that is staged, or decided and not yet accepted;
	// zero means none. If set, it is never below InForce.
	Rolling uint64 `json:"rolling"`
	// Versions are in ascending order.
	Versions []operatorapi.Version `json:"versions"`
}

// Find returns the record of version v.
func (s State) Find(v uint64) (operatorapi.Version, bool) {
	i := s.index(v)
	if i < 0 {
		return operatorapi.Version{}, false
	}
	return s.Versions[i], true
}

func (s State) index(v uint64) int {
	return slices.IndexFunc(s.Versions, func(r operatorapi.Version) bool { return r.Version == v })
}

// with returns a copy with r in place of the record of the same version.
func (s State) with(r operatorapi.Version) State {
	s.Versions = slices.Clone(s.Versions)
	if i := s.index(r.Version); i >= 0 {
		s.Versions[i] = r
		return s
	}
	s.Versions = append(s.Versions, r)
	return s
}

// without returns a copy without the record of version v.
func (s State) without(v uint64) State {
	s.Versions = slices.DeleteFunc(slices.Clone(s.Versions), func(r operatorapi.Version) bool {
		return r.Version == v
	})
	return s
}

// WithDraft returns the state with a new draft made from r. The caller sets
// Write, Base, Digest and the other fields of the content and its writer.
func (s State) WithDraft(r operatorapi.Version) (State, operatorapi.Version, error) {
	for _, old := range s.Versions {
		if old.WriteID == r.WriteID {
			return s, old, checkRepeatedWrite(old, r)
		}
	}
	s = s.withEviction()
	if len(s.Versions) >= maxVersions {
		return s, r, fault.New(fault.Overloaded, "found %d versions that were never rolled; discard some", len(s.Versions))
	}
	s.Last++
	r.Version = s.Last
	r.Phase = operatorapi.Draft
	return s.with(r), r, nil
}

func checkRepeatedWrite(old, r operatorapi.Version) error {
	if old.Digest != r.Digest || old.Writer != r.Writer {
		return fault.New(fault.Conflict, "version %d was written with the same identifier", old.Version).WithField("write")
	}
	return nil
}

// withEviction removes the oldest version that was decided before the one in
// force, if the state is full.
func (s State) withEviction() State {
	if len(s.Versions) < maxVersions {
		return s
	}
	for _, r := range s.Versions {
		if r.Version < s.InForce && wasDecided(r.Phase) {
			return s.without(r.Version)
		}
	}
	return s
}

// wasDecided reports whether a version in phase p has been decided.
func wasDecided(p operatorapi.Phase) bool {
	return p == operatorapi.Decided || p == operatorapi.Accepted || p == operatorapi.Superseded
}

// Step is an operator's request to change one version.
type Step struct {
	Version uint64
	By      string
	At      time.Time
	// Instance is the one that the operator called.
	Instance string
	operatorapi.StepRequest
}

// findForStep returns the record of the version, or an error if its content is
// not the one that the operator named.
func (s State) findForStep(p Step) (operatorapi.Version, error) {
	r, ok := s.Find(p.Version)
	if !ok {
		return r, fault.New(fault.NotFound, "no version %d", p.Version).WithField("version")
	}
	if r.Digest != p.Digest {
		return r, s.conflict("version %d has another content, digest %s", p.Version, r.Digest)
	}
	return r, nil
}

// checkInForce returns an error if the version in force is not the step's
// ExpectedVersion, or if the step's version can no longer come into force.
func (s State) checkInForce(p Step) error {
	if p.ExpectedVersion != s.InForce {
		return s.conflict("you saw version %d in force; now it is version %d%s", p.ExpectedVersion, s.InForce, s.rolledBySuffix(s.InForce))
	}
	if p.Version <= s.InForce {
		return s.conflict("version %d is in force%s; write the content again to bring it in force", s.InForce, s.rolledBySuffix(s.InForce))
	}
	return nil
}

func (s State) rolledBySuffix(v uint64) string {
	r, ok := s.Find(v)
	if !ok || r.RolledBy == "" {
		return ""
	}
	return ", rolled by " + r.RolledBy
}

// WithSignature returns the state with a version signed off.
func (s State) WithSignature(p Step) (State, operatorapi.Version, error) {
	r, err := s.findForStep(p)
	if err != nil {
		return s, r, err
	}
	if r.Signer == p.By {
		return s, r, nil
	}
	if err := s.checkInForce(p); err != nil {
		return s, r, err
	}
	if r.Signer != "" {
		return s, r, s.conflict("%s has signed version %d off", r.Signer, r.Version)
	}
	if r.Writer == p.By {
		return s, r, fault.New(fault.Forbidden, "%s wrote version %d; another operator has to sign it off", p.By, r.Version)
	}
	if r.Base != s.InForce {
		return s, r, s.conflict("version %d was made from version %d; now version %d is in force%s; "+
			"write it again from that one", r.Version, r.Base, s.InForce, s.rolledBySuffix(s.InForce))
	}
	r.Phase = operatorapi.Signed
	r.Signer = p.By
	r.SignedAt = p.At
	return s.with(r), r, nil
}

// WithRollout returns the state with the rollout of a version started.
func (s State) WithRollout(p Step) (State, operatorapi.Version, error) {
	r, err := s.findForStep(p)
	if err != nil {
		return s, r, err
	}
	if r.Step == p.StepID {
		return s, r, s.checkRepeatedRollout(r)
	}
	if err := s.checkInForce(p); err != nil {
		return s, r, err
	}
	if staged, ok := s.staging(); ok {
		return s, r, s.conflict("%s is rolling version %d", staged.RolledBy, staged.Version)
	}
	if r.Signer == "" {
		return s, r, fault.New(fault.Forbidden, "nobody has signed version %d off", r.Version)
	}
	if r.Base != s.InForce {
		return s, r, s.conflict("version %d was made from version %d; now version %d is in force%s; "+
			"write it again from that one", r.Version, r.Base, s.InForce, s.rolledBySuffix(s.InForce))
	}
	r.Phase = operatorapi.Staging
	r.RolledBy = p.By
	r.RolledAt = p.At
	r.Step = p.StepID
	r.Coordinator = p.Instance
	s.Rolling = r.Version
	return s.with(r), r, nil
}

// checkRepeatedRollout returns an error if the rollout that a repeated request
// started was cancelled.
func (s State) checkRepeatedRollout(r operatorapi.Version) error {
	if r.Phase == operatorapi.Signed {
		return s.conflict("the roll of version %d was cancelled", r.Version)
	}
	return nil
}

// staging returns the version that is being staged.
func (s State) staging() (operatorapi.Version, bool) {
	r, ok := s.Find(s.Rolling)
	return r, ok && r.Phase == operatorapi.Staging
}

// WithCancel returns the state with an undecided rollout cancelled. A rollout
// that was decided before and is not yet accepted resumes.
func (s State) WithCancel(p Step) (State, operatorapi.Version, error) {
	r, err := s.findForStep(p)
	if err != nil {
		return s, r, err
	}
	switch {
	case wasDecided(r.Phase):
		return s, r, s.conflict("version %d is decided and can only go forward", r.Version)
	case r.Phase != operatorapi.Staging:
		return s, r, nil
	}
	r.Phase = operatorapi.Signed
	s.Rolling = 0
	if in, ok := s.Find(s.InForce); ok && in.Phase == operatorapi.Decided {
		s.Rolling = s.InForce
	}
	return s.with(r), r, nil
}

// WithDiscard returns the state without a version that was never decided and
// is not being staged.
func (s State) WithDiscard(p Step) (State, operatorapi.Version, error) {
	r, err := s.findForStep(p)
	if err != nil {
		return s, r, err
	}
	if r.Phase != operatorapi.Draft && r.Phase != operatorapi.Signed {
		return s, r, s.conflict("version %d is %s", r.Version, r.Phase)
	}
	return s.without(r.Version), r, nil
}

// WithDecision returns the state with the staged version decided. members are
// the instances that have and have verified the version; they are recorded
// with it.
func (s State) WithDecision(version uint64, step string, members []string, at time.Time) (State, error) {
	r, ok := s.Find(version)
	if ok && r.Step == step && wasDecided(r.Phase) {
		return s, nil
	}
	if !ok || r.Step != step || r.Phase != operatorapi.Staging || version <= s.InForce {
		return s, s.conflict("version %d is not staged any more", version)
	}
	if old, found := s.Find(s.InForce); found {
		s = s.with(superseded(old))
	}
	r.Phase = operatorapi.Decided
	r.DecidedAt = at
	r.Members = members
	r.MemberCount = len(members)
	s.InForce = version
	s.Rolling = version
	return s.with(r), nil
}

// superseded returns the record of a version that is no longer in force.
func superseded(r operatorapi.Version) operatorapi.Version {
	r.Members = nil
	if r.Phase == operatorapi.Decided {
		r.Phase = operatorapi.Superseded
	}
	return r
}

// WithAcceptance returns the state with the decided version accepted.
func (s State) WithAcceptance(version uint64, at time.Time) (State, error) {
	r, ok := s.Find(version)
	if ok && r.Phase == operatorapi.Accepted {
		return s, nil
	}
	if !ok || r.Phase != operatorapi.Decided || version != s.InForce {
		return s, s.conflict("version %d is not the one decided last", version)
	}
	r.Phase = operatorapi.Accepted
	r.AcceptedAt = at
	if s.Rolling == version {
		s.Rolling = 0
	}
	return s.with(r), nil
}

// conflictError is a conflict together with the current state.
type conflictError struct {
	cause *fault.Error
	state State
}

func (e *conflictError) Error() string { return e.cause.Error() }
func (e *conflictError) Unwrap() error { return e.cause }

// AddCurrentState adds the current state to the error response to an operator.
func (e *conflictError) AddCurrentState(r *operatorapi.ErrorResponse) {
	status := e.state.status()
	r.Bundle = &status
}

func (s State) conflict(format string, args ...any) error {
	return &conflictError{cause: fault.New(fault.Conflict, format, args...), state: s}
}

// status returns the state as operators see it.
func (s State) status() operatorapi.BundleStatus {
	return operatorapi.BundleStatus{InForce: s.InForce, Rolling: s.Rolling, Versions: s.Versions}
}
