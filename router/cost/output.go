package cost

import (
	"math"
	"time"
)

// Request is what a call says about the length of its answer.
type Request struct {
	Route string
	// Max is the maximum number of output tokens, Hint the caller's estimate; zero if
	// the caller gave none.
	Max, Hint int
}

const (
	// initialPerToken is the time of an output token until answers show it.
	initialPerToken = 20 * time.Millisecond
	minPerToken     = time.Millisecond
	maxPerToken     = 500 * time.Millisecond
	// outputGain is the least weight of an answer in the correction of its route. The
	// first answers have more.
	outputGain = 0.05
	// minCorrection and maxCorrection bound how far answers may be from what calls say:
	// maxima are often many times as long as the answers.
	minCorrection = 1.0 / 256
	maxCorrection = 4
	// maxTokens bounds what a call states.
	maxTokens = 10_000_000
	// maxRoutes bounds the routes that are remembered. Their names come from other
	// instances.
	maxRoutes = 1000
)

// routeKey is a kind of call whose answers are compared with what it said.
type routeKey struct {
	route  string
	hinted bool
}

// correction is the mean logarithm of the ratio of used to stated tokens.
type correction struct {
	log   float64
	count float64
}

// Outputs learns how long answers are. It is not safe for concurrent use.
type Outputs struct {
	routes map[routeKey]correction
	// perToken is the mean logarithm of the time of an output token in seconds.
	perToken correction
}

// NewOutputs returns outputs of which nothing is known.
func NewOutputs() *Outputs { return &Outputs{routes: make(map[routeKey]correction)} }

// stated returns how many tokens a call states, or zero.
func (r Request) stated() (tokens int, key routeKey) {
	switch {
	case r.Hint <= 0:
		return min(max(0, r.Max), maxTokens), routeKey{route: r.Route}
	case r.Max > 0:
		return min(r.Hint, r.Max, maxTokens), routeKey{route: r.Route, hinted: true}
	}
	return min(r.Hint, maxTokens), routeKey{route: r.Route, hinted: true}
}

// Tokens returns the expected number of output tokens, or zero if it isn't known.
func (o *Outputs) Tokens(r Request) int {
	stated, key := r.stated()
	if stated == 0 {
		return 0
	}
	expected := float64(stated) * math.Exp(o.routes[key].log)
	if r.Max > 0 {
		expected = min(expected, float64(r.Max))
	}
	return max(1, int(math.Round(expected)))
}

// PerToken returns the time of an output token at an engine of usual speed.
func (o *Outputs) PerToken() time.Duration {
	if o.perToken.count == 0 {
		return initialPerToken
	}
	return time.Duration(math.Exp(o.perToken.log) * float64(time.Second))
}

// Observe records a complete answer of some tokens, and the time from its first to its
// last one, divided by the ratio of the engine.
func (o *Outputs) Observe(r Request, used int, took time.Duration) {
	if used <= 0 {
		return
	}
	if used > 1 && took > 0 {
		each := took / time.Duration(used-1)
		o.perToken.add(math.Log(min(max(minPerToken, each), maxPerToken).Seconds()))
	}
	stated, key := r.stated()
	if stated == 0 {
		return
	}
	if len(o.routes) >= maxRoutes {
		clear(o.routes)
	}
	c := o.routes[key]
	c.add(math.Log(min(max(minCorrection, float64(used)/float64(stated)), maxCorrection)))
	o.routes[key] = c
}

func (c *correction) add(log float64) {
	c.count++
	c.log += max(1/c.count, outputGain) * (log - c.log)
}
