package story

import (
	"fmt"
	"strings"
	"time"

	"cicadawell.dev/fleet/fault"
)

// unseen is the cause of a request of which no instance wrote a line.
func unseen(leftOut int) string {
	if leftOut > 0 {
		return fmt.Sprintf("no instance wrote a line about this request; %d lines were left out, so that it may have been served", leftOut)
	}
	return "no instance wrote a line about this request: it didn't arrive whole, or the logs of the instance that took it are missing"
}

// last returns the last step of a kind that isn't a belief.
func (s *Story) last(message string) (Step, bool) {
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if s.Steps[i].Step == message && !s.Steps[i].Belief {
			return s.Steps[i], true
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

// cause says why the request ended as it did. The instance's next start, if
// there is one, is restarted.
func (s *Story) cause(restarted time.Time) string {
	if end, ok := s.last("refused"); ok {
		return s.refused(end)
	}
	for _, message := range []string{"stream broken off", "answer broken off"} {
		if end, ok := s.last(message); ok {
			return fmt.Sprintf("the answer was broken off after %s events: %s%s", end.text("events"), end.text("error"), s.lastRunner())
		}
	}
	if end, ok := s.last("answered"); ok {
		return s.answered(end)
	}
	if !restarted.IsZero() {
		return fmt.Sprintf("%s ended while the request was open and started again at %s", s.Process, restarted.UTC().Format(time.RFC3339Nano))
	}
	return fmt.Sprintf("no line tells its end: it was open when the logs of %s end, or the process was killed%s", s.Process, s.longest())
}

// refused gives the cause of a request that an instance refused.
func (s *Story) refused(end Step) string {
	switch kind := fault.Kind(end.text("kind")); kind {
	case fault.Overloaded, fault.NoRunner:
		return s.noPlace(end)
	case fault.StaleConfiguration, fault.NotReady:
		return "the instance couldn't know whether its configuration is the newest: " + end.text("error")
	case fault.DeadlineShort, fault.DeadlineMissed:
		return "its time was over: " + end.text("error") + s.longest() + s.lastRunner()
	case fault.OutcomeUnknown, fault.RunnerFailed:
		return "no usable answer came, and it couldn't be sent again" + s.lastRunner()
	case fault.CallerGone:
		return "the caller left: " + end.text("error") + s.longest()
	default:
		return "refused: " + end.text("error")
	}
}

// noPlace gives the cause of a request for which there was no place.
func (s *Story) noPlace(end Step) string {
	if r, ok := s.last("stage refused"); ok {
		return fmt.Sprintf("stage %s (service %s) would have kept it waiting for %.0f ms, against an objective of %.0f ms; refused before any work",
			r.text("stage"), r.text("service"), r.number("waitMillis"), r.number("objectiveMillis"))
	}
	if f, ok := s.last("stage failed"); ok {
		return fmt.Sprintf("stage %s (service %s) couldn't be made: %s", f.text("stage"), f.text("service"), f.text("failure")) + s.longest()
	}
	return end.text("error") + s.lastRunner()
}

// answered gives the cause of a request that got an answer.
func (s *Story) answered(end Step) string {
	if status := end.number("status"); status >= 500 {
		return fmt.Sprintf("the runner itself answered %.0f", status) + s.lastRunner()
	}
	text := fmt.Sprintf("answered %.0f after %.0f ms", end.number("status"), end.number("afterMillis"))
	first := end.number("afterMillis")
	if f, ok := s.last("first event"); ok {
		first = f.number("afterMillis")
		text += fmt.Sprintf(", first event after %.0f ms", first)
	}
	if objective := end.number("objectiveMillis"); objective > 0 && first > objective {
		text += fmt.Sprintf("; late against an objective of %.0f ms", objective) + s.longest()
	}
	return text
}

// lastRunner tells of the tries at runners.
func (s *Story) lastRunner() string {
	var tries []string
	for _, step := range s.Steps {
		if step.Step != "sent" {
			continue
		}
		what := "status " + step.text("status")
		if step.Fields["error"] != nil {
			what = step.text("error")
		}
		tries = append(tries, fmt.Sprintf("runner %s after %.0f ms: %s", step.text("runner"), step.TookMillis, what))
	}
	if len(tries) == 0 {
		return ""
	}
	return " (" + strings.Join(tries, "; ") + ")"
}

// longest tells which part took most of the time.
func (s *Story) longest() string {
	var most Step
	for _, step := range s.Steps {
		if !step.Belief && step.Process == s.Process && step.TookMillis > most.TookMillis {
			most = step
		}
	}
	if sent, ok := s.last("sent"); ok {
		if first, ok := s.last("first event"); ok && first.number("afterMillis")-sent.AfterMillis > most.TookMillis {
			return fmt.Sprintf("; most of it went into the first event of runner %s: %.0f ms", sent.text("runner"), first.number("afterMillis")-sent.AfterMillis)
		}
	}
	switch most.Step {
	case "stage made":
		return fmt.Sprintf("; most of it went into stage %s (service %s): %.0f ms", most.text("stage"), most.text("service"), most.TookMillis)
	case "sent":
		return fmt.Sprintf("; most of it went into the answer of runner %s: %.0f ms", most.text("runner"), most.TookMillis)
	}
	return ""
}
