package main

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/rotisserie/eris"
)

// addWhere adds the command that explains where a call would go.
func addWhere(a *app) {
	address, keyFile := new(string), new(string)
	values := make(map[string]*string)
	where := a.addCommand(a, "where", "Show where a call would go now and why, without sending it.", func(s *session) error {
		return showWhere(s, *address, *keyFile, values)
	})
	where.Flag("address", "Address of the readiness probe of an instance.").Required().StringVar(address)
	where.Flag("team-key-file", "File with the key of the call's team.").StringVar(keyFile)
	for _, p := range []struct{ name, help string }{
		{operatorapi.WhereHost, "Host of the call."},
		{operatorapi.WherePath, "Path of the call."},
		{operatorapi.WhereID, "Identifier of the call."},
		{operatorapi.WherePrompt, "Parts of the prompt as ID:TOKENS, separated by commas."},
		{operatorapi.WhereTokens, "Tokens of the prompt."},
		{operatorapi.WherePieces, "Pieces of each stage, separated by commas."},
	} {
		values[p.name] = where.Flag(p.name, p.help).String()
	}
	a.offline["where"] = func() bool { return true }
}

func showWhere(s *session, address, keyFile string, values map[string]*string) error {
	key := ""
	if keyFile != "" {
		data, err := os.ReadFile(keyFile)
		if err != nil {
			return &usageError{cause: eris.Wrap(err, "--team-key-file")}
		}
		key = strings.TrimSpace(string(data))
	}
	query := make(url.Values)
	for name, value := range values {
		if *value != "" {
			query.Set(name, *value)
		}
	}
	var out operatorapi.Where
	if err := client.New([]string{address}, key).Get(s.ctx, operatorapi.PathWhere+"?"+query.Encode(), &out); err != nil {
		return err
	}
	return s.print(out, func(w io.Writer) error { return printWhere(w, out) })
}

func printWhere(w io.Writer, out operatorapi.Where) error {
	call := table.New("ROUTE", "TEAM", "RANK", "SERVICE", "ZONE", "DECIDED BY", "CHOSEN")
	call.Add(out.Route, out.Team, fmt.Sprint(out.Rank), out.Service, out.Zone, out.Owner, out.Chosen)
	stages := table.New("STAGE", "SERVICE", "ZONE", "DECIDED BY", "WAIT", "REFUSED")
	for _, st := range out.Stages {
		stages.Add(fmt.Sprint(st.Stage), st.Service, st.Zone, st.Owner, formatMicros(st.WaitMicros), flagText(st.Refused, "yes"))
	}
	runners := table.New("RUNNER", "ZONE", "VERSION", "RUNNING", "EXPECTED", "COST", "SLOWDOWN", "UNREAD", "PENDING", "SPEED", "NOTES")
	for _, r := range out.Runners {
		unread, pending, speed := "", "", ""
		if e := r.Engine; e != nil {
			unread, pending, speed = fmt.Sprint(e.Unread), fmt.Sprint(e.Pending), fmt.Sprintf("%.2f", e.Speed)
		}
		runners.Add(r.ID, r.Zone, r.Version, fmt.Sprint(r.Running), formatMicros(r.ExpectedMicros), formatMicros(r.CostMicros),
			fmt.Sprintf("%.2f", r.Slowdown), unread, pending, speed, whereNotes(r))
	}
	for _, t := range []*table.Table{call, stages, runners} {
		if (t == stages && len(out.Stages) == 0) || (t == runners && len(out.Runners) == 0) {
			continue
		}
		if _, err := t.WriteTo(w); err != nil {
			return err
		}
	}
	if r := out.Refusal; r != nil {
		_, err := fmt.Fprintf(w, "refused (%s): %s; retry after %d ms\n", r.Kind, r.Reason, r.RetryMillis)
		return eris.Wrap(err, "print")
	}
	return nil
}

// whereNotes lists what keeps a runner from being chosen.
func whereNotes(r operatorapi.WhereRunner) string {
	var notes []string
	for _, n := range []string{
		flagText(r.Backoff, "backoff"), flagText(r.PauseMillis > 0, fmt.Sprintf("paused %d ms", r.PauseMillis)), flagText(r.Cold, "cold"),
		flagText(r.NoPermit, "no permit"), flagText(r.Withheld, "withheld by rollout"),
	} {
		if n != "" {
			notes = append(notes, n)
		}
	}
	return strings.Join(notes, ", ")
}

// flagText returns the text if the flag is set, and otherwise "".
func flagText(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func formatMicros(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
