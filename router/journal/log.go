package journal

import (
	"context"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// Writer is a journal with the loop that writes its lines.
type Writer interface {
	Journal
	// Run writes lines until ctx ends, then those that wait and the last
	// counts. Lines are left out and counted while it does not run.
	Run(ctx context.Context) error
}

// The defaults of the options.
const (
	// defaultLinesPerSecond bounds the lines of one instance.
	defaultLinesPerSecond = 2000
	// defaultBurst is how many lines may come at once.
	defaultBurst = 4000
	// defaultKept is how many decisions are kept for Explain.
	defaultKept = 32_768
	// defaultSummaryPeriod is the time between counts of lines left out.
	defaultSummaryPeriod = 10 * time.Second
)

// Option changes a journal.
type Option func(*log)

// WithRate bounds the lines to perSecond, with at most burst at once.
func WithRate(perSecond, burst int) Option {
	return func(l *log) {
		l.bucket = newBucket(perSecond, burst)
		l.lines = make(chan Decision, burst)
	}
}

// WithKept sets how many decisions are kept for Explain.
func WithKept(n int) Option {
	return func(l *log) { l.recent = newRecent(n) }
}

// WithSummaryPeriod sets the time between counts of lines left out.
func WithSummaryPeriod(d time.Duration) Option {
	return func(l *log) { l.period = d }
}

// New returns a journal that writes to out.
func New(out hclog.Logger, clk clock.Clock, options ...Option) Writer {
	l := &log{out: out, clk: clk, period: defaultSummaryPeriod}
	WithRate(defaultLinesPerSecond, defaultBurst)(l)
	WithKept(defaultKept)(l)
	for _, o := range options {
		o(l)
	}
	return l
}

// log is the Writer that New returns.
type log struct {
	out    hclog.Logger
	clk    clock.Clock
	period time.Duration
	bucket *bucket
	recent *recent
	// lines holds what Run has yet to write.
	lines chan Decision
	// left counts the lines left out since the last summary.
	left [len(steps)]atomic.Uint64
}

// Record keeps d and hands its line to Run if the rate allows it.
func (l *log) Record(d Decision) {
	now := l.clk.Now()
	if d.At.IsZero() {
		d.At = now
	}
	l.recent.add(d)
	if !l.bucket.take(now) {
		l.left[indexOf(d.Step)].Add(1)
		return
	}
	select {
	case l.lines <- d:
	default:
		l.left[indexOf(d.Step)].Add(1)
	}
}

// Explain returns the decisions kept for a request, oldest first.
func (l *log) Explain(request string) []Decision { return l.recent.of(request) }

// Run writes lines until ctx ends.
func (l *log) Run(ctx context.Context) error {
	tick := l.clk.After(l.period)
	for {
		select {
		case d := <-l.lines:
			l.write(d)
		case <-tick:
			l.summarise()
			tick = l.clk.After(l.period)
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

// drain writes the lines that wait and the last counts.
func (l *log) drain() {
	for {
		select {
		case d := <-l.lines:
			l.write(d)
		default:
			l.summarise()
			return
		}
	}
}

// write writes the line of d, without the fields that do not apply.
func (l *log) write(d Decision) {
	args := []any{"at", d.At.UTC().Format(time.RFC3339Nano), "step", string(d.Step)}
	texts := []struct{ name, value string }{
		{"request", d.Request},
		{"stage", d.Stage},
		{"attempt", d.Attempt},
		{"runner", d.Runner},
		{"reason", d.Reason},
	}
	for _, t := range texts {
		if t.value != "" {
			args = append(args, t.name, t.value)
		}
	}
	if d.Took != 0 {
		args = append(args, "took", d.Took)
	}
	l.out.Info("decision", args...)
}

// summarise writes the counts of lines left out since the last call, if any.
func (l *log) summarise() {
	var total uint64
	args := []any{}
	for i := range l.left {
		n := l.left[i].Swap(0)
		if n == 0 {
			continue
		}
		total += n
		args = append(args, string(steps[i]), n)
	}
	if total > 0 {
		l.out.Info("decisions left out", append([]any{"total", total}, args...)...)
	}
}
