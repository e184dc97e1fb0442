package quarantine

import (
	"slices"
	"time"
)

// crash is the crash of one incarnation of a runner.
type crash struct {
	service, runner, zone string
	born                  int64
	at                    time.Time
	// reporters has the instances that saw the crash.
	reporters []string
	// calls has the parts of each suspect, in order, and proven those that are proven in
	// one.
	calls  [][]string
	proven map[string]struct{}
}

// add records the parts of a suspect, and reports whether they are new.
func (c *crash) add(reporter string, parts, proven []string) bool {
	if !slices.Contains(c.reporters, reporter) && len(c.reporters) < maxCalls {
		c.reporters = append(c.reporters, reporter)
	}
	for _, p := range proven {
		if _, ok := slices.BinarySearch(parts, p); ok {
			c.proven[p] = struct{}{}
		}
	}
	same := func(call []string) bool { return slices.Equal(call, parts) }
	if len(c.calls) >= maxCalls || slices.ContainsFunc(c.calls, same) {
		return false
	}
	c.calls = append(c.calls, parts)
	return true
}

// size returns the number of parts of all suspects.
func (c *crash) size() int {
	n := 0
	for _, call := range c.calls {
		n += len(call)
	}
	return n
}

// validParts returns the parts in order, without those that can't be quarantined.
func validParts(parts []string) []string {
	parts = slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return p == "" || len(p) > maxPartBytes })
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), maxCallParts)]
}

// independent counts the crashes, with related ones as one.
func independent(crashes []*crash) int {
	var counted []*crash
	for _, c := range crashes {
		related := func(other *crash) bool {
			return c.at.Sub(other.at) < relatedCrashes &&
				(c.zone == other.zone || (len(c.reporters) == 1 && slices.Equal(c.reporters, other.reporters)))
		}
		if !slices.ContainsFunc(counted, related) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// parts returns the parts of all suspects, with the indices of the suspects that have
// them.
func (c *crash) parts() map[string][]int {
	out := make(map[string][]int)
	for n, call := range c.calls {
		for _, p := range call {
			out[p] = append(out[p], n)
		}
	}
	return out
}

// has reports whether one of the suspects has all the parts.
func (c *crash) has(parts []string) bool {
	return slices.ContainsFunc(c.calls, func(call []string) bool { return containsAll(call, parts) })
}
