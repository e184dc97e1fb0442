package scene

import (
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"github.com/rotisserie/eris"
)

// OutcomeCounts compares what callers know about their non-idempotent calls with what
// the runners recorded.
type OutcomeCounts struct {
	Calls int `json:"calls"`
	// Ran, NotRun and Unknown count the calls by the outcome that the caller knows.
	Ran     int `json:"ran"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// RunTwice counts the idempotency keys for which runners started more than one run.
	RunTwice int `json:"runTwice"`
	// FalseNotRun counts the not-run outcomes reported for calls, attempts and replaced
	// keys that ran. FalseRun counts the answers to calls that did not run.
	FalseNotRun int `json:"falseNotRun"`
	FalseRun    int `json:"falseRun"`
}

// callKey identifies a call by its team and its idempotency key.
type callKey struct{ team, key string }

// CompareOutcomes compares the outcomes of calls with the runners' records.
func CompareOutcomes(recs []runner.Record, calls []load.CallOutcome) OutcomeCounts {
	runCounts := map[callKey]int{}
	ranRequests := map[string]bool{}
	for _, rec := range recs {
		for _, run := range rec.Runs {
			runCounts[callKey{run.Team, run.Key}]++
			ranRequests[run.Request] = true
		}
	}
	v := OutcomeCounts{Calls: len(calls)}
	for _, c := range calls {
		v.add(c, runCounts[callKey{c.Team, c.Key}], ranRequests)
		for _, key := range c.ReplacedKeys {
			if runCounts[callKey{c.Team, key}] > 0 {
				v.FalseNotRun++
			}
		}
	}
	return v
}

// add counts a call for which runners started runCount runs.
func (v *OutcomeCounts) add(c load.CallOutcome, runCount int, ranRequests map[string]bool) {
	if runCount > 1 {
		v.RunTwice++
	}
	for _, id := range c.NotRun {
		if ranRequests[id] {
			v.FalseNotRun++
		}
	}
	switch c.Outcome {
	case fault.Run:
		v.Ran++
		if runCount == 0 {
			v.FalseRun++
		}
	case fault.NotRun:
		v.NotRun++
		if runCount > 0 {
			v.FalseNotRun++
		}
	default:
		v.Unknown++
	}
}

// Err returns an error when a caller was told a false outcome or a call ran more
// than once.
func (v OutcomeCounts) Err() error {
	if v.RunTwice+v.FalseNotRun+v.FalseRun == 0 {
		return nil
	}
	return eris.Errorf("calls that may not be repeated: %d run twice, %d falsely not run, %d falsely run",
		v.RunTwice, v.FalseNotRun, v.FalseRun)
}
