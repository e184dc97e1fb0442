package inventory

import (
	"maps"
	"time"
)

// departedFor is how long runners that left are remembered. It exceeds the age of a copy
// that the store comes back from, which is some seconds.
const departedFor = time.Minute

// departures holds the last descriptions of runners that left. It is not safe for concurrent
// use.
type departures struct {
	runners map[string]departure
}

type departure struct {
	runner *Runner
	at     time.Time
}

// note records the runners that next no longer has after changes of old. Those without a time
// of their start aren't: a later description of them can't be told from an earlier one.
func (d *departures) note(old, next *Snapshot, changes []Change, now time.Time) {
	if d.runners == nil {
		d.runners = make(map[string]departure)
	}
	maps.DeleteFunc(d.runners, func(_ string, gone departure) bool { return now.Sub(gone.at) >= departedFor })
	note := func(r *Runner) {
		if gone, known := d.runners[r.ID]; next.Runners[r.ID] == nil && r.Born != 0 && (!known || r.newerThan(gone.runner)) {
			d.runners[r.ID] = departure{runner: r, at: now}
		}
	}
	for _, r := range old.Runners {
		note(r)
	}
	for _, c := range changes {
		if c.Runner != nil {
			note(c.Runner)
		}
	}
}

// since returns the runners that are remembered at a time, by identifier.
func (d *departures) since(now time.Time) map[string]*Runner {
	out := make(map[string]*Runner, len(d.runners))
	for id, gone := range d.runners {
		if now.Sub(gone.at) < departedFor {
			out[id] = gone.runner
		}
	}
	return out
}
