package load

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the longest time that the histograms tell apart.
	maxMicros = 120_000_000
	// precision is the number of significant digits of the histograms.
	precision = 3
)

// Result is what the callers of all classes got.
type Result struct {
	Seed    uint64         `json:"seed"`
	Classes []*ClassResult `json:"classes"`
}

// ClassResult is what the callers of one class got.
type ClassResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Met counts the whole answers within their deadlines, Late those
	// after.
	Met  int `json:"met"`
	Late int `json:"late"`
	// Unknown counts the calls without an answer whose fate is unknown,
	// Refused the refusals by kind.
	Unknown int                `json:"unknown"`
	Refused map[fault.Kind]int `json:"refused"`
	// Wrong says what is wrong with answers.
	Wrong []string `json:"wrong,omitempty"`
	// Repeated counts the calls of more than one try.
	Repeated   int      `json:"repeated"`
	Times      Times    `json:"times"`
	FirstToken Times    `json:"firstToken"`
	Seconds    []Second `json:"seconds"`
	// Calls are those that may not be repeated.
	Calls []Once `json:"-"`
	// Requests are the identifiers of the calls that met their deadline.
	Requests []string `json:"-"`
	// Stages are the times of each stage in the answers.
	Stages map[string]*hdrhistogram.Histogram `json:"-"`

	mu         sync.Mutex
	took       *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// Second is what became of the calls that arrived in one second.
type Second struct {
	Sent int `json:"sent"`
	Met  int `json:"met"`
}

// Times are quantiles.
type Times struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Once is what the caller of a call that may not be repeated knows in the end.
type Once struct {
	Team, Key string
	Outcome   fault.Outcome
	// NotRun are the identifiers of the tries refused as not run, GivenUp
	// the keys of which all tries were.
	NotRun, GivenUp []string
}

// TimesOf returns the quantiles of h, which counts microseconds.
func TimesOf(h *hdrhistogram.Histogram) Times {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Times{P50: at(50), P95: at(95), P99: at(99)}
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
			took:       newHistogram(),
			firstToken: newHistogram(),
		}
		r.Classes = append(r.Classes, c)
	}
	return r
}

// Class returns the result of the class with this name, which must exist.
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
	return float64(c.Met) / float64(c.Sent)
}

// add takes in the reply to a call that arrived at a time since the start.
func (c *ClassResult) add(at time.Duration, call Call, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := &c.Seconds[int(at/time.Second)]
	second.Sent++
	c.Sent++
	if reply.Tries > 1 {
		c.Repeated++
	}
	if call.Key != "" {
		c.Calls = append(c.Calls, Once{
			Team: call.Team, Key: reply.Key, Outcome: reply.Outcome, NotRun: reply.Requests, GivenUp: reply.GivenUp,
		})
	}
	switch {
	case reply.Wrong != "":
		c.Wrong = append(c.Wrong, reply.Wrong)
	case reply.Answer != nil:
		c.answered(call, reply, second)
	case reply.Kind != "":
		c.Refused[reply.Kind]++
	default:
		c.Unknown++
	}
}

func (c *ClassResult) answered(call Call, reply Reply, second *Second) {
	if reply.Took > call.Deadline {
		c.Late++
	} else {
		c.Met++
		second.Met++
		c.Requests = append(c.Requests, reply.Answer.Request)
	}
	record(c.took, reply.Took)
	c.Times = TimesOf(c.took)
	if call.Stream {
		record(c.firstToken, reply.FirstToken)
		c.FirstToken = TimesOf(c.firstToken)
	}
	for _, s := range reply.Answer.Stages {
		h := c.Stages[s.Name]
		if h == nil {
			h = newHistogram()
			c.Stages[s.Name] = h
		}
		record(h, time.Duration(s.Micros)*time.Microsecond)
	}
}

// record adds d to h, which takes every time below its maximum.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxMicros))
}
