package quota_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/quota"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTeamRateIsLimitedToShare(t *testing.T) {
	is := is.New(t)
	q := quota.New()
	q.SetInstances([]string{"a", "b"}, "a")
	limited := bundle.Team{ID: "t", RatePerSecond: 20}
	admitted := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if ok, after := q.Allow(limited, now); ok {
			admitted++
		} else {
			is.True(after > 0)
		}
	}
	is.True(admitted >= 100 && admitted <= 111) // ten seconds' share and the burst
	ok, _ := q.Allow(bundle.Team{ID: "u"}, start)
	is.True(ok)
}

func TestIdleTeamIsDeleted(t *testing.T) {
	is := is.New(t)
	q := quota.New()
	q.SetInstances([]string{"a"}, "a")
	q.Allow(bundle.Team{ID: "t", RatePerSecond: 5}, start)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		for _, r := range q.EndPeriod(now) {
			q.RecordReport(r, now)
		}
	}
	is.Equal(len(q.EndPeriod(now.Add(time.Second))), 0)
}
