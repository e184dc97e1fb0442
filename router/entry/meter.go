package entry

import (
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/telemetry"
)

// callerMeter records answered and refused requests in the metrics.
type callerMeter struct {
	metrics telemetry.Metrics
	zone    string
}

// Answered counts a complete answer.
func (m callerMeter) Answered(e caller.EndedRequest, deadlineMet bool) {
	attainment := telemetry.Met
	if !deadlineMet {
		attainment = telemetry.Missed
	}
	m.recordFinished(e, attainment)
}

// Refused counts a refusal. Only refusals of known pipelines count towards
// attainment, since bad input does not measure the service.
func (m callerMeter) Refused(e caller.EndedRequest, refusal *fault.Error) {
	m.metrics.Refused(refusal.Kind(), refusal.Outcome())
	if e.Pipeline == "" {
		return
	}
	attainment := telemetry.Unserved
	if refusal.Kind() == fault.DeadlineExceeded {
		attainment = telemetry.Missed
	}
	m.recordFinished(e, attainment)
}

// Replayed counts an answer that an earlier call had produced.
func (m callerMeter) Replayed(pipeline string) { m.metrics.Replayed(pipeline) }

func (m callerMeter) recordFinished(e caller.EndedRequest, a telemetry.Attainment) {
	m.metrics.Finished(telemetry.Request{
		Tier:       e.Tier,
		Pipeline:   e.Pipeline,
		Zone:       m.zone,
		Attainment: a,
		Took:       e.Took,
		FirstToken: e.FirstToken,
		RunnerTime: e.RunnerTime,
	})
}

// stageMeter records stage attempts in the metrics.
type stageMeter struct{ metrics telemetry.Metrics }

// Attempt counts one attempt.
func (m stageMeter) Attempt(pipeline, stage, zone string, ending pool.Ending, slotTime time.Duration, tokens, cached int) {
	m.metrics.Attempted(telemetry.Attempt{
		Pipeline:     pipeline,
		Stage:        stage,
		Zone:         zone,
		Ending:       ending,
		SlotTime:     slotTime,
		Tokens:       tokens,
		CachedTokens: cached,
	})
}

// AnswerMismatch counts an answer that belongs to another attempt and is
// dropped.
func (m stageMeter) AnswerMismatch(service string) { m.metrics.Dropped(service) }

// storeMeter records calls to the platform's store and list in the metrics.
type storeMeter struct{ metrics telemetry.Metrics }

func (m storeMeter) observe(c platform.Call) {
	m.metrics.StoreCalled(telemetry.StoreCall{Call: c.Kind, Failed: c.Failed, Took: c.Took})
}
