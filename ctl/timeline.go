package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cicadawell.dev/ctl/logs"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/ctl/timeline"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

// logFiles are the log files given with --logs and as positional arguments.
type logFiles struct{ fromFlag, fromArgs []string }

func (f *logFiles) addFlags(c *kingpin.CmdClause, help string) {
	c.Flag("logs", help).StringsVar(&f.fromFlag)
	c.Arg("file", "Further log files.").StringsVar(&f.fromArgs)
}

func (f *logFiles) all() []string { return append(slices.Clone(f.fromFlag), f.fromArgs...) }

// readLogs reads log files and prints how many lines it skipped because they are
// not log lines.
func readLogs(s *session, paths []string) ([]logs.Line, error) {
	lines, skipped, err := logs.Read(s.env.In, paths)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if skipped > 0 {
		s.printProgress("skipped %d lines that are not log lines", skipped)
	}
	return lines, nil
}

// showTimeline prints the timeline of a request, built from log files.
func showTimeline(s *session, request string, paths []string) error {
	lines, err := readLogs(s, paths)
	if err != nil {
		return err
	}
	tl := timeline.FromLines(lines, request)
	return s.print(tl, func(w io.Writer) error { return printTimeline(w, tl) })
}

func printTimeline(w io.Writer, tl timeline.Timeline) error {
	t := table.New("AFTER MS", "TOOK MS", "INSTANCE", "STEP", "DETAILS")
	for _, step := range tl.Steps {
		took, name := "", step.Step
		if step.TookMillis >= 0 {
			took = fmt.Sprintf("%.0f", step.TookMillis)
		}
		if step.Contextual {
			name = "(" + name + ")"
		}
		t.Add(fmt.Sprintf("%.0f", step.AfterMillis), took, step.Process, name, detailsText(step.Fields))
	}
	if len(tl.Steps) > 0 {
		if _, err := fmt.Fprintf(w, "request %s, taken by %s at %s\n", tl.Request, tl.Process, tl.Arrived.UTC().Format("15:04:05.000")); err != nil {
			return eris.Wrap(err, "print")
		}
		if _, err := t.WriteTo(w); err != nil {
			return err
		}
	}
	for _, process := range slices.Sorted(maps.Keys(tl.ClockCorrectionMillis)) {
		if _, err := fmt.Fprintf(w, "times of %s were moved by %.0f ms\n", process, tl.ClockCorrectionMillis[process]); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", tl.Cause)
	return eris.Wrap(err, "print")
}

// omittedFields are the fields left out of the details: they have a column of
// their own, or are long and say little about a single request.
var omittedFields = []string{"request", "requests", "tookMillis"}

func detailsText(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; !slices.Contains(omittedFields, name) && v != nil && v != "" {
			out = append(out, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(out, " ")
}
