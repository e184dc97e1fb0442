package journal

// steps lists all steps. Its last element stands for steps that are not in the
// list.
var steps = [...]Step{
	Admitted, Refused, Chosen, Sent, Answered, Retried, Hedged, Preempted, Dropped,
	Forwarded, Joined, Replayed, Placed, Cancelled, "other",
}

// indexOf returns the index of s in steps, or that of the last element if s is
// not in the list.
func indexOf(s Step) int {
	for i, step := range steps {
		if step == s {
			return i
		}
	}
	return len(steps) - 1
}
