package stage

import (
	"maps"
	"sync"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
)

// Rollouts records the answers of runners, by which the versions of a service are
// compared. It is safe for concurrent use.
type Rollouts interface {
	// Answered records an answer of a runner, or that there was none if failed is set.
	Answered(service, version, route string, failed bool, took time.Duration)
	// Ended records how long work and its results were at a runner.
	Ended(service string, took time.Duration)
}

// noRollouts records nothing.
type noRollouts struct{}

func (noRollouts) Answered(string, string, string, bool, time.Duration) {}

func (noRollouts) Ended(string, time.Duration) {}

// WithRollouts sets what records the answers of runners. The default records nothing.
func WithRollouts(r Rollouts) PoolsOption { return func(s *poolSet) { s.rollouts = r } }

// The names under which answers are recorded. The pieces of one batch take the same
// time, so that each batch counts once for its time, and each piece for its failure.
const (
	batchRoute = "batches"
	pieceRoute = "pieces"
)

// nominalTime stands for the expected time of a batch in what is recorded: batches have
// different sizes, so their times are recorded as multiples of it.
const nominalTime = 100 * time.Millisecond

// defaultKeep is for how long a result counts as needed at most if the configuration
// doesn't say how long runners keep results. It is longer than calls take.
const defaultKeep = 30 * time.Second

// report records the outcome of a batch that was sent at begun. Answers of cold
// runners, which are slower, say nothing about their version.
func (p *Pool) report(r *inventory.Runner, results []Result, err error, begun time.Time, expected time.Duration) {
	if r.ColdAt(begun) {
		return
	}
	took := p.clk.Now().Sub(begun)
	if err != nil {
		p.rollouts.Answered(p.shard.Service, r.Version, batchRoute, true, took)
		return
	}
	scaled := nominalTime
	if expected > 0 {
		scaled = time.Duration(float64(nominalTime) * float64(took) / float64(expected))
	}
	p.rollouts.Answered(p.shard.Service, r.Version, batchRoute, false, scaled)
	for _, res := range results {
		if res.Handle != "" || res.Failure == Failed || res.Failure == Lost {
			p.rollouts.Answered(p.shard.Service, r.Version, pieceRoute, res.Handle == "", nominalTime)
		}
	}
	p.rollouts.Ended(p.shard.Service, took)
}

// holdResults records that the results of a batch are needed, before the batch counts
// as ended.
func (p *Pool) holdResults(t *target.Target, limits *routing.Batches, results []Result, begun time.Time) {
	keep := limits.KeepFor
	if keep <= 0 {
		keep = defaultKeep
	}
	for _, r := range results {
		if r.Handle != "" {
			p.hold(t, r.Handle, begun, p.clk.Now().Add(keep))
		}
	}
}

// heldResults has the results that were made by this instance's batches and are still
// needed by any instance.
type heldResults struct {
	mu       sync.Mutex
	byHandle map[string]heldResult
}

type heldResult struct {
	released         func()
	service          string
	begun, expiresAt time.Time
}

// add records a result that a runner keeps until expiresAt. begun is when its batch was
// sent.
func (h *heldResults) add(t *target.Target, handle string, begun, expiresAt time.Time) {
	released := t.Hold(1)
	if released == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.byHandle[handle]; ok {
		old.released()
	}
	h.byHandle[handle] = heldResult{released: released, service: t.Runner().Service, begun: begun, expiresAt: expiresAt}
}

// remove records that results are no longer needed, and reports for how long they were.
func (h *heldResults) remove(results []Result, now time.Time, rollouts Rollouts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byHandle) == 0 {
		return
	}
	for _, r := range results {
		if held, ok := h.byHandle[r.Handle]; ok {
			held.released()
			rollouts.Ended(held.service, now.Sub(held.begun))
			delete(h.byHandle, r.Handle)
		}
	}
}

// expire removes the results that their runners no longer keep, whose release was lost.
func (h *heldResults) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.byHandle, func(_ string, held heldResult) bool {
		if !now.After(held.expiresAt) {
			return false
		}
		held.released()
		return true
	})
}
