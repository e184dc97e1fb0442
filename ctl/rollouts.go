package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/fleet/operatorapi"
)

// addRollouts adds the command on rollouts of versions. It reads from the listener of the
// readiness probe, which needs no key.
func addRollouts(a *app) {
	address := new(string)
	c := a.addCommand(a, "rollouts", "Show the rollouts of versions that an instance knows.", func(s *session) error {
		return showRollouts(s, *address)
	})
	c.Flag("address", "Address of the instance's readiness probe.").Required().PlaceHolder("HOST:PORT").StringVar(address)
	a.offline["rollouts"] = func() bool { return true }
}

func showRollouts(s *session, address string) error {
	var l operatorapi.RolloutList
	if err := client.New([]string{address}, "").Get(s.ctx, operatorapi.PathRollouts, &l); err != nil {
		return err
	}
	return s.print(l, func(w io.Writer) error { return printRollouts(w, l) })
}

// printRollouts prints the fleet's figures where the instance has them, and its own
// otherwise.
func printRollouts(w io.Writer, l operatorapi.RolloutList) error {
	t := table.New("SERVICE", "TARGET", "PHASE", "STEP", "SHARE", "ELAPSED", "DECIDER", "STORED", "CONTACT", "UNCONFIRMED", "ANSWERS", "FAILED", "IN FLIGHT", "REASON")
	for _, r := range l.Rows {
		answers, failures, inFlight, unconfirmed := r.Answers, r.Failures, r.InFlight, ""
		if f := r.Fleet; f != nil {
			answers, failures, inFlight, unconfirmed = f.Answers, f.Failures, f.InFlight, strconv.Itoa(f.Unconfirmed)
		}
		phase := r.Phase
		if r.Withdrawn {
			phase += " (withdrawn)"
		}
		t.Add(r.Service, r.Target, phase, strconv.FormatInt(r.Step, 10), strconv.FormatFloat(r.Share, 'g', 3, 64), elapsedText(r), r.Decider,
			yesNo(r.Stored), yesNo(r.InContact), unconfirmed, countsText(answers), countsText(failures), countsText(inFlight), r.Reason)
	}
	if _, err := t.WriteTo(w); err != nil {
		return err
	}
	var barred []string
	for _, r := range l.Rows {
		for _, v := range r.Barred {
			barred = append(barred, r.Service+" "+v)
		}
	}
	if len(barred) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "no calls go to: %s\n", strings.Join(barred, ", "))
	return err
}

// elapsedText returns the elapsed time of a rollout and its duration.
func elapsedText(r operatorapi.RolloutStatus) string {
	seconds := func(ms int64) string {
		return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	return seconds(r.ElapsedMillis) + " of " + seconds(r.DurationMillis)
}

// countsText returns the counts of the old versions and of the target version.
func countsText(c operatorapi.RolloutCounts) string {
	return fmt.Sprintf("%d old, %d new", c.Old, c.Target)
}
