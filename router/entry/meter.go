package entry

import (
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/gauge"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/pool"
)

// callerMeter counts what callers got.
type callerMeter struct {
	metrics gauge.Metrics
	zone    string
}

// Answered counts a whole answer.
func (m callerMeter) Answered(e caller.Ended, met bool) {
	attainment := gauge.Met
	if !met {
		attainment = gauge.Missed
	}
	m.finished(e, attainment)
}

// Refused counts a refusal. Bad input says nothing about the service, so that
// only refusals of known pipelines count towards attainment.
func (m callerMeter) Refused(e caller.Ended, why *fault.Error) {
	m.metrics.Refused(why.Kind(), why.Outcome())
	if e.Pipeline == "" {
		return
	}
	attainment := gauge.Unserved
	if why.Kind() == fault.DeadlineMissed {
		attainment = gauge.Missed
	}
	m.finished(e, attainment)
}

// Replayed counts an answer that an earlier call had produced.
func (m callerMeter) Replayed(pipeline string) { m.metrics.Replayed(pipeline) }

func (m callerMeter) finished(e caller.Ended, a gauge.Attainment) {
	m.metrics.Finished(gauge.Request{
		Tier:       e.Tier,
		Pipeline:   e.Pipeline,
		Zone:       m.zone,
		Attainment: a,
		Took:       e.Took,
		FirstToken: e.FirstToken,
		Spent:      e.Spent,
	})
}

// stageMeter counts what stages cost.
type stageMeter struct{ metrics gauge.Metrics }

// Attempt counts one attempt.
func (m stageMeter) Attempt(pipeline, stage, zone string, ending pool.Ending, held time.Duration, tokens, cached int) {
	m.metrics.Attempted(gauge.Attempt{
		Pipeline:     pipeline,
		Stage:        stage,
		Zone:         zone,
		Ending:       ending,
		Busy:         held,
		Tokens:       tokens,
		CachedTokens: cached,
	})
}

// Foreign counts an answer to another attempt.
func (m stageMeter) Foreign(service string) { m.metrics.Dropped(service) }

// storeMeter counts calls to the platform.
type storeMeter struct{ metrics gauge.Metrics }

func (m storeMeter) observe(c platform.Call) {
	m.metrics.StoreCalled(gauge.StoreCall{Call: c.Kind, Failed: c.Failed, Took: c.Took})
}
