// Package timeline reconstructs the timeline of one request from log lines and
// derives why the request ended as it did.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cicadawell.dev/ctl/logs"
)

// Step is one log line in the timeline of a request.
type Step struct {
	// AfterMillis is the start of the step in milliseconds since the arrival of
	// the request, by the clock of the instance that received it.
	AfterMillis float64 `json:"afterMillis"`
	// TookMillis is the duration in milliseconds, or -1 if the line reports none.
	TookMillis float64 `json:"tookMillis"`
	Process    string  `json:"process"`
	Step       string  `json:"step"`
	// Fields are the fields of the log line.
	Fields map[string]any `json:"fields"`
	// Contextual is set for a line that doesn't name the request: a warning or an
	// event at the receiving instance while the request was open.
	Contextual bool `json:"belief,omitempty"`
}

// Timeline is the course of a request, as reconstructed from log lines.
type Timeline struct {
	Request string `json:"request"`
	// Process is the instance that received the request, or "" if no line shows it.
	Process string    `json:"process"`
	Arrived time.Time `json:"arrived"`
	Steps   []Step    `json:"steps"`
	// Cause is one sentence that says why the request ended as it did.
	Cause string `json:"cause"`
	// ClockCorrectionMillis is, by process, what was added to the times of its
	// lines to correct for a clock that differs from that of Process.
	ClockCorrectionMillis map[string]float64 `json:"shiftMillis,omitempty"`
	// DroppedLines is how many log lines the processes dropped.
	DroppedLines int `json:"leftOut,omitempty"`
}

// durationFields are the fields that hold the duration of a step. The line is
// written at the end of the step.
var durationFields = []string{"tookMillis"}

// sinceArrivalFields are the fields that hold the time since the arrival of the
// request.
var sinceArrivalFields = []string{"afterMillis", "sinceMillis"}

// FromLines builds the timeline of a request. Lines may be in any order, and the
// clocks of the processes may differ.
func FromLines(lines []logs.Line, request string) Timeline {
	t := Timeline{Request: request, ClockCorrectionMillis: make(map[string]float64)}
	var requestLines []logs.Line
	for _, l := range lines {
		if l.Message == "lines left out" {
			n, _ := l.Number("count")
			t.DroppedLines += int(n)
		}
		if concernsRequest(l, request) {
			requestLines = append(requestLines, l)
		}
	}
	t.Process = receivingProcess(requestLines)
	if t.Process == "" {
		t.Cause = causeWithoutLines(t.DroppedLines)
		return t
	}
	var end time.Time
	t.Arrived, end = requestInterval(requestLines, t.Process)
	for process, part := range groupByProcess(requestLines) {
		correction := time.Duration(0)
		if process != t.Process {
			correction = clockCorrection(part, t.Arrived, end)
		}
		if correction != 0 {
			t.ClockCorrectionMillis[process] = millis(correction)
		}
		for _, l := range part {
			t.addStep(l, correction, false)
		}
	}
	usedRunners := runnersIn(requestLines)
	for _, l := range lines {
		if l.Process == t.Process && !l.At.Before(t.Arrived) && !l.At.After(end) && isContextual(l, usedRunners) {
			t.addStep(l, 0, true)
		}
	}
	slices.SortStableFunc(t.Steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.AfterMillis, b.AfterMillis), cmp.Compare(a.Process, b.Process))
	})
	t.Cause = t.cause(nextStart(lines, t.Process, end))
	return t
}

// concernsRequest reports whether a line is about a request. The ID of a stage's
// order consists of the ID of the request, a slash and a number.
func concernsRequest(l logs.Line, request string) bool {
	if l.HasValue("request", request) || l.HasValue("requests", request) {
		return true
	}
	order, _, _ := strings.Cut(l.Text("order"), "/")
	return order == request
}

// isContextual reports whether a line that names no request may explain one that
// used usedRunners: it is a warning or an error, or is about one of these runners.
func isContextual(l logs.Line, usedRunners map[string]bool) bool {
	for _, name := range []string{"request", "requests", "order"} {
		if _, ok := l.Fields[name]; ok {
			return false
		}
	}
	return l.Level == "warn" || l.Level == "error" || usedRunners[l.Text("runner")]
}

// runnersIn returns the runners that lines name.
func runnersIn(lines []logs.Line) map[string]bool {
	out := make(map[string]bool)
	for _, l := range lines {
		if r := l.Text("runner"); r != "" {
			out[r] = true
		}
	}
	return out
}

// receivingProcess returns the process that received the request from the caller:
// the one that logged its end or, failing that, a step of its execution. It returns
// "" if no line shows either.
func receivingProcess(lines []logs.Line) string {
	for _, messages := range [][]string{{"answered", "refused", "stream broken off", "answer broken off"}, {"sent", "stage made", "stage refused", "first event"}} {
		for _, l := range lines {
			if slices.Contains(messages, l.Message) {
				return l.Process
			}
		}
	}
	return ""
}

func groupByProcess(lines []logs.Line) map[string][]logs.Line {
	out := make(map[string][]logs.Line)
	for _, l := range lines {
		out[l.Process] = append(out[l.Process], l)
	}
	return out
}

// requestInterval returns when a request arrived at process and when its last line
// was written there. The arrival is the earliest time that a line or its durations
// point to.
func requestInterval(lines []logs.Line, process string) (arrived, end time.Time) {
	for _, l := range lines {
		if l.Process != process {
			continue
		}
		start := l.At
		for _, name := range append(durationFields, sinceArrivalFields...) {
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

// clockCorrection returns the duration to add to the times of another process's
// lines so that they fit between arrived and end. It is 0 if they fit; otherwise it
// aligns their start with arrived or, if only their end is outside, that with end.
func clockCorrection(lines []logs.Line, arrived, end time.Time) time.Duration {
	first, last := lines[0].At, lines[0].At
	for _, l := range lines {
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

func (t *Timeline) addStep(l logs.Line, correction time.Duration, contextual bool) {
	step := Step{Process: l.Process, Step: l.Message, Fields: l.Fields, Contextual: contextual, TookMillis: -1}
	at := l.At.Add(correction)
	if took, ok := l.Millis("tookMillis"); ok {
		step.TookMillis = millis(took)
		at = at.Add(-took)
	}
	step.AfterMillis = millis(at.Sub(t.Arrived))
	t.Steps = append(t.Steps, step)
}

// nextStart returns when a process first started after a time, or zero if it
// didn't.
func nextStart(lines []logs.Line, process string, after time.Time) time.Time {
	var first time.Time
	for _, l := range lines {
		if l.Process == process && l.Message == "started" && l.At.After(after) && (first.IsZero() || l.At.Before(first)) {
			first = l.At
		}
	}
	return first
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
