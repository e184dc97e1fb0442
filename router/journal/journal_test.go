package journal_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/journal"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

func logger(out *bytes.Buffer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: out, DisableTime: true})
}

func TestLogLinesAndDropSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		j := journal.New(logger(&out), clock.System(), journal.WithRate(1, 3), journal.WithSummaryPeriod(10*time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { is.NoErr(j.Run(ctx)) })
		j.Record(journal.Decision{Step: journal.Admitted, Request: "r1"})
		j.Record(journal.Decision{Step: journal.Chosen, Request: "r1", Stage: "rerank", Runner: "b", Reason: "two choices"})
		j.Record(journal.Decision{Step: journal.Answered, Request: "r1", Stage: "rerank", Attempt: "a7", Runner: "b", Took: 3 * time.Millisecond})
		j.Record(journal.Decision{Step: journal.Answered, Request: "r1"})
		j.Record(journal.Decision{Step: journal.Answered, Request: "r2"})
		j.Record(journal.Decision{Step: "new step"})
		synctest.Wait()
		is.NoErr(clock.System().Sleep(ctx, 10*time.Second))
		synctest.Wait()
		j.Record(journal.Decision{Step: journal.Admitted, Request: "r3"}) // the bucket has refilled
		cancel()
		group.Wait()
		golden.Check(t, "testdata/lines.golden", out.String())
	})
}

func TestExplainIsBoundedAndOrdered(t *testing.T) {
	is := is.New(t)
	j := journal.New(hclog.NewNullLogger(), clock.NewManual(time.Unix(9, 0)), journal.WithRetained(64*4))
	for i := range 1000 {
		j.Record(journal.Decision{Step: journal.Sent, Request: fmt.Sprint(i)})
	}
	for i := range 6 {
		j.Record(journal.Decision{Step: journal.Sent, Request: "mine", Attempt: fmt.Sprint(i)})
	}
	got := j.Explain("mine")
	is.Equal(len(got), 4) // the capacity of one shard
	for i, d := range got {
		is.Equal(d.Attempt, fmt.Sprint(i+2)) // the most recent ones, oldest first
		is.Equal(d.At, time.Unix(9, 0))
	}
	total := 0
	for i := range 1000 {
		total += len(j.Explain(fmt.Sprint(i)))
	}
	is.True(total <= 64*4)
	is.Equal(len(j.Explain("none")), 0)
}

// Record must return while nothing reads the queue, and must count every line
// that it drops.
func TestRecordNeverBlocks(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j := journal.New(logger(&out), clock.System(), journal.WithRate(1_000_000, 8))
	for range 100 {
		j.Record(journal.Decision{Step: journal.Sent, Request: "r"})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(j.Run(ctx))
	lines := bytes.Count(out.Bytes(), []byte("decision: "))
	is.True(lines <= 8)
	is.True(bytes.Contains(out.Bytes(), fmt.Appendf(nil, "total=%d sent=%d", 100-lines, 100-lines)))
}

func TestRecordAllocationsBound(t *testing.T) {
	is := is.New(t)
	j := journal.New(hclog.NewNullLogger(), clock.System())
	d := journal.Decision{Step: journal.Sent, Request: "r", Runner: "b", Reason: "two choices"}
	for range 50_000 {
		j.Record(d) // fills the ring, which allocates
	}
	is.True(testing.AllocsPerRun(1000, func() { j.Record(d) }) == 0)
}

// Every step declared in journal.go must have its own count of dropped lines. A
// step missing from the table in step.go would be counted as "other".
func TestEveryStepIsCounted(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("journal.go")
	is.NoErr(err)
	found := regexp.MustCompile(`Step = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	is.True(len(found) > 10)
	for _, m := range found {
		var out bytes.Buffer
		j := journal.New(logger(&out), clock.NewManual(time.Unix(9, 0)), journal.WithRate(1, 1))
		j.Record(journal.Decision{Step: journal.Step(m[1])})
		j.Record(journal.Decision{Step: journal.Step(m[1])})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(j.Run(ctx))
		is.Equal(strings.Count(out.String(), " "+m[1]+"=1"), 1) // not counted as other
	}
}
