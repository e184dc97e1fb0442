package relay

import (
	"testing"
	"time"

	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

func TestLongestDurationOfRecentCalls(t *testing.T) {
	is := is.New(t)
	var d durations
	now := time.Unix(0, 0).Add(10 * durationWindow)
	is.Equal(d.longest("a", now), time.Duration(0))
	d.record("a", now, 3*time.Second)
	d.record("a", now, time.Second)
	d.record("b", now, 9*time.Second)
	is.Equal(d.longest("a", now), 3*time.Second)
	now = now.Add(durationWindow)
	d.record("a", now, 2*time.Second)
	is.Equal(d.longest("a", now), 3*time.Second) // of the window before
	now = now.Add(durationWindow)
	is.Equal(d.longest("a", now), 2*time.Second)
	is.Equal(d.longest("a", now.Add(3*durationWindow)), time.Duration(0))
}

func TestNeededTimeCoversRecentCalls(t *testing.T) {
	is := is.New(t)
	r := &routing.Route{Objective: 100 * time.Millisecond, Timeout: 4 * time.Second}
	is.Equal(neededTime(r, 0), 4*time.Second)
	is.Equal(neededTime(r, time.Millisecond), 400*time.Millisecond)
	is.Equal(neededTime(r, 1500*time.Millisecond), 3*time.Second)
}
