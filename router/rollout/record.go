package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
)

// Bounds on a decision in the store, which anyone may write.
const (
	maxRecordBytes = 16 << 10
	// maxTargetBytes bounds the version that a rollout is for.
	maxTargetBytes = 200
	// maxRecordedBarred bounds the versions that a decision bars.
	maxRecordedBarred = 64
	// longestDuration bounds the duration of a rollout.
	longestDuration = 7 * 24 * time.Hour
)

// Decode decodes the decision on a service in the store. Its JSON form is that of State.
func Decode(service string, data []byte) (State, error) {
	var st State
	if len(data) > maxRecordBytes {
		return st, fault.New(fault.TooLarge, "found %d bytes, the maximum is %d", len(data), maxRecordBytes).WithField("rollout")
	}
	if err := json.Unmarshal(data, &st); err != nil {
		return st, fault.Wrap(fault.BadRequest, err, "decode a rollout decision").WithField("rollout")
	}
	if field := invalidRolloutField(&st, service); field != "" {
		return st, fault.New(fault.BadRequest, "the decision is invalid").WithField(field)
	}
	return st, nil
}

// invalidRolloutField returns the name of the first invalid field of a decision, or "".
func invalidRolloutField(st *State, service string) string {
	phases := []Phase{Running, Completed, RolledBack}
	for _, c := range []struct {
		field string
		valid bool
	}{
		{"service", service != "" && st.Service == service},
		{"target", st.Target != "" && len(st.Target) <= maxTargetBytes},
		{"phase", slices.Contains(phases, st.Phase)},
		{"step", st.Step > 0},
		{"orderRevision", st.OrderRevision >= 0},
		{"orderEra", st.OrderEra >= 0},
		{"share", st.Share >= 0 && st.Share <= 1},
		{"runners", st.Runners >= 0},
		{"elapsed", st.Elapsed >= 0},
		{"duration", st.Duration >= 0 && st.Duration <= longestDuration},
		{"barred", len(st.Barred) <= maxRecordedBarred && !slices.Contains(st.Barred, "")},
	} {
		if !c.valid {
			return c.field
		}
	}
	return ""
}
