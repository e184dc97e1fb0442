package rollout

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
)

// bucketsPerOctave is the number of buckets between a time and its double.
const bucketsPerOctave = 4

// bucketOf returns the bucket of a time to response: the first one whose upper limit
// is not below it.
func bucketOf(took time.Duration) int {
	if took <= time.Millisecond {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(took)/float64(time.Millisecond))))
	return min(i, buckets-1)
}

// upperLimit returns the longest time that belongs to a bucket. The last bucket has no
// limit; that of the next one in the series stands for it.
func upperLimit(bucket int) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Pow(2, float64(bucket)/bucketsPerOctave))
}

// Add counts an answer. The time of a failure is not counted.
func (t *Tally) Add(failed bool, took time.Duration) {
	t.Answers++
	if failed {
		t.Failures++
		return
	}
	t.Latency[bucketOf(took)]++
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	t.Answers += other.Answers
	t.Failures += other.Failures
	for i, n := range other.Latency {
		t.Latency[i] += n
	}
	return t
}

// Minus returns what t has beyond an earlier tally. No count falls below zero, as those
// of a restarted instance do.
func (t Tally) Minus(earlier Tally) Tally {
	t.Answers = max(t.Answers-earlier.Answers, 0)
	t.Failures = max(t.Failures-earlier.Failures, 0)
	for i, n := range earlier.Latency {
		t.Latency[i] = max(t.Latency[i]-n, 0)
	}
	return t
}

// Successes returns the number of answers in the histogram.
func (t Tally) Successes() int64 { return t.above(-1) }

// above returns the number of answers in the buckets after the given one.
func (t Tally) above(bucket int) int64 {
	var n int64
	for i := max(bucket+1, 0); i < buckets; i++ {
		n += t.Latency[i]
	}
	return n
}

// quantileBucket returns the bucket that has the given quantile of the histogram, or -1
// if it is empty.
func (t Tally) quantileBucket(q float64) int {
	total := t.Successes()
	if total == 0 {
		return -1
	}
	rank := max(int64(math.Ceil(q*float64(total))), 1)
	var n int64
	for i, c := range t.Latency {
		if n += c; n >= rank {
			return i
		}
	}
	return buckets - 1
}

// Quantile returns the upper limit of the bucket that has the given quantile of the
// times, or zero if there are none.
func (t Tally) Quantile(q float64) time.Duration {
	b := t.quantileBucket(q)
	if b < 0 {
		return 0
	}
	return upperLimit(b)
}

// MarshalJSON encodes the tally as an array: answers, failures, the first bucket that
// isn't empty, and the counts from there to the last one that isn't. Instances report
// it every 200 ms.
func (t Tally) MarshalJSON() ([]byte, error) {
	out := []int64{t.Answers, t.Failures}
	first := slices.IndexFunc(t.Latency[:], func(n int64) bool { return n != 0 })
	if first >= 0 {
		last := buckets - 1
		for t.Latency[last] == 0 {
			last--
		}
		out = append(append(out, int64(first)), t.Latency[first:last+1]...)
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes what MarshalJSON encodes. Counts must not be negative.
func (t *Tally) UnmarshalJSON(data []byte) error {
	var in []int64
	if err := json.Unmarshal(data, &in); err != nil {
		return fault.Wrap(fault.BadRequest, err, "tally")
	}
	negative := slices.ContainsFunc(in, func(n int64) bool { return n < 0 })
	if negative || len(in) < 2 || (len(in) > 2 && (in[2] >= buckets || len(in)-3 > int(buckets-in[2]))) {
		return fault.New(fault.BadRequest, "tally: not two counts, a bucket and counts from there")
	}
	*t = Tally{Answers: in[0], Failures: in[1]}
	if len(in) > 2 {
		copy(t.Latency[in[2]:], in[3:])
	}
	return nil
}

// Plus returns the sum of the evidence of both.
func (e Evidence) Plus(other Evidence) Evidence {
	out := e.Clone()
	for route, r := range other {
		sum := out[route]
		sum.Baseline = sum.Baseline.Plus(r.Baseline)
		sum.Candidate = sum.Candidate.Plus(r.Candidate)
		out[route] = sum
	}
	return out
}

// Minus returns what e has beyond earlier evidence, without routes that have nothing.
func (e Evidence) Minus(earlier Evidence) Evidence {
	out := make(Evidence, len(e))
	for route, r := range e {
		before := earlier[route]
		r.Baseline = r.Baseline.Minus(before.Baseline)
		r.Candidate = r.Candidate.Minus(before.Candidate)
		if r != (RouteEvidence{}) {
			out[route] = r
		}
	}
	return out
}

// Clone returns a copy, which is never nil.
func (e Evidence) Clone() Evidence {
	out := make(Evidence, len(e))
	maps.Copy(out, e)
	return out
}

// Overall returns the answers on all routes.
func (e Evidence) Overall() RouteEvidence {
	var out RouteEvidence
	for _, r := range e {
		out.Baseline = out.Baseline.Plus(r.Baseline)
		out.Candidate = out.Candidate.Plus(r.Candidate)
	}
	return out
}
