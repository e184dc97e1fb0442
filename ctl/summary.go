package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cicadawell.dev/ctl/overview"
	"cicadawell.dev/ctl/table"
	"github.com/rotisserie/eris"
)

// addSummary adds the command that summarizes the state of the fleet from logs.
func addSummary(a *app) {
	files, plot := new(logFiles), new(string)
	summary := a.addCommand(a, "summary", "Show from logs the state of each instance and how requests ended.", func(s *session) error {
		return showSummary(s, files.all(), *plot)
	})
	files.addFlags(summary, "Log files; - is the standard input.")
	summary.Flag("plot", "File for a plot; its name ends in .svg or .png.").StringVar(plot)
	a.offline["summary"] = func() bool { return true }
}

func showSummary(s *session, paths []string, plot string) error {
	if len(paths) == 0 {
		return &usageError{cause: eris.New("--logs: no log file given")}
	}
	lines, err := readLogs(s, paths)
	if err != nil {
		return err
	}
	o := overview.FromLines(lines)
	if plot != "" {
		if err := writePlot(plot, o); err != nil {
			return &usageError{cause: err}
		}
	}
	return s.print(o, func(w io.Writer) error { return printOverview(w, o) })
}

func writePlot(path string, o overview.Overview) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "--plot")
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return eris.Wrap(o.Draw(f, strings.TrimPrefix(filepath.Ext(path), ".")), "--plot")
}

func printOverview(w io.Writer, o overview.Overview) error {
	t := table.New("INSTANCE", "STARTS", "VERSION", "INSTANCES", "RUNNERS", "STORE LOST S", "NO ANSWER FROM OTHERS")
	for _, p := range o.Processes {
		lost := 0.0
		for _, span := range p.StoreOutages {
			lost += (span.To - span.From).Seconds()
		}
		t.Add(p.Name, fmt.Sprint(len(p.Starts)), lastValue(p.Versions), lastValue(p.Members), lastValue(p.Runners), fmt.Sprintf("%.1f", lost), fmt.Sprint(p.UnresponsivePeers))
	}
	if _, err := t.WriteTo(w); err != nil {
		return err
	}
	outcomes := table.New("REQUESTS", "COUNT")
	for _, outcome := range slices.Sorted(maps.Keys(o.Outcomes)) {
		sum := 0
		for _, n := range o.Outcomes[outcome] {
			sum += n
		}
		outcomes.Add(outcome, fmt.Sprint(sum))
	}
	_, err := outcomes.WriteTo(w)
	return err
}

// lastValue returns the value of the last point, or "" if there is none.
func lastValue(points []overview.Point) string {
	if len(points) == 0 {
		return ""
	}
	return fmt.Sprint(points[len(points)-1].Value)
}
