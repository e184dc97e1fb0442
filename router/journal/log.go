package journal

import (
	"context"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// Writer is a Journal with the loop that writes its log lines.
type Writer interface {
	Journal
	// Run writes lines until ctx ends, then the queued lines and the last
	// summary. While it does not run, lines beyond the queue are dropped
	// and counted.
	Run(ctx context.Context) error
}

// Defaults of the options.
const (
	// defaultLinesPerSecond limits the log lines of one instance.
	defaultLinesPerSecond = 2000
	// defaultBurst is the capacity of the token bucket and of the queue,
	// in lines.
	defaultBurst = 4000
	// defaultRetained is how many decisions are retained for Explain.
	defaultRetained = 32_768
	// defaultSummaryPeriod is the time between summaries of dropped lines.
	defaultSummaryPeriod = 10 * time.Second
)

// Option configures a journal.
type Option func(*log)

// WithRate limits the log lines to perSecond, with bursts of at most burst.
func WithRate(perSecond, burst int) Option {
	return func(l *log) {
		l.bucket = newBucket(perSecond, burst)
		l.queue = make(chan Decision, burst)
	}
}

// WithRetained sets how many decisions are retained for Explain.
func WithRetained(n int) Option {
	return func(l *log) { l.recent = newRecent(n) }
}

// WithSummaryPeriod sets the time between summaries of dropped lines.
func WithSummaryPeriod(d time.Duration) Option {
	return func(l *log) { l.summaryPeriod = d }
}

// New returns a journal that writes to out.
func New(out hclog.Logger, clk clock.Clock, options ...Option) Writer {
	l := &log{out: out, clk: clk, summaryPeriod: defaultSummaryPeriod}
	WithRate(defaultLinesPerSecond, defaultBurst)(l)
	WithRetained(defaultRetained)(l)
	for _, o := range options {
		o(l)
	}
	return l
}

// log is the Writer that New returns.
type log struct {
	out           hclog.Logger
	clk           clock.Clock
	summaryPeriod time.Duration
	bucket        *bucket
	recent        *recent
	// queue holds the decisions whose lines Run has yet to write.
	queue chan Decision
	// dropped counts the lines dropped since the last summary, by step.
	dropped [len(steps)]atomic.Uint64
}

// Record retains d and queues its line if the rate limit and the queue allow
// it; otherwise it counts the line as dropped.
func (l *log) Record(d Decision) {
	now := l.clk.Now()
	if d.At.IsZero() {
		d.At = now
	}
	l.recent.add(d)
	if !l.bucket.take(now) {
		l.dropped[indexOf(d.Step)].Add(1)
		return
	}
	select {
	case l.queue <- d:
	default:
		l.dropped[indexOf(d.Step)].Add(1)
	}
}

// Explain returns the retained decisions of a request, oldest first.
func (l *log) Explain(request string) []Decision { return l.recent.find(request) }

// Run writes lines and summaries until ctx ends.
func (l *log) Run(ctx context.Context) error {
	tick := l.clk.After(l.summaryPeriod)
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		case <-tick:
			l.summarise()
			tick = l.clk.After(l.summaryPeriod)
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

// drain writes the queued lines and the last summary.
func (l *log) drain() {
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		default:
			l.summarise()
			return
		}
	}
}

// write logs d without its empty fields.
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

// summarise logs the counts of lines dropped since the last call, if any.
func (l *log) summarise() {
	var total uint64
	args := []any{}
	for i := range l.dropped {
		n := l.dropped[i].Swap(0)
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
