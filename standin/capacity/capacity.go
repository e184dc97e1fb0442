// Package capacity measures the overhead of idle routers at several sizes of the
// fleet, with real processes: processor time, memory, store calls and bytes moved.
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
	// settleTime is the wait until the membership view is stable and the
	// runners are warm.
	settleTime = 15 * time.Second
	// measureTime is the time between the first and the last sample.
	measureTime = 20 * time.Second
	// ticksPerSecond is the number of clock ticks per second in /proc, fixed
	// on Linux.
	ticksPerSecond = 100
	pageBytes      = 4096
)

// Config holds the sizes to measure and the dependencies.
type Config struct {
	// Bin is the folder with the binaries.
	Bin string
	// Sizes are the numbers of routers.
	Sizes []int
	Out   io.Writer
	Clock clock.Clock
}

// usage holds the resource usage at one size of the fleet, as the mean per router.
// A sample holds the totals of all routers so far instead and leaves routers zero.
type usage struct {
	routers int
	// cpu is the used fraction of a core; in a sample, the processor time in
	// seconds.
	cpu float64
	// memory is the resident memory in bytes.
	memory float64
	// calls is the number of store calls per second; in a sample, so far.
	calls float64
	// ioBytes is the number of bytes read and written per second; in a
	// sample, so far.
	ioBytes float64
}

// Run measures each size and prints a table, with the growth per added router
// between the first and the last size.
func Run(ctx context.Context, cfg Config) error {
	var rows []usage
	for _, n := range cfg.Sizes {
		r, err := measureSize(ctx, cfg, n)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return printTable(cfg.Out, rows)
}

func measureSize(ctx context.Context, cfg Config, n int) (usage, error) {
	plan, err := scene.PlanOf("taxiline")
	if err != nil {
		return usage{}, err
	}
	plan.Routers = n
	s, err := scene.Start(ctx, cfg.Bin, plan)
	defer func() { _ = s.Close() }()
	if err != nil {
		return usage{}, err
	}
	if err := cfg.Clock.Sleep(ctx, settleTime); err != nil {
		return usage{}, err
	}
	before, err := sampleUsage(ctx, s)
	if err != nil {
		return usage{}, err
	}
	if err := cfg.Clock.Sleep(ctx, measureTime); err != nil {
		return usage{}, err
	}
	after, err := sampleUsage(ctx, s)
	if err != nil {
		return usage{}, err
	}
	instanceSeconds := float64(n) * measureTime.Seconds()
	return usage{
		routers: n,
		cpu:     (after.cpu - before.cpu) / instanceSeconds,
		memory:  after.memory / float64(n),
		calls:   (after.calls - before.calls) / instanceSeconds,
		ioBytes: (after.ioBytes - before.ioBytes) / instanceSeconds,
	}, nil
}

// sampleUsage returns the total usage of all routers so far.
func sampleUsage(ctx context.Context, s *scene.Fleet) (usage, error) {
	var sum usage
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

// add adds the usage of a process so far.
func (r *usage) add(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return eris.Wrap(err, "processor time")
	}
	// The process name is in parentheses and may contain spaces; the indexes
	// count the fields after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField, memoryField = 11, 12, 21
	user, system, memory := parseNumber(fields[userField]), parseNumber(fields[systemField]), parseNumber(fields[memoryField])
	r.cpu += (user + system) / ticksPerSecond
	r.memory += memory * pageBytes
	return r.addIOBytes(pid)
}

// addIOBytes adds the bytes read and written by the process. An idle router moves
// bytes only over its connections and to its log.
func (r *usage) addIOBytes(pid int) error {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return eris.Wrap(err, "bytes moved")
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			r.ioBytes += parseNumber(value)
		}
	}
	return nil
}

func parseNumber(text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0
	}
	return n
}

func printTable(out io.Writer, rows []usage) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCES\tCORE\tMEMORY\tSTORE CALLS\tBYTES MOVED")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d\t%.2f%%\t%.1f MB\t%.2f/s\t%.0f/s\n", r.routers, 100*r.cpu, r.memory/(1<<20), r.calls, r.ioBytes)
	}
	if n := len(rows); n > 1 {
		first, last := rows[0], rows[n-1]
		addedRouters := float64(last.routers - first.routers)
		_, _ = fmt.Fprintf(t, "slope\t%.4f%%\t%.3f MB\t%.4f/s\t%.1f/s\n",
			100*(last.cpu-first.cpu)/addedRouters, (last.memory-first.memory)/addedRouters/(1<<20),
			(last.calls-first.calls)/addedRouters, (last.ioBytes-first.ioBytes)/addedRouters)
	}
	return t.Flush()
}
