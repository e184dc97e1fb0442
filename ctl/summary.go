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

// addSummary adds the command that tells what a fleet believed.
func addSummary(a *app) {
	from, plot := new(logFiles), new(string)
	summary := a.on(a, "summary", "Tell from logs what each instance believed and how requests ended.", func(s *session) error {
		return showSummary(s, from.all(), *plot)
	})
	from.on(summary, "Log files; - is the standard input.")
	summary.Flag("plot", "File for a plot; its name ends in .svg or .png.").StringVar(plot)
	a.local["summary"] = func() bool { return true }
}

func showSummary(s *session, paths []string, plot string) error {
	if len(paths) == 0 {
		return &usageError{cause: eris.New("--logs: no file is named")}
	}
	lines, err := readLogs(s, paths)
	if err != nil {
		return err
	}
	o := overview.Of(lines)
	if plot != "" {
		if err := drawTo(plot, o); err != nil {
			return &usageError{cause: err}
		}
	}
	return s.print(o, func(w io.Writer) error { return printOverview(w, o) })
}

func drawTo(path string, o overview.Overview) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "--plot")
	}
	defer func() {
		if closing := f.Close(); err == nil {
			err = closing
		}
	}()
	return eris.Wrap(o.Draw(f, strings.TrimPrefix(filepath.Ext(path), ".")), "--plot")
}

func printOverview(w io.Writer, o overview.Overview) error {
	t := table.New("INSTANCE", "STARTS", "VERSION", "INSTANCES", "RUNNERS", "STORE LOST S", "NO ANSWER FROM OTHERS")
	for _, p := range o.Processes {
		lost := 0.0
		for _, span := range p.StoreLost {
			lost += (span.To - span.From).Seconds()
		}
		t.Add(p.Name, fmt.Sprint(len(p.Starts)), newest(p.Versions), newest(p.Members), newest(p.Runners), fmt.Sprintf("%.1f", lost), fmt.Sprint(p.SetAside))
	}
	if _, err := t.WriteTo(w); err != nil {
		return err
	}
	ends := table.New("REQUESTS", "COUNT")
	for _, outcome := range slices.Sorted(maps.Keys(o.Answers)) {
		sum := 0
		for _, n := range o.Answers[outcome] {
			sum += n
		}
		ends.Add(outcome, fmt.Sprint(sum))
	}
	_, err := ends.WriteTo(w)
	return err
}

// newest returns the last value, or "".
func newest(points []overview.Point) string {
	if len(points) == 0 {
		return ""
	}
	return fmt.Sprint(points[len(points)-1].Value)
}
