package journal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

// LineWriter is a non-blocking writer for a logger. Lines above a rate limit,
// and lines that don't fit in the queue because the output is too slow, are
// dropped and counted. Warnings and errors have a rate limit of their own, so
// that lines of lower levels don't use up their share.
type LineWriter interface {
	io.Writer
	// Run writes queued lines until ctx ends, then those still in the queue.
	Run(ctx context.Context) error
	// Dropped returns how many lines were dropped since the start.
	Dropped() int64
}

const (
	// infoPerSecond and infoBurst limit the lines below the level warn.
	infoPerSecond, infoBurst = 500, 1000
	// warnPerSecond and warnBurst limit warnings and errors.
	warnPerSecond, warnBurst = 200, 400
	// maxQueuedLines is the capacity of the queue of lines to write.
	maxQueuedLines = 2048
	// dropReportInterval is how often the count of dropped lines is logged.
	dropReportInterval = 10 * time.Second
)

// NewLineWriter returns a LineWriter that writes to out. The loggers must write
// JSON, one object per line.
func NewLineWriter(out io.Writer, clk clock.Clock) LineWriter {
	return &lineWriter{
		out: out, clk: clk, queue: make(chan []byte, maxQueuedLines),
		infoBucket: newBucket(infoPerSecond, infoBurst), warnBucket: newBucket(warnPerSecond, warnBurst),
	}
}

type lineWriter struct {
	out                    io.Writer
	clk                    clock.Clock
	queue                  chan []byte
	infoBucket, warnBucket *bucket
	dropped                atomic.Int64
}

// Write queues or drops one line. It never fails and never blocks.
func (l *lineWriter) Write(line []byte) (int, error) {
	b := l.infoBucket
	if isWarning(line) {
		b = l.warnBucket
	}
	if !b.take(l.clk.Now()) {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// isWarning reports whether a JSON line has the level warn or error.
func isWarning(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

func (l *lineWriter) Dropped() int64 { return l.dropped.Load() }

func (l *lineWriter) Run(ctx context.Context) error {
	reported := int64(0)
	next := l.clk.After(dropReportInterval)
	for {
		select {
		case line := <-l.queue:
			if err := l.flush(line); err != nil {
				return err
			}
		case <-next:
			next = l.clk.After(dropReportInterval)
			if n := l.dropped.Load(); n > reported {
				line := fmt.Sprintf(`{"@level":"warn","@message":"lines left out","count":%d}`+"\n", n-reported)
				reported = n
				if err := l.flush([]byte(line)); err != nil {
					return err
				}
			}
		case <-ctx.Done():
			return l.flush(nil)
		}
	}
}

// flush writes line and all queued lines in a single call of out.Write.
func (l *lineWriter) flush(line []byte) error {
	for {
		select {
		case queued := <-l.queue:
			line = append(line, queued...)
			continue
		default:
		}
		if len(line) == 0 {
			return nil
		}
		_, err := l.out.Write(line)
		return err
	}
}
