package progress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/progress"
	"github.com/matryer/is"
)

func TestContextEndsWithItsLimits(t *testing.T) {
	limits := progress.Limits{Silence: 100 * time.Millisecond, Total: time.Second}
	for name, c := range map[string]struct {
		notes time.Duration
		want  time.Duration
	}{
		"silent":                   {want: 100 * time.Millisecond},
		"progress until 350 ms":    {notes: 350 * time.Millisecond, want: 450 * time.Millisecond},
		"progress without an end":  {notes: time.Hour, want: time.Second},
		"progress until the total": {notes: 950 * time.Millisecond, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clk := clock.System()
				start := clk.Now()
				ctx, cancel := progress.WithLimits(t.Context(), clk, clock.SystemTimers(), limits)
				defer cancel()
				for clk.Now().Sub(start) < c.notes && ctx.Err() == nil {
					_ = clk.Sleep(ctx, 50*time.Millisecond)
					if clk.Now().Sub(start) <= c.notes {
						progress.Note(ctx)
					}
				}
				<-ctx.Done()
				is.Equal(clk.Now().Sub(start), c.want)
				is.Equal(context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

func TestBytesOfTheConnectionCountAsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.System()
		start := clk.Now()
		ctx, cancel := progress.WithLimits(t.Context(), clk, clock.SystemTimers(), progress.Limits{Silence: 100 * time.Millisecond, Total: time.Second})
		defer cancel()
		lastByte := start.Add(260 * time.Millisecond)
		progress.Follow(ctx, func() time.Duration { return max(0, clk.Now().Sub(lastByte)) })
		<-ctx.Done()
		is.Equal(clk.Now().Sub(start), 360*time.Millisecond)
	})
}

func TestBeginningIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var begun []time.Time
		limits := progress.Limits{Silence: time.Second, Total: time.Second, Begun: func(at time.Time) { begun = append(begun, at) }}
		clk := clock.System()
		ctx, cancel := progress.WithLimits(t.Context(), clk, clock.SystemTimers(), limits)
		defer cancel()
		is.NoErr(clk.Sleep(t.Context(), 300*time.Millisecond))
		first := clk.Now()
		progress.Note(ctx)
		is.NoErr(clk.Sleep(t.Context(), 300*time.Millisecond))
		progress.Note(ctx)
		is.Equal(begun, []time.Time{first})
	})
}
