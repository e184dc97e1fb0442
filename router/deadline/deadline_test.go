package deadline_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/deadline"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var pipeline = bundle.Pipeline{ID: "p", Stages: make([]bundle.Stage, 3)}

// newObserved returns Budgets with 32 measurements of each duration, for the
// stages 0, 1, ….
func newObserved(clk clock.Clock, took ...time.Duration) deadline.Budgets {
	b := deadline.New(clk)
	for i, d := range took {
		for range 32 {
			b.Observe("p", i, d)
		}
	}
	return b
}

func TestPlanReservesTimeForLaterStages(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	b := newObserved(clk, 100*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond)
	stageDeadline, err := b.Plan(pipeline, 0, start, start.Add(time.Second))
	is.NoErr(err)
	is.True(stageDeadline.Before(start.Add(500 * time.Millisecond)))
	is.True(stageDeadline.After(start.Add(400 * time.Millisecond)))
	stageDeadline, err = b.Plan(pipeline, 2, start, start.Add(time.Second))
	is.NoErr(err)
	is.Equal(stageDeadline, start.Add(time.Second))
}

func TestPlanRejectsUnreachableDeadline(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	b := newObserved(clk, 100*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond)
	_, err := b.Plan(pipeline, 0, start, start.Add(550*time.Millisecond))
	is.True(fault.Is(err, fault.DeadlineTooShort))
	_, err = b.Plan(pipeline, 2, start, start.Add(550*time.Millisecond))
	is.NoErr(err)
	_, err = b.Plan(pipeline, 2, start, start)
	is.True(fault.Is(err, fault.DeadlineTooShort))
}

func TestRejectionsEndWhenMeasurementsExpire(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	b := newObserved(clk, time.Hour, time.Hour, time.Hour)
	_, err := b.Plan(pipeline, 0, clk.Now(), clk.Now().Add(time.Second))
	is.True(fault.Is(err, fault.DeadlineTooShort))
	clk.Advance(time.Second)
	_, err = b.Plan(pipeline, 0, clk.Now(), clk.Now().Add(time.Second))
	is.NoErr(err) // admitted as a probe
	_, err = b.Plan(pipeline, 0, clk.Now(), clk.Now().Add(time.Second))
	is.True(fault.Is(err, fault.DeadlineTooShort))
	clk.Advance(2 * time.Second)
	for range 3 {
		_, err = b.Plan(pipeline, 0, clk.Now(), clk.Now().Add(time.Second))
		is.NoErr(err)
	}
}
