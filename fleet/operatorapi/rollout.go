package operatorapi

// PathRollouts lists the rollouts of versions. Instances on the users' platform serve it
// on the listener of the readiness probe, without a key.
const PathRollouts = "/rollouts"

// RolloutList is the response to a request for PathRollouts.
type RolloutList struct {
	Instance string          `json:"instance"`
	Rows     []RolloutStatus `json:"rollouts"`
}

// RolloutCounts has a number for the old versions and one for the target version.
type RolloutCounts struct {
	Old    int64 `json:"old"`
	Target int64 `json:"target"`
}

// RolloutStatus is what one instance knows of the rollout of a service.
type RolloutStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Phase is "ordered" until the first decision, and then "running", "completed" or
	// "rolledBack".
	Phase string `json:"phase"`
	// Step is the number of the decision that this instance applies, Share the share of
	// the calls that goes to the target version, and Runners the number of its runners
	// that get them; zero means all.
	Step    int64   `json:"step"`
	Share   float64 `json:"share"`
	Runners int     `json:"runners,omitempty"`
	// ElapsedMillis is the time since the order.
	ElapsedMillis  int64    `json:"elapsedMillis"`
	DurationMillis int64    `json:"durationMillis"`
	Reason         string   `json:"reason,omitempty"`
	Barred         []string `json:"barred,omitempty"`
	// Stored reports whether the decision is known to be in the store.
	Stored bool `json:"stored"`
	// Withdrawn reports whether the order is no longer in the store.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Decider is the instance that decides, and InContact whether this instance hears
	// from it or from the store.
	Decider   string `json:"decider,omitempty"`
	InContact bool   `json:"inContact"`
	// Answers, Failures and InFlight are those of this instance.
	Answers  RolloutCounts `json:"answers"`
	Failures RolloutCounts `json:"failures"`
	InFlight RolloutCounts `json:"inFlight"`
	// Fleet is what the decider knows of all instances; nil elsewhere.
	Fleet *RolloutFleet `json:"fleet,omitempty"`
}

// RolloutFleet is what a decider knows of all instances.
type RolloutFleet struct {
	// Reporting is the number of instances whose reports are up to date, Unconfirmed
	// that of the registered instances that haven't reported the step in force.
	Reporting   int           `json:"reporting"`
	Unconfirmed int           `json:"unconfirmed"`
	Answers     RolloutCounts `json:"answers"`
	Failures    RolloutCounts `json:"failures"`
	InFlight    RolloutCounts `json:"inFlight"`
}
