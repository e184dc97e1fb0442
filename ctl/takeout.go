package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/ctl/table"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/alecthomas/kingpin/v2"
)

// takeoutKind holds what differs between taking out zones and runners.
type takeoutKind struct {
	noun string
	// listPath lists the takeouts, outPath takes one out, inPath takes it back in.
	listPath, outPath, inPath string
}

var (
	zoneTakeouts = takeoutKind{
		noun: "zone", listPath: operatorapi.PathZones,
		outPath: operatorapi.PathZoneOut, inPath: operatorapi.PathZoneIn,
	}
	runnerTakeouts = takeoutKind{
		noun: "runner", listPath: operatorapi.PathRunners,
		outPath: operatorapi.PathDrain, inPath: operatorapi.PathUndrain,
	}
)

// addZone adds the commands on availability zones.
func addZone(a *app) {
	z := a.Command("zone", "Take availability zones out and in.")
	addOrder(a, z, zoneTakeouts, "zone out", "Stop sending new work to a zone.", true)
	addOrder(a, z, zoneTakeouts, "zone in", "Resume sending work to a zone.", false)
	addTakeoutStatus(a, z, zoneTakeouts, "zone status", "Show the zones.")
}

// addRunner adds the commands on runners.
func addRunner(a *app) {
	r := a.Command("runner", "Drain runners.")
	addOrder(a, r, runnerTakeouts, "runner drain", "Stop sending new work to a runner.", true)
	addOrder(a, r, runnerTakeouts, "runner undrain", "Resume sending work to a runner.", false)
	addTakeoutStatus(a, r, runnerTakeouts, "runner status", "Show the runners.")
}

// orderFlags are the arguments and flags of an order; out distinguishes an order
// to take out from one to take in.
type orderFlags struct {
	name   string
	reason string
	follow bool
	out    bool
}

func addOrder(a *app, parent *kingpin.CmdClause, t takeoutKind, path, help string, out bool) {
	f := &orderFlags{out: out}
	c := a.addCommand(parent, path, help, func(s *session) error { return sendOrder(s, t, *f) })
	c.Arg(t.noun, "Identifier.").Required().StringVar(&f.name)
	c.Flag("reason", "Shown to other operators.").StringVar(&f.reason)
	c.Flag("follow", "Show progress until every instance holds the order.").BoolVar(&f.follow)
}

func addTakeoutStatus(a *app, parent *kingpin.CmdClause, t takeoutKind, path, help string) {
	name := new(string)
	c := a.addCommand(parent, path, help, func(s *session) error { return showTakeouts(s, t, *name) })
	c.Arg(t.noun, "Identifier; without it, all.").StringVar(name)
}

func takeoutRows(s *session, t takeoutKind) ([]operatorapi.TakeoutStatus, error) {
	var l operatorapi.TakeoutList
	err := s.client.Get(s.ctx, t.listPath, &l)
	return l.Rows, err
}

func takeoutRow(s *session, t takeoutKind, name string) (operatorapi.TakeoutStatus, error) {
	rows, err := takeoutRows(s, t)
	if err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	for _, r := range rows {
		if r.Name == name {
			return r, nil
		}
	}
	return operatorapi.TakeoutStatus{}, fault.New(fault.NotFound, "no %s %q", t.noun, name).WithField(t.noun)
}

func sendOrder(s *session, t takeoutKind, f orderFlags) error {
	row, err := takeoutRow(s, t, f.name)
	if err != nil {
		return err
	}
	id, err := newID()
	if err != nil {
		return err
	}
	path := t.inPath
	if f.out {
		path = t.outPath
	}
	o := operatorapi.TakeoutRequest{OrderID: id, Reason: f.reason, ExpectedGeneration: row.Generation}
	var after operatorapi.TakeoutStatus
	if err := s.client.Post(s.ctx, client.Path(path, f.name), o, &after); err != nil {
		return err
	}
	if f.follow {
		if after, err = followOrder(s, t, after); err != nil {
			return err
		}
	}
	return s.print(after, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s is %s: %s\n", t.noun, f.name, outOrIn(after.Out), progressText(after))
		return err
	})
}

func followOrder(s *session, t takeoutKind, order operatorapi.TakeoutStatus) (operatorapi.TakeoutStatus, error) {
	row := order
	err := s.follow(func() (string, bool, error) {
		var err error
		if row, err = takeoutRow(s, t, order.Name); err != nil {
			return "", false, err
		}
		if row.Generation >= order.Generation && row.Out != order.Out {
			return "", false, fault.New(fault.Conflict, "%s ordered %s %s with generation %d",
				row.By, t.noun, outOrIn(row.Out), row.Generation)
		}
		return fmt.Sprintf("%s %s %s: %s", t.noun, row.Name, outOrIn(row.Out), progressText(row)), row.Complete(), nil
	})
	return row, err
}

// progressText describes how many instances have acknowledged an order, whether it
// is stored, and which instances have not acknowledged it.
func progressText(r operatorapi.TakeoutStatus) string {
	parts := []string{fmt.Sprintf("generation %d held by %d instances", r.Generation, len(r.Acknowledged))}
	if !r.Stored {
		parts = append(parts, "not yet in the store")
	}
	if text := waitingText(r.Pending); text != "" {
		parts = append(parts, "waiting for "+text)
	}
	return strings.Join(parts, ", ")
}

func outOrIn(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func showTakeouts(s *session, t takeoutKind, name string) error {
	rows, err := takeoutRows(s, t)
	if err != nil {
		return err
	}
	if name != "" {
		row, err := takeoutRow(s, t, name)
		if err != nil {
			return err
		}
		rows = []operatorapi.TakeoutStatus{row}
	}
	return s.print(rows, func(w io.Writer) error { return printTakeouts(w, t, rows) })
}

func printTakeouts(w io.Writer, t takeoutKind, rows []operatorapi.TakeoutStatus) error {
	columns := []string{strings.ToUpper(t.noun), "STATE", "GENERATION", "BY", "SINCE", "STORED", "HELD", "WAITING", "IN FLIGHT", "REASON"}
	if t.noun == runnerTakeouts.noun {
		columns = append(columns, "SERVICE", "ZONE")
	}
	rowTable := table.New(columns...)
	for _, r := range rows {
		rowTable.Add(r.Name, outOrIn(r.Out), formatUint(r.Generation), r.By, nameAndTime("", r.At), yesNo(r.Stored),
			strconv.Itoa(len(r.Acknowledged)), waitingText(r.Pending), strconv.Itoa(r.InFlight), r.Reason, r.Service, r.Zone)
	}
	_, err := rowTable.WriteTo(w)
	return err
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
