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
	width      = 26 * vg.Centimeter
	panel      = 6.5 * vg.Centimeter
	panels     = 4
	lineWidth  = vg.Length(1.2)
	storeWidth = vg.Length(4)
)

// quiet is the colour of lines that are the same for most processes, so that
// those that differ stand out.
var quiet = color.NRGBA{R: 70, G: 110, B: 160, A: 150}

// Draw writes the overview as an image; the format is "svg" or "png".
func (o Overview) Draw(w io.Writer, format string) error {
	plots := []*plot.Plot{o.answers(), o.steps("configuration in force", func(p Process) []Point { return p.Versions })}
	plots = append(plots, o.steps("runners and instances known", func(p Process) []Point { return p.Runners }, func(p Process) []Point { return p.Members }))
	plots = append(plots, o.stores())
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
		canvas = vgsvg.New(width, panels*panel)
	case "png":
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(width, panels*panel)}
	default:
		return eris.Errorf("found format %q, allowed are svg and png", format)
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

func panelOf(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Add(plotter.NewGrid())
	return p
}

// shown is how many outcomes have a line of their own; a legend of more would
// hide the lines.
const shown = 6

// others sums the outcomes that are too rare for a line of their own.
const others = "all others"

// answers draws how many requests ended in each way, the most frequent first.
func (o Overview) answers() *plot.Plot {
	p := panelOf("requests a second")
	p.Legend.Left = true
	ends := slices.Sorted(maps.Keys(o.Answers))
	slices.SortStableFunc(ends, func(a, b string) int { return total(o.Answers[b]) - total(o.Answers[a]) })
	series := make(map[string][]int)
	for i, outcome := range ends {
		name := outcome
		if i >= shown {
			name = others
		}
		series[name] = sum(series[name], o.Answers[outcome])
	}
	for i, name := range append(ends[:min(shown, len(ends))], others) {
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

// steps draws series of each process that stay until they change.
func (o Overview) steps(title string, of ...func(Process) []Point) *plot.Plot {
	p := panelOf(title)
	for _, series := range of {
		for _, process := range o.Processes {
			var points plotter.XYs
			for _, v := range series(process) {
				points = append(points, plotter.XY{X: v.At.Seconds(), Y: v.Value})
			}
			if n := len(points); n > 0 {
				points = append(points, plotter.XY{X: o.Length.Seconds(), Y: points[n-1].Y})
			}
			addLine(p, "", points, quiet, plotter.PostStep)
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
		// Only points that are no numbers are refused; counts and times are.
		panic(err)
	}
	line.Color, line.Width, line.StepStyle = c, lineWidth, step
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
}

// stores draws a row for each process: times without the store, and starts.
func (o Overview) stores() *plot.Plot {
	p := panelOf("store lost (bars), starts (dots)")
	var names []string
	for i, process := range o.Processes {
		names = append(names, process.Name)
		y := float64(i)
		for _, span := range process.StoreLost {
			line, err := plotter.NewLine(plotter.XYs{{X: span.From.Seconds(), Y: y}, {X: span.To.Seconds(), Y: y}})
			if err != nil {
				panic(err) // see addLine
			}
			line.Color, line.Width = plotutil.Color(0), storeWidth
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
			dots.Color = quiet
			p.Add(dots)
		}
	}
	if len(names) > 0 {
		p.NominalY(names...)
	}
	p.Y.Min, p.Y.Max = -1, float64(len(names))
	return p
}
