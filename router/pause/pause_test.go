package pause_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/pause"
	"github.com/matryer/is"
)

func TestPauseHasToBeConfirmed(t *testing.T) {
	is := is.New(t)
	var w pause.Watch
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	is.True(w.Paused(now)) // before the first beat
	w.Beat(now)
	is.True(!w.Paused(now.Add(time.Second)))
	now = now.Add(1100 * time.Millisecond)
	is.True(w.Paused(now)) // detected before the next beat
	is.True(w.Beat(now))
	is.True(w.Paused(now)) // a beat doesn't confirm the pause
	count := w.Count()
	now = now.Add(2 * time.Second)
	is.True(w.Beat(now))
	w.Confirm(count)
	is.True(w.Paused(now)) // only the first pause was confirmed
	w.Confirm(w.Count())
	is.True(!w.Paused(now))
}
