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

// Lines passes the lines of a logger on without ever making it wait: lines are
// bounded by a rate, and those that the reader doesn't take in time are left
// out and counted. Warnings and errors have a rate of their own, so that lines
// about what went well don't displace them.
type Lines interface {
	io.Writer
	// Run writes lines until ctx ends, then those that wait.
	Run(ctx context.Context) error
	// LeftOut returns how many lines were left out.
	LeftOut() int64
}

const (
	// plainPerSecond and plainBurst bound the lines about what went well.
	plainPerSecond, plainBurst = 500, 1000
	// failurePerSecond and failureBurst bound warnings and errors.
	failurePerSecond, failureBurst = 200, 400
	// waitingLines is how many lines wait for the reader at most.
	waitingLines = 2048
	// leftOutEvery is how often the count of lines left out is written.
	leftOutEvery = 10 * time.Second
)

// NewLines returns lines that go to out. The loggers must write JSON, one object
// a line.
func NewLines(out io.Writer, clk clock.Clock) Lines {
	return &lines{
		out: out, clk: clk, waiting: make(chan []byte, waitingLines),
		plain: newBucket(plainPerSecond, plainBurst), failures: newBucket(failurePerSecond, failureBurst),
	}
}

type lines struct {
	out             io.Writer
	clk             clock.Clock
	waiting         chan []byte
	plain, failures *bucket
	leftOut         atomic.Int64
}

// Write takes one line. It never fails and never waits.
func (l *lines) Write(line []byte) (int, error) {
	b := l.plain
	if failure(line) {
		b = l.failures
	}
	if !b.take(l.clk.Now()) {
		l.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case l.waiting <- bytes.Clone(line):
	default:
		l.leftOut.Add(1)
	}
	return len(line), nil
}

// failure reports whether a line is a warning or an error.
func failure(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

func (l *lines) LeftOut() int64 { return l.leftOut.Load() }

func (l *lines) Run(ctx context.Context) error {
	told := int64(0)
	next := l.clk.After(leftOutEvery)
	for {
		select {
		case line := <-l.waiting:
			if err := l.flush(line); err != nil {
				return err
			}
		case <-next:
			next = l.clk.After(leftOutEvery)
			if n := l.leftOut.Load(); n > told {
				line := fmt.Sprintf(`{"@level":"warn","@message":"lines left out","count":%d}`+"\n", n-told)
				told = n
				if err := l.flush([]byte(line)); err != nil {
					return err
				}
			}
		case <-ctx.Done():
			return l.flush(nil)
		}
	}
}

// flush writes a line together with those that wait.
func (l *lines) flush(line []byte) error {
	for {
		select {
		case more := <-l.waiting:
			line = append(line, more...)
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
