// Package capacity measures what a router spends on control while no request
// comes, at several sizes of the fleet, as real processes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/platform"
	"cicadawell.dev/standin/scene"
	"github.com/rotisserie/eris"
)

const (
	// settleTime lets the view settle and the runners warm up.
	settleTime = 15 * time.Second
	// measureTime is how long the processes are watched.
	measureTime = 20 * time.Second
	// ticksPerSecond is the unit of processor time in /proc, fixed on Linux.
	ticksPerSecond = 100
	pageBytes      = 4096
)

// Config says what to measure.
type Config struct {
	Bin   string
	Sizes []int
	Out   io.Writer
	Clock clock.Clock
}

// row is what one size gave, each figure as the mean of an instance.
type row struct {
	routers int
	// core is the part of a core.
	core float64
	// memory is the resident memory in bytes.
	memory float64
	// calls are those to the store in a second, by kind.
	calls float64
	// sockets are the bytes a second that its connections moved.
	sockets float64
}

// Run measures each size and prints a table and the slopes.
func Run(ctx context.Context, cfg Config) error {
	var rows []row
	for _, n := range cfg.Sizes {
		r, err := measure(ctx, cfg, n)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return printTable(cfg.Out, rows)
}

func measure(ctx context.Context, cfg Config, n int) (row, error) {
	plan, err := scene.PlanOf("taxiline")
	if err != nil {
		return row{}, err
	}
	plan.Routers = n
	s, err := scene.Start(ctx, cfg.Bin, plan)
	defer func() { _ = s.Close() }()
	if err != nil {
		return row{}, err
	}
	if err := cfg.Clock.Sleep(ctx, settleTime); err != nil {
		return row{}, err
	}
	before, err := look(ctx, s)
	if err != nil {
		return row{}, err
	}
	if err := cfg.Clock.Sleep(ctx, measureTime); err != nil {
		return row{}, err
	}
	after, err := look(ctx, s)
	if err != nil {
		return row{}, err
	}
	per := float64(n) * measureTime.Seconds()
	return row{
		routers: n,
		core:    (after.core - before.core) / per,
		memory:  after.memory / float64(n),
		calls:   (after.calls - before.calls) / per,
		sockets: (after.sockets - before.sockets) / per,
	}, nil
}

// look adds up what the routers have spent so far.
func look(ctx context.Context, s *scene.Scene) (row, error) {
	var sum row
	for _, p := range s.Live() {
		if err := sum.add(p.Pid()); err != nil {
			return sum, err
		}
	}
	var rec platform.Record
	if err := s.Platform.Record(ctx, &rec); err != nil {
		return sum, err
	}
	for path, n := range rec.Calls {
		if strings.HasPrefix(path, "/v1/kv/") || strings.HasPrefix(path, "/v1/lease/") {
			sum.calls += float64(n)
		}
	}
	return sum, nil
}

// add reads what a process has spent.
func (r *row) add(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return eris.Wrap(err, "processor time")
	}
	// The fields after the name, which stands in parentheses.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField, memoryField = 11, 12, 21
	user, system, memory := number(fields[userField]), number(fields[systemField]), number(fields[memoryField])
	r.core += (user + system) / ticksPerSecond
	r.memory += memory * pageBytes
	return r.addSockets(pid)
}

// addSockets adds the bytes that went through reads and writes of the process;
// an idle router has no other ones than those of its connections and its log.
func (r *row) addSockets(pid int) error {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return eris.Wrap(err, "bytes moved")
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			r.sockets += number(value)
		}
	}
	return nil
}

func number(text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0
	}
	return n
}

func printTable(out io.Writer, rows []row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCES\tCORE\tMEMORY\tSTORE CALLS\tBYTES MOVED")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d\t%.2f%%\t%.1f MB\t%.2f/s\t%.0f/s\n", r.routers, 100*r.core, r.memory/(1<<20), r.calls, r.sockets)
	}
	if n := len(rows); n > 1 {
		first, last := rows[0], rows[n-1]
		per := float64(last.routers - first.routers)
		_, _ = fmt.Fprintf(t, "slope\t%.4f%%\t%.3f MB\t%.4f/s\t%.1f/s\n",
			100*(last.core-first.core)/per, (last.memory-first.memory)/per/(1<<20),
			(last.calls-first.calls)/per, (last.sockets-first.sockets)/per)
	}
	return t.Flush()
}
