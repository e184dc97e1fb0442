package roll

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestStateProperty applies random steps of three operators and checks the
// invariants after each one.
func TestStateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{}
		signed := map[uint64]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			next := randomStep(t, s, i, signed)
			checkStep(t, s, next, signed)
			s = next
		}
	})
}

// randomStep applies a random step, which may be refused, and returns the
// resulting state.
func randomStep(t *rapid.T, s State, i int, signed map[uint64]string) State {
	by := rapid.SampledFrom([]string{"ann", "ben", "eve"}).Draw(t, "by")
	v := uint64(rapid.IntRange(0, int(s.Last)+1).Draw(t, "version"))
	r, _ := s.Find(v)
	expected := s.InForce
	if rapid.Bool().Draw(t, "stale") {
		expected = uint64(rapid.IntRange(0, int(s.InForce)).Draw(t, "seen"))
	}
	p := Step{Version: v, By: by, StepRequest: operatorapi.StepRequest{StepID: fmt.Sprint("s", i), Digest: r.Digest, ExpectedVersion: expected}}
	if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
		p.Digest = "other"
	}
	var next State
	var err error
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1:
		next, _, err = s.WithDraft(operatorapi.Version{
			WriteID: fmt.Sprint("w", i), Base: expected, Digest: fmt.Sprint("d", i%3), Writer: by,
		})
	case 2:
		next, r, err = s.WithSignature(p)
		if err == nil {
			signed[v] = r.Digest
		}
	case 3:
		next, _, err = s.WithRollout(p)
	case 4:
		next, _, err = s.WithCancel(p)
	case 5:
		next, _, err = s.WithDiscard(p)
	case 6:
		next, err = s.WithDecision(v, r.Step, []string{"i1"}, time.Time{})
	default:
		next, err = s.WithAcceptance(v, time.Time{})
	}
	if err != nil && len(next.Versions) != len(s.Versions) {
		t.Fatalf("a refused step changed the state")
	}
	return next
}

func checkStep(t *rapid.T, before, after State, signed map[uint64]string) {
	if after.InForce < before.InForce || after.Last < before.Last {
		t.Fatalf("went back from %d to %d", before.InForce, after.InForce)
	}
	if after.Rolling != 0 && after.Rolling < after.InForce {
		t.Fatalf("%d rolls below %d", after.Rolling, after.InForce)
	}
	staged := 0
	for _, r := range after.Versions {
		if r.Phase == operatorapi.Staging {
			staged++
		}
		if wasDecided(r.Phase) && (r.Signer == "" || r.Signer == r.Writer || signed[r.Version] != r.Digest) {
			t.Fatalf("version %d of %s came in force, signed by %q", r.Version, r.Writer, r.Signer)
		}
	}
	if staged > 1 {
		t.Fatalf("%d versions are staged", staged)
	}
	if after.InForce != before.InForce {
		old, _ := before.Find(after.InForce)
		if old.Phase != operatorapi.Staging {
			t.Fatalf("version %d was decided from %s", after.InForce, old.Phase)
		}
	}
}

func step(v uint64, by, digest string, expected uint64) Step {
	return Step{Version: v, By: by, StepRequest: operatorapi.StepRequest{StepID: by + digest, Digest: digest, ExpectedVersion: expected}}
}

// TestConflictingRolloutReportsTheCurrentState rolls out two concurrent drafts of
// two operators. The second operator must get a conflict that names the first
// rollout and carries the current state.
func TestConflictingRolloutReportsTheCurrentState(t *testing.T) {
	is := is.New(t)
	s := State{}
	for _, by := range []string{"ann", "ben"} {
		var err error
		s, _, err = s.WithDraft(operatorapi.Version{WriteID: by, Digest: by, Writer: by})
		is.NoErr(err)
	}
	s, _, err := s.WithSignature(step(1, "ann", "ann", 0))
	is.True(fault.Is(err, fault.Forbidden)) // the writer may not sign off
	s, _, err = s.WithSignature(step(1, "carol", "ben", 0))
	is.True(fault.Is(err, fault.Conflict)) // the digest of another content
	for v, digest := range map[uint64]string{1: "ann", 2: "ben"} {
		s, _, err = s.WithSignature(step(v, "carol", digest, 0))
		is.NoErr(err)
	}
	s, _, err = s.WithRollout(step(1, "ann", "ann", 0))
	is.NoErr(err)
	_, _, err = s.WithRollout(step(2, "ben", "ben", 0))
	is.True(fault.Is(err, fault.Conflict))
	is.True(strings.Contains(err.Error(), "ann is rolling version 1"))
	r, _ := s.Find(1)
	s, err = s.WithDecision(1, r.Step, []string{"i1"}, time.Time{})
	is.NoErr(err)
	_, _, err = s.WithRollout(step(2, "ben", "ben", 0))
	is.True(strings.Contains(err.Error(), "you saw version 0 in force; now it is version 1, rolled by ann"))
	var c *conflictError
	is.True(errors.As(err, &c))
	var response operatorapi.ErrorResponse
	c.AddCurrentState(&response)
	draft, ok := response.Bundle.Find(2)
	is.True(ok && draft.Phase == operatorapi.Signed) // the draft stays
	_, _, err = s.WithCancel(step(1, "ben", "ann", 0))
	is.True(strings.Contains(err.Error(), "can only go forward"))
}

func TestFullStateEvictsOnlyDecidedVersions(t *testing.T) {
	is := is.New(t)
	s := State{}
	for i := range maxVersions {
		var err error
		s, _, err = s.WithDraft(operatorapi.Version{WriteID: fmt.Sprint(i)})
		is.NoErr(err)
	}
	_, _, err := s.WithDraft(operatorapi.Version{WriteID: "more"})
	is.True(fault.Is(err, fault.Overloaded)) // no draft is dropped
	s.Versions[3].Phase = operatorapi.Superseded
	s.InForce = 9
	s, r, err := s.WithDraft(operatorapi.Version{WriteID: "more"})
	is.NoErr(err)
	is.Equal(r.Version, uint64(maxVersions+1))
	_, found := s.Find(4)
	is.True(!found)
}
