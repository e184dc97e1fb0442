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

// target tells zones and runners apart.
type target struct {
	noun string
	// list, out and in are the paths.
	list, out, in string
}

var (
	zones = target{
		noun: "zone", list: operatorapi.PathZones,
		out: operatorapi.PathZoneOut, in: operatorapi.PathZoneIn,
	}
	runners = target{
		noun: "runner", list: operatorapi.PathRunners,
		out: operatorapi.PathDrain, in: operatorapi.PathUndrain,
	}
)

// addZone adds the commands on availability zones.
func addZone(a *app) {
	z := a.Command("zone", "Take availability zones out and in.")
	addOrder(a, z, zones, "zone out", "Let a zone receive no new work.", true)
	addOrder(a, z, zones, "zone in", "Let a zone receive work again.", false)
	addTakeoutStatus(a, z, zones, "zone status", "Show the zones.")
}

// addRunner adds the commands on runners.
func addRunner(a *app) {
	r := a.Command("runner", "Drain runners.")
	addOrder(a, r, runners, "runner drain", "Let a runner receive no new work.", true)
	addOrder(a, r, runners, "runner undrain", "Let a runner receive work again.", false)
	addTakeoutStatus(a, r, runners, "runner status", "Show the runners.")
}

// orderFlags are the arguments of an order.
type orderFlags struct {
	name   string
	reason string
	follow bool
	out    bool
}

func addOrder(a *app, parent *kingpin.CmdClause, t target, path, help string, out bool) {
	f := &orderFlags{out: out}
	c := a.on(parent, path, help, func(s *session) error { return sendOrder(s, t, *f) })
	c.Arg(t.noun, "Identifier.").Required().StringVar(&f.name)
	c.Flag("reason", "Shown to other operators.").StringVar(&f.reason)
	c.Flag("follow", "Show progress until every instance holds the order.").BoolVar(&f.follow)
}

func addTakeoutStatus(a *app, parent *kingpin.CmdClause, t target, path, help string) {
	name := new(string)
	c := a.on(parent, path, help, func(s *session) error { return showTakeouts(s, t, *name) })
	c.Arg(t.noun, "Identifier; without it, all.").StringVar(name)
}

func takeoutRows(s *session, t target) ([]operatorapi.TakeoutStatus, error) {
	var l operatorapi.TakeoutList
	err := s.client.Get(s.ctx, t.list, &l)
	return l.Rows, err
}

func takeoutRow(s *session, t target, name string) (operatorapi.TakeoutStatus, error) {
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

func sendOrder(s *session, t target, f orderFlags) error {
	row, err := takeoutRow(s, t, f.name)
	if err != nil {
		return err
	}
	id, err := newID()
	if err != nil {
		return err
	}
	path := t.in
	if f.out {
		path = t.out
	}
	o := operatorapi.TakeoutRequest{Order: id, Reason: f.reason, Seen: row.Generation}
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
		_, err := fmt.Fprintf(w, "%s %s is %s: %s\n", t.noun, f.name, outOrIn(after.Out), spread(after))
		return err
	})
}

func followOrder(s *session, t target, order operatorapi.TakeoutStatus) (operatorapi.TakeoutStatus, error) {
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
		return fmt.Sprintf("%s %s %s: %s", t.noun, row.Name, outOrIn(row.Out), spread(row)), row.Complete(), nil
	})
	return row, err
}

// spread says how far an order has come.
func spread(r operatorapi.TakeoutStatus) string {
	parts := []string{fmt.Sprintf("generation %d held by %d instances", r.Generation, len(r.Holding))}
	if !r.Stored {
		parts = append(parts, "not yet in the store")
	}
	if text := waitingText(r.Waiting); text != "" {
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

func showTakeouts(s *session, t target, name string) error {
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

func printTakeouts(w io.Writer, t target, rows []operatorapi.TakeoutStatus) error {
	titles := []string{strings.ToUpper(t.noun), "STATE", "GENERATION", "BY", "SINCE", "STORED", "HELD", "WAITING", "IN FLIGHT", "REASON"}
	if t.noun == runners.noun {
		titles = append(titles, "SERVICE", "ZONE")
	}
	tab := table.New(titles...)
	for _, r := range rows {
		tab.Add(r.Name, outOrIn(r.Out), number(r.Generation), r.By, when("", r.At), yesNo(r.Stored),
			strconv.Itoa(len(r.Holding)), waitingText(r.Waiting), strconv.Itoa(r.InFlight), r.Reason, r.Service, r.Zone)
	}
	_, err := tab.WriteTo(w)
	return err
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
