package journal

// steps are all steps; the last stands for any other.
var steps = [...]Step{
	Admitted, Refused, Chosen, Sent, Answered, Retried, Hedged, Displaced, Dropped,
	Forwarded, Joined, Replayed, Placed, Cancelled, "other",
}

// indexOf returns the place of s in steps.
func indexOf(s Step) int {
	for i, known := range steps {
		if known == s {
			return i
		}
	}
	return len(steps) - 1
}
