package overview

import (
	"image/color"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	imageWidth  = 26 * vg.Centimeter
	panelHeight = 6.5 * vg.Centimeter
	panels      = 4
	lineWidth   = vg.Length(1.2)
	outageWidth = vg.Length(4)
)

// mutedColor is a translucent colour for the lines of all processes. Where most
// lines coincide, those that differ stand out.
var mutedColor = color.NRGBA{R: 70, G: 110, B: 160, A: 150}

// Draw writes the overview as an image; the format is "svg" or "png".
func (o Overview) Draw(w io.Writer, format string) error {
	plots := []*plot.Plot{o.outcomePlot(), o.seriesPlot("configuration in force", func(p Process) []Point { return p.Versions })}
	plots = append(plots, o.seriesPlot("runners and instances known", func(p Process) []Point { return p.Runners }, func(p Process) []Point { return p.Members }))
	plots = append(plots, o.storePlot())
	for _, p := range plots {
		p.X.Min, p.X.Max = 0, max(1, o.Length.Seconds())
	}
	plots[panels-1].X.Label.Text = "seconds since " + o.From.UTC().Format(time.RFC3339)
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	}
	switch format {
	case "svg":
		canvas = vgsvg.New(imageWidth, panels*panelHeight)
	case "png":
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(imageWidth, panels*panelHeight)}
	default:
		return eris.Errorf("unsupported format %q: use svg or png", format)
	}
	column := make([][]*plot.Plot, panels)
	for i, p := range plots {
		column[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: panels, Cols: 1, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadRight: 4 * vg.Millimeter, PadY: 3 * vg.Millimeter}
	areas := plot.Align(column, tiles, draw.New(canvas))
	for i, p := range plots {
		p.Draw(areas[i][0])
	}
	_, err := canvas.WriteTo(w)
	return eris.Wrap(err, "write image")
}

func newPanel(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Add(plotter.NewGrid())
	return p
}

// maxOutcomes is how many outcomes have a line of their own; a longer legend would
// cover the lines.
const maxOutcomes = 6

// otherOutcomes labels the sum of the outcomes beyond maxOutcomes.
const otherOutcomes = "all others"

// outcomePlot draws the requests per second by outcome, the most frequent first.
func (o Overview) outcomePlot() *plot.Plot {
	p := newPanel("requests a second")
	p.Legend.Left = true
	outcomes := slices.Sorted(maps.Keys(o.Outcomes))
	slices.SortStableFunc(outcomes, func(a, b string) int { return total(o.Outcomes[b]) - total(o.Outcomes[a]) })
	series := make(map[string][]int)
	for i, outcome := range outcomes {
		name := outcome
		if i >= maxOutcomes {
			name = otherOutcomes
		}
		series[name] = sum(series[name], o.Outcomes[outcome])
	}
	for i, name := range append(outcomes[:min(maxOutcomes, len(outcomes))], otherOutcomes) {
		var points plotter.XYs
		for second, n := range series[name] {
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: float64(n)})
		}
		addLine(p, name, points, plotutil.Color(i), plotter.NoStep)
	}
	return p
}

func total(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func sum(a, b []int) []int {
	out := make([]int, max(len(a), len(b)))
	copy(out, a)
	for i, n := range b {
		out[i] += n
	}
	return out
}

// seriesPlot draws step series of each process; a value holds until the next
// point.
func (o Overview) seriesPlot(title string, seriesOf ...func(Process) []Point) *plot.Plot {
	p := newPanel(title)
	for _, series := range seriesOf {
		for _, process := range o.Processes {
			var points plotter.XYs
			for _, v := range series(process) {
				points = append(points, plotter.XY{X: v.At.Seconds(), Y: v.Value})
			}
			if n := len(points); n > 0 {
				points = append(points, plotter.XY{X: o.Length.Seconds(), Y: points[n-1].Y})
			}
			addLine(p, "", points, mutedColor, plotter.PostStep)
		}
	}
	p.Y.Min = 0
	return p
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color, step plotter.StepKind) {
	if len(points) == 0 {
		return
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		// NewLine rejects only NaN and infinite values, which counts and times
		// never are.
		panic(err)
	}
	line.Color, line.Width, line.StepStyle = c, lineWidth, step
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
}

// storePlot draws a row for each process with its store outages and its starts.
func (o Overview) storePlot() *plot.Plot {
	p := newPanel("store lost (bars), starts (dots)")
	var names []string
	for i, process := range o.Processes {
		names = append(names, process.Name)
		y := float64(i)
		for _, span := range process.StoreOutages {
			line, err := plotter.NewLine(plotter.XYs{{X: span.From.Seconds(), Y: y}, {X: span.To.Seconds(), Y: y}})
			if err != nil {
				panic(err) // see addLine
			}
			line.Color, line.Width = plotutil.Color(0), outageWidth
			p.Add(line)
		}
		var starts plotter.XYs
		for _, at := range process.Starts {
			starts = append(starts, plotter.XY{X: at.Seconds(), Y: y})
		}
		if len(starts) > 0 {
			dots, err := plotter.NewScatter(starts)
			if err != nil {
				panic(err) // see addLine
			}
			dots.Color = mutedColor
			p.Add(dots)
		}
	}
	if len(names) > 0 {
		p.NominalY(names...)
	}
	p.Y.Min, p.Y.Max = -1, float64(len(names))
	return p
}
