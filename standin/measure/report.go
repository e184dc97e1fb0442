package measure

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/scene"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// writeResults writes the page and the plot of a scenario.
func writeResults(cfg Config, sc scenario, plan scene.Plan, trials []trial) error {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return eris.Wrap(err, "create the folder of the results")
	}
	base := sc.name + "-" + cfg.Size
	page, err := os.Create(filepath.Join(cfg.Dir, base+".md"))
	if err != nil {
		return eris.Wrap(err, "create the page")
	}
	defer page.Close()
	fmt.Fprintf(page, "# %s, %s\n\n", sc.title, cfg.Size)
	fmt.Fprintf(page, "Made by `standin measure %s --size %s --seed %d`; %d routers and %d runners as processes, "+
		"%s for each row. The capacity is %.1f calls per second of %d tokens; paying calls arrive at %.0f%% of it, "+
		"free calls at %.0f%%.\n\n", sc.name, cfg.Size, cfg.Seed, plan.Routers, len(trials[0].records), sc.duration,
		plan.Capacity(tokens), tokens, 100*sc.paying, 100*sc.free)
	writeTable(page, sc, trials)
	writeStages(page, trials)
	writeRefusals(page, trials)
	fmt.Fprintf(page, "\n![attainment of the paying calls by second](%s.png)\n", base)
	return drawPlot(sc, trials, filepath.Join(cfg.Dir, base+".png"))
}

// row formats cells as a row of a Markdown table.
func row(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |" }

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func millis(d time.Duration) string {
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}

func writeTable(w io.Writer, sc scenario, trials []trial) {
	head := []string{
		"policy", "paying in time", "worst 3 s", "paying p50", "paying p99", "bookings in time", "lookups in time",
		"free answers per second", "runner time wasted", "cold load over bearable", "collapses",
		"wrong", "run twice", "false outcome", "unknown",
	}
	takesZoneOut := sc.name == "zone"
	if takesZoneOut {
		head = append(head, "out to last new run")
	}
	fmt.Fprintln(w, row(head...))
	fmt.Fprintln(w, row(slices.Repeat([]string{"---"}, len(head))...))
	for _, t := range trials {
		cells := tableCells(sc, t)
		if takesZoneOut {
			cells = append(cells, millis(lastRunDelay(t.records, outZone, t.eventTimes[0], t.eventTimes[1])))
		}
		fmt.Fprintln(w, row(cells...))
	}
}

func tableCells(sc scenario, t trial) []string {
	paying := t.result.Class(payingClass)
	free := 0.0
	if c := t.result.Class(freeClass); c != nil {
		free = float64(c.InTime) / sc.duration.Seconds()
	}
	wrong := 0
	for _, c := range t.result.Classes {
		wrong += len(c.Wrong)
	}
	excess, collapses := coldOverload(t.records)
	return []string{
		t.name, percent(paying.Attainment()), percent(worstAttainment(paying)), millis(paying.Times.P50), millis(paying.Times.P99),
		percent(t.result.Class(bookingClass).Attainment()), percent(t.result.Class(lookupClass).Attainment()),
		fmt.Sprintf("%.1f", free), percent(runnerTimeOf(t).wastedShare()), fmt.Sprint(max(0, excess)), fmt.Sprint(collapses),
		fmt.Sprint(wrong), fmt.Sprint(t.outcomes.RunTwice),
		fmt.Sprint(t.outcomes.FalseNotRun + t.outcomes.FalseRun), fmt.Sprint(t.outcomes.Unknown),
	}
}

// writeStages writes the latency of each stage and the runner time that it used.
func writeStages(w io.Writer, trials []trial) {
	fmt.Fprintln(w, "\n"+row("policy", "stage", "paying p50", "paying p95", "paying p99", "runner-seconds", "of them wasted"))
	fmt.Fprintln(w, row(slices.Repeat([]string{"---"}, 7)...))
	for _, t := range trials {
		used := runnerTimeOf(t)
		stages := t.result.Class(payingClass).Stages
		for _, name := range slices.Sorted(maps.Keys(stages)) {
			times := load.QuantilesOf(stages[name])
			fmt.Fprintln(w, row(t.name, name, millis(times.P50), millis(times.P95), millis(times.P99),
				fmt.Sprintf("%.1f", used.byStage[name].Seconds()), fmt.Sprintf("%.1f", used.wastedByStage[name].Seconds())))
		}
	}
}

// writeRefusals writes how many calls of each class got no answer in time, by reason.
func writeRefusals(w io.Writer, trials []trial) {
	fmt.Fprintln(w, "\n"+row("policy", "callers", "sent", "late", "broken", "refused by kind", "seconds with refusals"))
	fmt.Fprintln(w, row(slices.Repeat([]string{"---"}, 7)...))
	for _, t := range trials {
		for _, c := range t.result.Classes {
			var kinds []string
			for _, k := range slices.Sorted(maps.Keys(c.Refused)) {
				kinds = append(kinds, fmt.Sprintf("%s %d", k, c.Refused[k]))
			}
			fmt.Fprintln(w, row(t.name, c.Name, fmt.Sprint(c.Sent), fmt.Sprint(c.Late), fmt.Sprint(c.Unknown),
				strings.Join(kinds, ", "), missedSeconds(c)))
		}
	}
}

// missedSeconds returns the seconds of arrival in which not all calls were answered in
// time, as ranges.
func missedSeconds(c *load.ClassResult) string {
	var ranges []string
	for i := 0; i < len(c.Seconds); i++ {
		from := i
		for i < len(c.Seconds) && c.Seconds[i].InTime < c.Seconds[i].Sent {
			i++
		}
		if i > from {
			ranges = append(ranges, fmt.Sprintf("%d–%d", from, i))
		}
	}
	return strings.Join(ranges, ", ")
}

// drawPlot plots the attainment of the paying calls by second of arrival.
func drawPlot(sc scenario, trials []trial, file string) error {
	p := plot.New()
	p.Title.Text = sc.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "paying calls in time, %"
	p.Y.Min, p.Y.Max = 0, 105
	p.Legend.Left, p.Legend.Top = true, false
	for i, t := range trials {
		line, err := plotter.NewLine(attainmentPoints(t.result.Class(payingClass)))
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(t.name, line)
	}
	for _, e := range sc.events {
		at := e.at.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: p.Y.Max}})
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		mark.Color = color.Gray{Y: 160}
		p.Add(mark)
		p.Legend.Add(fmt.Sprintf("%s at %s", e.label, e.at), mark)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "save the plot")
}

// attainmentPoints returns the attainment by second of arrival, in percent. Seconds
// without calls are left out.
func attainmentPoints(c *load.ClassResult) plotter.XYs {
	var points plotter.XYs
	for i, s := range c.Seconds {
		if s.Sent > 0 {
			points = append(points, plotter.XY{X: float64(i), Y: 100 * float64(s.InTime) / float64(s.Sent)})
		}
	}
	return points
}
