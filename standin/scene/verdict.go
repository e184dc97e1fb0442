package scene

import (
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"github.com/rotisserie/eris"
)

// Verdict compares what callers were told of calls that may not be repeated
// with what the runners did.
type Verdict struct {
	Calls int `json:"calls"`
	// Ran, NotRun and Unknown count what the callers know in the end.
	Ran     int `json:"ran"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// RunTwice counts the keys that runners began more than once.
	RunTwice int `json:"runTwice"`
	// FalseNotRun counts the refusals as not run of calls that ran, and
	// FalseRun the answers of calls that did not.
	FalseNotRun int `json:"falseNotRun"`
	FalseRun    int `json:"falseRun"`
}

// call identifies a call by its team and its idempotency key.
type call struct{ team, key string }

// Judge returns the verdict of the records.
func Judge(recs []runner.Record, calls []load.Once) Verdict {
	begun := map[call]int{}
	requests := map[string]bool{}
	for _, rec := range recs {
		for _, run := range rec.Runs {
			begun[call{run.Team, run.Key}]++
			requests[run.Request] = true
		}
	}
	v := Verdict{Calls: len(calls)}
	for _, c := range calls {
		v.add(c, begun[call{c.Team, c.Key}], requests)
		for _, key := range c.GivenUp {
			if begun[call{c.Team, key}] > 0 {
				v.FalseNotRun++
			}
		}
	}
	return v
}

// add takes in a call that was begun n times.
func (v *Verdict) add(c load.Once, n int, requests map[string]bool) {
	if n > 1 {
		v.RunTwice++
	}
	for _, id := range c.NotRun {
		if requests[id] {
			v.FalseNotRun++
		}
	}
	switch c.Outcome {
	case fault.Run:
		v.Ran++
		if n == 0 {
			v.FalseRun++
		}
	case fault.NotRun:
		v.NotRun++
		if n > 0 {
			v.FalseNotRun++
		}
	default:
		v.Unknown++
	}
}

// Err returns an error when a caller was told what is not so, or a call ran
// more than once.
func (v Verdict) Err() error {
	if v.RunTwice+v.FalseNotRun+v.FalseRun == 0 {
		return nil
	}
	return eris.Errorf("calls that may not be repeated: %d run twice, %d falsely not run, %d falsely run",
		v.RunTwice, v.FalseNotRun, v.FalseRun)
}
