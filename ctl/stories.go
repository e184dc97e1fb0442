package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cicadawell.dev/ctl/logs"
	"cicadawell.dev/ctl/story"
	"cicadawell.dev/ctl/table"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// logFiles are the log files of a command: those of the flag and those after it.
type logFiles struct{ flagged, further []string }

func (f *logFiles) on(c *kingpin.CmdClause, help string) {
	c.Flag("logs", help).StringsVar(&f.flagged)
	c.Arg("file", "Further log files.").StringsVar(&f.further)
}

func (f *logFiles) all() []string { return append(slices.Clone(f.flagged), f.further...) }

// readLogs reads log files. Lines that are none are counted for the user.
func readLogs(s *session, paths []string) ([]logs.Line, error) {
	lines, strange, err := logs.Read(s.env.In, paths)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if strange > 0 {
		s.note("%d lines are no log lines", strange)
	}
	return lines, nil
}

// showStory prints what logs tell of a request.
func showStory(s *session, request string, paths []string) error {
	lines, err := readLogs(s, paths)
	if err != nil {
		return err
	}
	told := story.Of(lines, request)
	return s.print(told, func(w io.Writer) error { return printStory(w, told) })
}

func printStory(w io.Writer, told story.Story) error {
	t := table.New("AFTER MS", "TOOK MS", "INSTANCE", "STEP", "DETAILS")
	for _, step := range told.Steps {
		took, name := "", step.Step
		if step.TookMillis >= 0 {
			took = fmt.Sprintf("%.0f", step.TookMillis)
		}
		if step.Belief {
			name = "(" + name + ")"
		}
		t.Add(fmt.Sprintf("%.0f", step.AfterMillis), took, step.Process, name, details(step.Fields))
	}
	if len(told.Steps) > 0 {
		if _, err := fmt.Fprintf(w, "request %s, taken by %s at %s\n", told.Request, told.Process, told.Arrived.UTC().Format("15:04:05.000")); err != nil {
			return eris.Wrap(err, "print")
		}
		if _, err := t.WriteTo(w); err != nil {
			return err
		}
	}
	for _, process := range slices.Sorted(maps.Keys(told.ShiftMillis)) {
		if _, err := fmt.Fprintf(w, "times of %s were moved by %.0f ms\n", process, told.ShiftMillis[process]); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", told.Cause)
	return eris.Wrap(err, "print")
}

// shownElsewhere are the fields that have columns of their own, or are long and
// say little of one request.
var shownElsewhere = []string{"request", "requests", "tookMillis"}

func details(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; !slices.Contains(shownElsewhere, name) && v != nil && v != "" {
			out = append(out, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(out, " ")
}
