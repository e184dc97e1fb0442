package timeline

import (
	"fmt"
	"strings"
	"time"

	"cicadawell.dev/fleet/fault"
)

// causeWithoutLines returns the cause for a request that no log line shows.
func causeWithoutLines(droppedLines int) string {
	if droppedLines > 0 {
		return fmt.Sprintf("no instance wrote a line about this request; %d log lines were left out, so it may have been served", droppedLines)
	}
	return "no instance wrote a line about this request: it didn't arrive completely, or the logs of the instance that received it are missing"
}

// lastStep returns the last step with the given log message, without contextual
// lines.
func (t *Timeline) lastStep(message string) (Step, bool) {
	for i := len(t.Steps) - 1; i >= 0; i-- {
		if t.Steps[i].Step == message && !t.Steps[i].Contextual {
			return t.Steps[i], true
		}
	}
	return Step{}, false
}

func (s Step) text(name string) string { return fmt.Sprint(orNone(s.Fields[name])) }

func (s Step) number(name string) float64 {
	n, _ := s.Fields[name].(float64)
	return n
}

func orNone(v any) any {
	if v == nil || v == "" {
		return "none"
	}
	return v
}

// cause returns why the request ended as it did. restarted is the next start of the
// receiving instance after the request, or zero.
func (t *Timeline) cause(restarted time.Time) string {
	if end, ok := t.lastStep("refused"); ok {
		return t.refusedCause(end)
	}
	for _, message := range []string{"stream broken off", "answer broken off"} {
		if end, ok := t.lastStep(message); ok {
			return fmt.Sprintf("the answer was broken off after %s events: %s%s", end.text("events"), end.text("error"), t.attemptsText())
		}
	}
	if end, ok := t.lastStep("answered"); ok {
		return t.answeredCause(end)
	}
	if !restarted.IsZero() {
		return fmt.Sprintf("%s ended while the request was open and started again at %s", t.Process, restarted.UTC().Format(time.RFC3339Nano))
	}
	return fmt.Sprintf("no log line records its end: it was still open when the logs of %s end, or the process was killed%s", t.Process, t.slowestPartText())
}

// refusedCause returns the cause for a request that was refused; end is the step
// that reports the refusal.
func (t *Timeline) refusedCause(end Step) string {
	switch kind := fault.Kind(end.text("kind")); kind {
	case fault.Overloaded, fault.NoRunner:
		return t.noCapacityCause(end)
	case fault.StaleConfiguration, fault.NotReady:
		return "the instance couldn't know whether its configuration is the newest: " + end.text("error")
	case fault.Quarantined:
		return "its prompt is in quarantine: " + end.text("error") + t.attemptsText()
	case fault.DeadlineTooShort, fault.DeadlineExceeded:
		return "its time was over: " + end.text("error") + t.slowestPartText() + t.attemptsText()
	case fault.OutcomeUnknown, fault.RunnerFailed:
		return "no usable answer came, and it couldn't be sent again" + t.attemptsText()
	case fault.CallerGone:
		return "the caller left: " + end.text("error") + t.slowestPartText()
	default:
		return "refused: " + end.text("error")
	}
}

// noCapacityCause returns the cause for a request refused for lack of capacity or
// of a runner; end is the step that reports the refusal.
func (t *Timeline) noCapacityCause(end Step) string {
	if r, ok := t.lastStep("stage refused"); ok {
		return fmt.Sprintf("stage %s (service %s) would have kept it waiting for %.0f ms, against an objective of %.0f ms; refused before any work",
			r.text("stage"), r.text("service"), r.number("waitMillis"), r.number("objectiveMillis"))
	}
	if f, ok := t.lastStep("stage failed"); ok {
		return fmt.Sprintf("stage %s (service %s) couldn't be made: %s", f.text("stage"), f.text("service"), f.text("failure")) + t.slowestPartText()
	}
	return end.text("error") + t.attemptsText()
}

// answeredCause returns the cause for a request that was answered; end is the step
// that reports the response.
func (t *Timeline) answeredCause(end Step) string {
	if status := end.number("status"); status >= 500 {
		return fmt.Sprintf("the runner itself answered %.0f", status) + t.attemptsText()
	}
	text := fmt.Sprintf("answered %.0f after %.0f ms", end.number("status"), end.number("afterMillis"))
	first := end.number("afterMillis")
	if f, ok := t.lastStep("first event"); ok {
		first = f.number("afterMillis")
		text += fmt.Sprintf(", first event after %.0f ms", first)
	}
	if objective := end.number("objectiveMillis"); objective > 0 && first > objective {
		text += fmt.Sprintf("; late against an objective of %.0f ms", objective) + t.slowestPartText()
	}
	return text
}

// attemptsText lists the attempts at runners with their results, in parentheses.
func (t *Timeline) attemptsText() string {
	var attempts []string
	for _, step := range t.Steps {
		if step.Step != "sent" {
			continue
		}
		result := "status " + step.text("status")
		if step.Fields["error"] != nil {
			result = step.text("error")
		}
		attempts = append(attempts, fmt.Sprintf("runner %s after %.0f ms: %s", step.text("runner"), step.TookMillis, result))
	}
	if len(attempts) == 0 {
		return ""
	}
	return " (" + strings.Join(attempts, "; ") + ")"
}

// slowestPartText names the stage, attempt or wait for the first event that took
// the longest. It returns "" if another step did, or none has a duration.
func (t *Timeline) slowestPartText() string {
	var slowest Step
	for _, step := range t.Steps {
		if !step.Contextual && step.Process == t.Process && step.TookMillis > slowest.TookMillis {
			slowest = step
		}
	}
	if sent, ok := t.lastStep("sent"); ok {
		if first, ok := t.lastStep("first event"); ok && first.number("afterMillis")-sent.AfterMillis > slowest.TookMillis {
			return fmt.Sprintf("; most of it went into the first event of runner %s: %.0f ms", sent.text("runner"), first.number("afterMillis")-sent.AfterMillis)
		}
	}
	switch slowest.Step {
	case "stage made":
		return fmt.Sprintf("; most of it went into stage %s (service %s): %.0f ms", slowest.text("stage"), slowest.text("service"), slowest.TookMillis)
	case "sent":
		return fmt.Sprintf("; most of it went into the answer of runner %s: %.0f ms", slowest.text("runner"), slowest.TookMillis)
	}
	return ""
}
