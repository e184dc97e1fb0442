package load

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the largest value of the histograms, in microseconds. Longer times are
	// recorded as this value.
	maxMicros = 120_000_000
	// precision is the number of significant digits of the histograms.
	precision = 3
)

// Result holds what the callers of all classes got.
type Result struct {
	Seed    uint64         `json:"seed"`
	Classes []*ClassResult `json:"classes"`
}

// ClassResult holds what the callers of one class got.
type ClassResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime counts the complete answers within their deadlines, Late those after their
	// deadlines.
	InTime int `json:"met"`
	Late   int `json:"late"`
	// Unknown counts the calls whose last attempt got neither a complete answer nor an
	// error response. Refused counts those with an error response, by its kind of error.
	Unknown int                `json:"unknown"`
	Refused map[fault.Kind]int `json:"refused"`
	// Wrong describes the wrong answers.
	Wrong []string `json:"wrong,omitempty"`
	// Repeated counts the calls with more than one attempt.
	Repeated   int       `json:"repeated"`
	Times      Quantiles `json:"times"`
	FirstToken Quantiles `json:"firstToken"`
	Seconds    []Second  `json:"seconds"`
	// CallOutcomes are the outcomes of the calls with an idempotency key.
	CallOutcomes []CallOutcome `json:"-"`
	// InTimeRequests are the request identifiers of the calls that met their deadline.
	InTimeRequests []string `json:"-"`
	// Stages are the latencies of each stage in the answers, by stage name.
	Stages map[string]*hdrhistogram.Histogram `json:"-"`

	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// Second counts the calls that arrived in one second, and those that met their deadline.
type Second struct {
	Sent   int `json:"sent"`
	InTime int `json:"met"`
}

// Quantiles holds latency quantiles.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// CallOutcome is what the caller of a non-idempotent call knows after its last attempt.
type CallOutcome struct {
	Team, Key string
	Outcome   fault.Outcome
	// NotRun are the request identifiers of the attempts refused as not run. ReplacedKeys
	// are the earlier keys of the call, all of whose attempts were refused as not run.
	NotRun, ReplacedKeys []string
}

// QuantilesOf returns the quantiles of h, whose values are in microseconds.
func QuantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, precision) }

func newResult(cfg Config) *Result {
	r := &Result{Seed: cfg.Seed}
	for _, class := range cfg.Classes {
		c := &ClassResult{
			Name:       class.Name,
			Refused:    map[fault.Kind]int{},
			Seconds:    make([]Second, int(cfg.Duration/time.Second)+1),
			Stages:     map[string]*hdrhistogram.Histogram{},
			latency:    newHistogram(),
			firstToken: newHistogram(),
		}
		r.Classes = append(r.Classes, c)
	}
	return r
}

// Class returns the result of the class with this name, or nil if there is none.
func (r *Result) Class(name string) *ClassResult {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Attainment returns the share of the calls that met their deadline.
func (c *ClassResult) Attainment() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}

// add counts the reply to a call that arrived at the given time since the start.
func (c *ClassResult) add(at time.Duration, call Call, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := &c.Seconds[int(at/time.Second)]
	second.Sent++
	c.Sent++
	if reply.Attempts > 1 {
		c.Repeated++
	}
	if call.Key != "" {
		c.CallOutcomes = append(c.CallOutcomes, CallOutcome{
			Team: call.Team, Key: reply.Key, Outcome: reply.Outcome, NotRun: reply.NotRunRequests, ReplacedKeys: reply.ReplacedKeys,
		})
	}
	switch {
	case reply.Mismatch != "":
		c.Wrong = append(c.Wrong, reply.Mismatch)
	case reply.Response != nil:
		c.addAnswer(call, reply, second)
	case reply.Kind != "":
		c.Refused[reply.Kind]++
	default:
		c.Unknown++
	}
}

func (c *ClassResult) addAnswer(call Call, reply Reply, second *Second) {
	if reply.Took > call.Deadline {
		c.Late++
	} else {
		c.InTime++
		second.InTime++
		c.InTimeRequests = append(c.InTimeRequests, reply.Response.Request)
	}
	recordTime(c.latency, reply.Took)
	c.Times = QuantilesOf(c.latency)
	if call.Stream {
		recordTime(c.firstToken, reply.FirstToken)
		c.FirstToken = QuantilesOf(c.firstToken)
	}
	for _, s := range reply.Response.Stages {
		h := c.Stages[s.Name]
		if h == nil {
			h = newHistogram()
			c.Stages[s.Name] = h
		}
		recordTime(h, time.Duration(s.Micros)*time.Microsecond)
	}
}

// recordTime adds d to h, limited to maxMicros, so that h accepts every value.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxMicros))
}
