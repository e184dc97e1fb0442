package rollout_test

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

// Guards against counts that differ after a report.
func TestEvidenceSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	in := evidence(3, 2)
	r := in["a"]
	r.Candidate.Add(true, time.Second)
	r.Candidate.Add(false, time.Hour)
	r.Baseline.Add(false, 0)
	in["a"] = r
	in["empty"] = rollout.RouteEvidence{}
	data, err := json.Marshal(in)
	is.NoErr(err)
	var out rollout.Evidence
	is.NoErr(json.Unmarshal(data, &out))
	is.Equal(out, in)
}

// Guards against reports that crash the decider.
func TestMalformedTalliesAreRefused(t *testing.T) {
	for _, text := range []string{`[]`, `[1]`, `[1,-1]`, `[1,0,66,1]`, `[1,0,-1,1]`, `[1,0,65,1,1]`, `{}`, `[1,0,9223372036854775807,1]`} {
		is := is.New(t)
		var tally rollout.Tally
		is.True(json.Unmarshal([]byte(text), &tally) != nil) // text is refused
	}
}

// Guards against reports beyond the traffic budget of 10 KB a second, at five reports a
// second: four routes with times over a factor of 100.
func TestReportSizeBound(t *testing.T) {
	is := is.New(t)
	in := make(rollout.Evidence)
	for _, route := range []string{"/v1/a", "/v1/b", "/v1/c", "/v1/d"} {
		var r rollout.RouteEvidence
		for i := range 20000 {
			r.Baseline.Add(false, time.Duration(10+i/20)*time.Millisecond)
			r.Candidate.Add(false, time.Duration(10+i/20)*time.Millisecond)
		}
		in[route] = r
	}
	data, err := json.Marshal(in)
	is.NoErr(err)
	is.True(len(data)*5 < 10_000)
}

// Guards against windows with counts of another time.
func TestDifferenceOfSums(t *testing.T) {
	is := is.New(t)
	a, b := evidence(5, 1), evidence(2, 3)
	is.Equal(a.Plus(b).Minus(a), b)
	is.Equal(a, evidence(5, 1)) // not changed
	is.Equal(len(a.Minus(a.Plus(b))), 0)
	is.Equal(a.Plus(b).Overall(), evidence(7, 4)["a"])
}

// Guards against quantiles that are off by more than a bucket.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	var tally rollout.Tally
	is.Equal(tally.Quantile(0.5), time.Duration(0))
	for i := range 100 {
		tally.Add(false, time.Duration(i+1)*time.Millisecond)
	}
	for _, q := range []float64{0.25, 0.5, 0.9, 1} {
		exact := time.Duration(q * float64(100*time.Millisecond))
		got := tally.Quantile(q)
		is.True(got >= exact && got < exact*6/5)
	}
}

// Guards against answers that are lost, or counted for the other version.
func TestRecorderCounts(t *testing.T) {
	is := is.New(t)
	r := rollout.NewRecorder()
	r.Answered("s", "v2", "a", true, time.Second)
	r.Ended("s", time.Second)
	is.Equal(r.Evidence("s"), nil)
	is.Equal(r.CallTime("s"), time.Duration(0))
	r.Track("s", "v2")
	var workers sync.WaitGroup
	for range 4 {
		workers.Go(func() {
			for range 100 {
				r.Answered("s", "v1", "a", false, time.Millisecond)
				r.Answered("s", "v2", "b", true, time.Millisecond)
				r.Answered("other", "v2", "b", true, time.Millisecond)
				r.Ended("s", time.Second)
			}
		})
	}
	workers.Wait()
	r.Track("s", "v2") // a repeated order
	e := r.Evidence("s")
	is.Equal(len(e), 2)
	is.Equal(e["a"].Baseline.Answers, int64(400))
	is.Equal(e["a"].Baseline.Failures, int64(0))
	is.Equal(e["b"].Candidate.Failures, int64(400))
	is.True(r.CallTime("s") >= time.Second && r.CallTime("s") < 1200*time.Millisecond)
	r.Track("s", "v3")
	is.Equal(len(r.Evidence("s")), 0) // another target
	r.Forget("s")
	is.Equal(r.Evidence("s"), nil)
}

// Guards against callers that make routes without bound.
func TestRecorderBoundsRoutes(t *testing.T) {
	is := is.New(t)
	r := rollout.NewRecorder()
	r.Track("s", "v2")
	for i := range 1000 {
		r.Answered("s", "v2", time.Duration(i).String(), false, time.Millisecond)
	}
	e := r.Evidence("s")
	is.True(len(e) <= 65)
	is.Equal(e.Overall().Candidate.Answers, int64(1000))
}

// Guards against work on the path of requests without a rollout.
func TestRecorderAllocationBound(t *testing.T) {
	is := is.New(t)
	r := rollout.NewRecorder()
	count := func() { r.Answered("s", "v1", "a", false, time.Millisecond) }
	is.Equal(testing.AllocsPerRun(100, count), 0.0)
	r.Track("s", "v2")
	is.Equal(testing.AllocsPerRun(100, count), 0.0)
}

// Guards against a comparison of answers that were given under different shares.
func TestHistoryDividesEvidence(t *testing.T) {
	is := is.New(t)
	var h rollout.History
	var in rollout.Input
	h.Fill(&in)
	is.Equal(len(in.Periods), 0)
	s := rollout.State{}
	h.Add(0, s, evidence(0, 0))
	h.Add(time.Second, s, evidence(10, 0))
	s.Share, s.ShareSince = 0.1, time.Second
	h.Add(1400*time.Millisecond, s, evidence(14, 0))
	h.Add(2*time.Second, s, evidence(20, 1))
	h.Add(4*time.Second, s, evidence(40, 5))
	h.Fill(&in)
	is.Equal(in.Total, evidence(40, 5))
	is.Equal(in.Recent, evidence(20, 4)) // the last 2 s
	is.Equal(len(in.Periods), 2)
	is.Equal(in.Periods[0].Evidence, evidence(20, 1)) // up to the lag after the step
	is.Equal(in.Periods[1], rollout.Period{Share: 0.1, Evidence: evidence(20, 4)})
	s.Before, s.ShareSince = 4*time.Second, -3*time.Second
	h.Add(time.Second, s, evidence(50, 6)) // after a repeated order
	h.Fill(&in)
	is.Equal(in.Recent, evidence(30, 5)) // since the last one that is 2 s old
}
