package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/rotisserie/eris"
)

// addFleet adds the commands that list instances and explain requests.
func addFleet(a *app) {
	request, files := new(string), new(logFiles)
	explain := a.addCommand(a, "explain", "Show which runners a request was sent to and why.", func(s *session) error {
		if paths := files.all(); len(paths) > 0 {
			return showTimeline(s, *request, paths)
		}
		return showExplanation(s, *request)
	})
	explain.Arg("request", "Identifier from the header X-Request-Id, or the caller's own.").Required().StringVar(request)
	files.addFlags(explain, "Log files to read instead of asking the instances; - is the standard input.")
	a.offline["explain"] = func() bool { return len(files.all()) > 0 }
	a.addCommand(a, "instances", "Show the instances.", showInstances)
}

func showExplanation(s *session, request string) error {
	var e operatorapi.Explanation
	if err := s.client.Get(s.ctx, client.Path(operatorapi.PathRequest, request), &e); err != nil {
		return err
	}
	return s.print(e, func(w io.Writer) error { return printExplanation(w, e) })
}

func printExplanation(w io.Writer, e operatorapi.Explanation) error {
	t := table.New("TIME", "INSTANCE", "STEP", "STAGE", "RUNNER", "TOOK", "REASON")
	for _, d := range e.Decisions {
		took := ""
		if d.Micros > 0 {
			took = (time.Duration(d.Micros) * time.Microsecond).String()
		}
		t.Add(d.At.UTC().Format("15:04:05.000"), d.Instance, d.Step, d.Stage, d.Runner, took, d.Reason)
	}
	if _, err := t.WriteTo(w); err != nil {
		return err
	}
	if len(e.Unreachable) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "no answer from %s: decisions made there are missing\n", strings.Join(e.Unreachable, ", ")); err != nil {
		return eris.Wrap(err, "print")
	}
	return nil
}

func showInstances(s *session) error {
	var l operatorapi.InstanceList
	if err := s.client.Get(s.ctx, operatorapi.PathInstances, &l); err != nil {
		return err
	}
	return s.print(l.Rows, func(w io.Writer) error {
		t := table.New("INSTANCE", "ZONE", "ADDRESS", "STATE", "BUNDLE")
		for _, r := range l.Rows {
			t.Add(r.ID, r.Zone, r.Address, r.State, formatUint(r.Bundle))
		}
		_, err := t.WriteTo(w)
		return err
	})
}
