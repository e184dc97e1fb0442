// Package story tells from log lines what became of one request.
package story

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cicadawell.dev/ctl/logs"
)

// Step is a decision or an event of a request.
type Step struct {
	// AfterMillis counts from the arrival of the request, by the clock of the
	// instance that took it.
	AfterMillis float64 `json:"afterMillis"`
	// TookMillis is negative if the step has no length.
	TookMillis float64 `json:"tookMillis"`
	Process    string  `json:"process"`
	Step       string  `json:"step"`
	// Fields are those of the line.
	Fields map[string]any `json:"fields"`
	// Belief is set for lines that don't name the request: what the instance
	// learned meanwhile.
	Belief bool `json:"belief,omitempty"`
}

// Story is what the logs tell of a request.
type Story struct {
	Request string `json:"request"`
	// Process is the instance that took the request, or "" if no line tells.
	Process string    `json:"process"`
	Arrived time.Time `json:"arrived"`
	Steps   []Step    `json:"steps"`
	// Cause is one sentence on why it ended as it did.
	Cause string `json:"cause"`
	// ShiftMillis is by how much the clocks of other processes had to be moved
	// to fit.
	ShiftMillis map[string]float64 `json:"shiftMillis,omitempty"`
	// LeftOut is how many lines the processes left out.
	LeftOut int `json:"leftOut,omitempty"`
}

// spans are the fields that tell for how long something took until its line.
var spans = []string{"tookMillis"}

// sinceArrival are the fields that count from the arrival.
var sinceArrival = []string{"afterMillis", "sinceMillis"}

// Of tells the story of a request. Lines may be in any order, and the clocks of
// the processes apart.
func Of(lines []logs.Line, request string) Story {
	s := Story{Request: request, ShiftMillis: make(map[string]float64)}
	var own []logs.Line
	for _, l := range lines {
		if l.Message == "lines left out" {
			n, _ := l.Number("count")
			s.LeftOut += int(n)
		}
		if concerns(l, request) {
			own = append(own, l)
		}
	}
	s.Process = taker(own)
	if s.Process == "" {
		s.Cause = unseen(s.LeftOut)
		return s
	}
	var end time.Time
	s.Arrived, end = bounds(own, s.Process)
	for process, part := range byProcess(own) {
		shift := time.Duration(0)
		if process != s.Process {
			shift = fit(part, s.Arrived, end)
		}
		if shift != 0 {
			s.ShiftMillis[process] = millis(shift)
		}
		for _, l := range part {
			s.add(l, shift, false)
		}
	}
	used := runners(own)
	for _, l := range lines {
		if l.Process == s.Process && !l.At.Before(s.Arrived) && !l.At.After(end) && belief(l, used) {
			s.add(l, 0, true)
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.AfterMillis, b.AfterMillis), cmp.Compare(a.Process, b.Process))
	})
	s.Cause = s.cause(restart(lines, s.Process, end))
	return s
}

// concerns reports whether a line is about a request. Orders of pieces are named
// by their request and a number.
func concerns(l logs.Line, request string) bool {
	if l.Names("request", request) || l.Names("requests", request) {
		return true
	}
	order, _, _ := strings.Cut(l.Text("order"), "/")
	return order == request
}

// belief reports whether a line without a request may bear on one that used some
// runners: a failure of its own, or news of those runners.
func belief(l logs.Line, used map[string]bool) bool {
	for _, name := range []string{"request", "requests", "order"} {
		if _, ok := l.Fields[name]; ok {
			return false
		}
	}
	return l.Level == "warn" || l.Level == "error" || used[l.Text("runner")]
}

// runners returns those that lines name.
func runners(lines []logs.Line) map[string]bool {
	out := make(map[string]bool)
	for _, l := range lines {
		if r := l.Text("runner"); r != "" {
			out[r] = true
		}
	}
	return out
}

// taker returns the process that took the request: the one that answered it, or
// sent it on, or had its stages made.
func taker(own []logs.Line) string {
	for _, messages := range [][]string{{"answered", "refused", "stream broken off", "answer broken off"}, {"sent", "stage made", "stage refused", "first event"}} {
		for _, l := range own {
			if slices.Contains(messages, l.Message) {
				return l.Process
			}
		}
	}
	return ""
}

func byProcess(own []logs.Line) map[string][]logs.Line {
	out := make(map[string][]logs.Line)
	for _, l := range own {
		out[l.Process] = append(out[l.Process], l)
	}
	return out
}

// bounds returns when a request came and when its last line was written.
func bounds(own []logs.Line, process string) (arrived, end time.Time) {
	for _, l := range own {
		if l.Process != process {
			continue
		}
		start := l.At
		for _, name := range append(spans, sinceArrival...) {
			if d, ok := l.Millis(name); ok && l.At.Add(-d).Before(start) {
				start = l.At.Add(-d)
			}
		}
		if arrived.IsZero() || start.Before(arrived) {
			arrived = start
		}
		if l.At.After(end) {
			end = l.At
		}
	}
	return arrived, end
}

// fit returns by how much the lines of another process have to be moved so that
// they stand between two times.
func fit(part []logs.Line, arrived, end time.Time) time.Duration {
	first, last := part[0].At, part[0].At
	for _, l := range part {
		start := l.At
		if d, ok := l.Millis("tookMillis"); ok {
			start = start.Add(-d)
		}
		if start.Before(first) {
			first = start
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	switch {
	case first.Before(arrived):
		return arrived.Sub(first)
	case last.After(end):
		return end.Sub(last)
	}
	return 0
}

func (s *Story) add(l logs.Line, shift time.Duration, belief bool) {
	step := Step{Process: l.Process, Step: l.Message, Fields: l.Fields, Belief: belief, TookMillis: -1}
	at := l.At.Add(shift)
	if took, ok := l.Millis("tookMillis"); ok {
		step.TookMillis = millis(took)
		at = at.Add(-took)
	}
	step.AfterMillis = millis(at.Sub(s.Arrived))
	s.Steps = append(s.Steps, step)
}

// restart returns when a process started again after a time, or zero.
func restart(lines []logs.Line, process string, after time.Time) time.Time {
	var first time.Time
	for _, l := range lines {
		if l.Process == process && l.Message == "started" && l.At.After(after) && (first.IsZero() || l.At.Before(first)) {
			first = l.At
		}
	}
	return first
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
