// Package overview summarizes from log lines the state of each process of a
// fleet over time and the outcomes of requests.
package overview

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/ctl/logs"
)

// Point is a sample of a step series: the value holds from At to the next point.
type Point struct {
	// At is the time since the first line of the logs.
	At    time.Duration `json:"at"`
	Value float64       `json:"value"`
}

// Interval is a period; both ends count from the first line of the logs.
type Interval struct {
	From, To time.Duration
}

// Process is the state of one process over time, as its log lines report it.
type Process struct {
	Name string `json:"name"`
	// Versions are the versions of the configuration in force.
	Versions []Point `json:"versions"`
	// Members and Runners are the numbers of instances and runners that the
	// process knew.
	Members []Point `json:"members"`
	Runners []Point `json:"runners"`
	// StoreOutages are the periods in which the process had lost the store.
	StoreOutages []Interval `json:"storeLost"`
	// Starts are the times at which the process started.
	Starts []time.Duration `json:"starts"`
	// UnresponsivePeers counts the log lines about an instance that didn't respond:
	// the owner of a stage or placement, or the one that reads the store for others.
	UnresponsivePeers int `json:"setAside"`
}

// Overview is a summary of the logs of a fleet.
type Overview struct {
	From      time.Time     `json:"from"`
	Length    time.Duration `json:"length"`
	Processes []Process     `json:"processes"`
	// Outcomes has, for each outcome, how many requests ended with it in each
	// second. The outcomes are "answered", "broken off" and the kinds of refusals.
	Outcomes map[string][]int `json:"answers"`
	// DroppedLines is how many log lines the processes dropped.
	DroppedLines int `json:"leftOut"`
}

// FromLines builds an overview. Lines may be in any order; those without a
// timestamp are ignored.
func FromLines(lines []logs.Line) Overview {
	lines = slices.Clone(lines)
	lines = slices.DeleteFunc(lines, func(l logs.Line) bool { return l.At.IsZero() })
	slices.SortStableFunc(lines, func(a, b logs.Line) int { return a.At.Compare(b.At) })
	o := Overview{Outcomes: make(map[string][]int)}
	if len(lines) == 0 {
		return o
	}
	o.From, o.Length = lines[0].At, lines[len(lines)-1].At.Sub(lines[0].At)
	trackers := make(map[string]*processTracker)
	for _, l := range lines {
		at := l.At.Sub(o.From)
		tracker := trackers[l.Process]
		if tracker == nil {
			tracker = newProcessTracker(l.Process)
			trackers[l.Process] = tracker
		}
		tracker.apply(l, at)
		o.countOutcome(l, at)
	}
	for _, tracker := range trackers {
		if tracker.empty() {
			continue // its lines report no state, such as output before the first log line
		}
		tracker.finish(o.Length)
		o.Processes = append(o.Processes, tracker.Process)
	}
	slices.SortFunc(o.Processes, func(a, b Process) int { return cmp.Compare(a.Name, b.Name) })
	return o
}

// countOutcome adds l to the outcomes if it ends a request, or to the dropped
// lines if it reports some.
func (o *Overview) countOutcome(l logs.Line, at time.Duration) {
	outcome := l.Message
	switch l.Message {
	case "answered":
	case "refused":
		outcome = l.Text("kind")
	case "stream broken off", "answer broken off":
		outcome = "broken off"
	case "lines left out":
		n, _ := l.Number("count")
		o.DroppedLines += int(n)
		return
	default:
		return
	}
	second := int(at / time.Second)
	for len(o.Outcomes[outcome]) <= second {
		o.Outcomes[outcome] = append(o.Outcomes[outcome], 0)
	}
	o.Outcomes[outcome][second]++
}

// processTracker derives the state of one process from its lines in time order.
type processTracker struct {
	Process
	members, runners map[string]bool
	storeLostAt      time.Duration
	storeLost        bool
}

func newProcessTracker(name string) *processTracker {
	t := &processTracker{Process: Process{Name: name}}
	t.reset()
	return t
}

func (t *processTracker) reset() {
	t.members, t.runners = make(map[string]bool), make(map[string]bool)
}

func (t *processTracker) apply(l logs.Line, at time.Duration) {
	switch l.Message {
	case "started":
		t.endOutage(at)
		t.reset()
		t.Starts = append(t.Starts, at)
	case "configuration in force":
		if n, ok := l.Number("version"); ok {
			t.Versions = append(t.Versions, Point{At: at, Value: n})
		}
	case "instance seen", "instance gone":
		t.Members = appendCount(t.Members, t.members, l.Text("instance"), l.Message == "instance seen", at)
	case "runner seen", "runner gone":
		t.Runners = appendCount(t.Runners, t.runners, l.Text("runner"), l.Message == "runner seen", at)
	case "store lost":
		t.storeLost, t.storeLostAt = true, at
	case "store regained":
		t.endOutage(at)
	case "owner of a stage doesn't answer", "owner of a placement doesn't answer", "instance that reads the store for others doesn't answer":
		t.UnresponsivePeers++
	}
}

// appendCount adds name to names or removes it, and appends the new number of
// names to points.
func appendCount(points []Point, names map[string]bool, name string, seen bool, at time.Duration) []Point {
	if seen {
		names[name] = true
	} else {
		delete(names, name)
	}
	return append(points, Point{At: at, Value: float64(len(names))})
}

func (t *processTracker) endOutage(at time.Duration) {
	if t.storeLost {
		t.StoreOutages = append(t.StoreOutages, Interval{From: t.storeLostAt, To: at})
	}
	t.storeLost = false
}

// empty reports whether no line of the process reported its state.
func (t *processTracker) empty() bool {
	return len(t.Versions)+len(t.Members)+len(t.Runners)+len(t.Starts) == 0
}

func (t *processTracker) finish(at time.Duration) { t.endOutage(at) }
