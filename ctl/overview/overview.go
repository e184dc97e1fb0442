// Package overview draws from log lines what a fleet believed and how it
// answered.
package overview

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/ctl/logs"
)

// Point is a value from a time on.
type Point struct {
	// At counts from the first line of the logs.
	At    time.Duration `json:"at"`
	Value float64       `json:"value"`
}

// Span is a time in which a dependency was lost.
type Span struct {
	From, To time.Duration
}

// Process is what one process believed.
type Process struct {
	Name string `json:"name"`
	// Versions are the configurations in force.
	Versions []Point `json:"versions"`
	// Members and Runners are how many of each were known.
	Members []Point `json:"members"`
	Runners []Point `json:"runners"`
	// StoreLost are the times without the store.
	StoreLost []Span `json:"storeLost"`
	// Starts are its starts.
	Starts []time.Duration `json:"starts"`
	// SetAside counts owners and runners that didn't answer it.
	SetAside int `json:"setAside"`
}

// Overview is what the logs tell of a fleet.
type Overview struct {
	From      time.Time     `json:"from"`
	Length    time.Duration `json:"length"`
	Processes []Process     `json:"processes"`
	// Answers has, for each outcome, how many requests ended with it in each
	// second. The outcomes are "answered" and the kinds of refusals.
	Answers map[string][]int `json:"answers"`
	LeftOut int              `json:"leftOut"`
}

// Of reads an overview out of lines in any order.
func Of(lines []logs.Line) Overview {
	lines = slices.Clone(lines)
	lines = slices.DeleteFunc(lines, func(l logs.Line) bool { return l.At.IsZero() })
	slices.SortStableFunc(lines, func(a, b logs.Line) int { return a.At.Compare(b.At) })
	o := Overview{Answers: make(map[string][]int)}
	if len(lines) == 0 {
		return o
	}
	o.From, o.Length = lines[0].At, lines[len(lines)-1].At.Sub(lines[0].At)
	known := make(map[string]*beliefs)
	for _, l := range lines {
		at := l.At.Sub(o.From)
		b := known[l.Process]
		if b == nil {
			b = newBeliefs(l.Process)
			known[l.Process] = b
		}
		b.take(l, at)
		o.count(l, at)
	}
	for _, b := range known {
		if b.empty() {
			continue // lines before the logs proper
		}
		b.end(o.Length)
		o.Processes = append(o.Processes, b.Process)
	}
	slices.SortFunc(o.Processes, func(a, b Process) int { return cmp.Compare(a.Name, b.Name) })
	return o
}

// count counts the ends of requests.
func (o *Overview) count(l logs.Line, at time.Duration) {
	outcome := l.Message
	switch l.Message {
	case "answered":
	case "refused":
		outcome = l.Text("kind")
	case "stream broken off", "answer broken off":
		outcome = "broken off"
	case "lines left out":
		n, _ := l.Number("count")
		o.LeftOut += int(n)
		return
	default:
		return
	}
	second := int(at / time.Second)
	for len(o.Answers[outcome]) <= second {
		o.Answers[outcome] = append(o.Answers[outcome], 0)
	}
	o.Answers[outcome][second]++
}

// beliefs follow the lines of one process.
type beliefs struct {
	Process
	members, runners map[string]bool
	lostAt           time.Duration
	lost             bool
}

func newBeliefs(name string) *beliefs {
	b := &beliefs{Process: Process{Name: name}}
	b.reset()
	return b
}

func (b *beliefs) reset() {
	b.members, b.runners = make(map[string]bool), make(map[string]bool)
}

func (b *beliefs) take(l logs.Line, at time.Duration) {
	switch l.Message {
	case "started":
		b.regained(at)
		b.reset()
		b.Starts = append(b.Starts, at)
	case "configuration in force":
		if n, ok := l.Number("version"); ok {
			b.Versions = append(b.Versions, Point{At: at, Value: n})
		}
	case "instance seen", "instance gone":
		b.Members = note(b.Members, b.members, l.Text("instance"), l.Message == "instance seen", at)
	case "runner seen", "runner gone":
		b.Runners = note(b.Runners, b.runners, l.Text("runner"), l.Message == "runner seen", at)
	case "store lost":
		b.lost, b.lostAt = true, at
	case "store regained":
		b.regained(at)
	case "owner of a stage doesn't answer", "owner of a placement doesn't answer", "instance that reads the store for others doesn't answer":
		b.SetAside++
	}
}

// note adds or removes a name and appends how many there are now.
func note(points []Point, names map[string]bool, name string, seen bool, at time.Duration) []Point {
	if seen {
		names[name] = true
	} else {
		delete(names, name)
	}
	return append(points, Point{At: at, Value: float64(len(names))})
}

func (b *beliefs) regained(at time.Duration) {
	if b.lost {
		b.StoreLost = append(b.StoreLost, Span{From: b.lostAt, To: at})
	}
	b.lost = false
}

// empty reports whether the process said nothing of what it believes.
func (b *beliefs) empty() bool {
	return len(b.Versions)+len(b.Members)+len(b.Runners)+len(b.Starts) == 0
}

func (b *beliefs) end(at time.Duration) { b.regained(at) }
