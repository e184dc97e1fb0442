package rollout_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
)

// deploymentBounds are those of the deployment that sets them.
var deploymentBounds = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

const (
	tick       = 10 * time.Millisecond
	reportLate = 200 * time.Millisecond
	decideLate = 400 * time.Millisecond
	instances  = 5
)

// call is one call of the model.
type call struct {
	at       time.Duration // since the order
	route    string
	new      bool
	share    float64 // in force as it was sent
	load     float64 // of its runner, as a part of that after completion
	duration time.Duration
	rng      *rand.Rand
}

// answer is what a runner makes of a call. Defective marks the answers by which a bad
// version differs.
type answer struct {
	took              time.Duration
	failed, defective bool
}

// scenario is a rollout under a load.
type scenario struct {
	rate     float64 // calls per second
	duration time.Duration
	bounds   rollout.Bounds
	runners  int64
	// answer makes the answer to a call; took is that of an old version without load.
	answer version
	// runnersAt, orderAt and change, if set, replace the candidate's runners, the order
	// and the input at a time.
	runnersAt func(at time.Duration) int64
	orderAt   func(at time.Duration) *rollout.Order
	change    func(at time.Duration, in *rollout.Input)
	median    time.Duration
	spread    float64
	// until, if set, is how long the model runs after the order.
	until time.Duration
}

// result is what the model saw.
type result struct {
	final rollout.State
	// decided is when the rollout ended, 0 if it didn't.
	decided time.Duration
	states  []rollout.State
	at      []time.Duration
	// calls and exposed count the calls, and those to the new version, by the deadline.
	calls, exposed int
	// defective has the times of the bad answers, lastSent that of the last call to the
	// new version before a completion.
	defective []time.Duration
	lastSent  time.Duration
	// left is the number of calls at old runners when the rollout was completed, and
	// leftAtMostOnce those of them that must not be repeated.
	left, leftAtMostOnce int
}

// report is what instances report at a time.
type report struct {
	evidence       rollout.Evidence
	sent, inFlight rollout.Counts
	atMostOnce     int64
	step           int64
	callTime       time.Duration
}

// model plays a scenario without a network: calls arrive at random, are sent by the
// state that instances apply decideLate after its decision, and are reported to the
// decider reportLate after their answer.
type model struct {
	scenario
	rng      *rand.Rand
	credits  [instances]float64
	ends     map[time.Duration][]ended
	recorder rollout.Recorder
	report   report
	history  rollout.History
	state    *rollout.State
	applied  rollout.State
	recent   []time.Duration // when calls were sent to the new version
	result
}

type ended struct {
	call
	answer
	atMostOnce bool
}

func play(s scenario, seed uint64) result {
	m := &model{scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), ends: make(map[time.Duration][]ended)}
	if m.runners == 0 {
		m.runners = 10
	}
	if m.bounds == (rollout.Bounds{}) {
		m.bounds = deploymentBounds
	}
	if m.median == 0 {
		m.median, m.spread = 80*time.Millisecond, 0.4
	}
	if m.until == 0 {
		m.until = m.duration + 3*time.Second
	}
	m.recorder = rollout.NewRecorder()
	m.recorder.Track("s", "v2")
	for i := range m.credits {
		m.credits[i] = m.rng.Float64()
	}
	m.run()
	return m.result
}

func (m *model) run() {
	reports := make(map[time.Duration]report)
	for at := time.Duration(0); at < m.until; at += tick {
		for i, s := range m.states {
			if m.at[i]+decideLate <= at {
				m.applied = s
			}
		}
		m.finish(at)
		m.send(at)
		if at%(200*time.Millisecond) != 0 {
			continue
		}
		m.report.evidence = m.recorder.Evidence("s")
		m.report.step = m.applied.Step
		m.report.callTime = m.recorder.CallTime("s")
		reports[at] = m.report
		m.decide(at, reports[at-reportLate])
		delete(reports, at-reportLate)
	}
	if m.state != nil {
		m.final = *m.state
	}
}

// finish counts the calls that end by a time.
func (m *model) finish(at time.Duration) {
	for _, e := range m.ends[at] {
		version := "v1"
		if e.new {
			version = "v2"
			m.report.inFlight.Candidate--
		} else {
			m.report.inFlight.Baseline--
			if e.atMostOnce {
				m.report.atMostOnce--
			}
		}
		if e.new && e.defective {
			m.defective = append(m.defective, at)
		}
		m.recorder.Answered("s", version, e.route, e.failed, e.took)
		m.recorder.Ended("s", e.took)
	}
	delete(m.ends, at)
}

func (m *model) newRunners(at time.Duration) int64 {
	if m.runnersAt != nil {
		return m.runnersAt(at)
	}
	return m.runners
}

// send sends the calls that arrive at a time.
func (m *model) send(at time.Duration) {
	for len(m.recent) > 0 && m.recent[0] <= at-500*time.Millisecond {
		m.recent = m.recent[1:]
	}
	for range poisson(m.rng, m.rate*tick.Seconds()) {
		c := call{at: at, route: string(rune('a' + m.rng.IntN(4))), share: m.applied.Share, duration: m.duration, rng: m.rng}
		i := m.rng.IntN(instances)
		m.credits[i] += c.share
		if m.credits[i] >= 1 && m.newRunners(at) > 0 {
			c.new = true
			m.credits[i]--
		}
		m.credits[i] = min(m.credits[i], 1)
		if at <= m.duration {
			m.calls++
			if c.new {
				m.exposed++
			}
		}
		if c.new {
			m.lastSent = at
			m.recent = append(m.recent, at)
			used := float64(m.newRunners(at))
			if m.applied.Runners > 0 {
				used = float64(m.applied.Runners)
			}
			c.load = float64(len(m.recent)) / 0.5 / used / (m.rate / float64(m.runners))
			m.report.sent.Candidate++
			m.report.inFlight.Candidate++
		} else {
			m.report.sent.Baseline++
			m.report.inFlight.Baseline++
		}
		usual := answer{took: time.Duration(float64(m.median) * math.Exp(m.spread*m.rng.NormFloat64()))}
		e := ended{call: c, answer: m.answer(c, usual), atMostOnce: !c.new && m.rng.IntN(10) == 0}
		if e.atMostOnce {
			m.report.atMostOnce++
		}
		end := (at + e.took).Truncate(tick) + tick
		m.ends[end] = append(m.ends[end], e)
	}
}

// decide lets the decider decide by a report.
func (m *model) decide(at time.Duration, r report) {
	order := &rollout.Order{Service: "s", Target: "v2", Duration: m.duration, Revision: era.New(0, 1)}
	if m.orderAt != nil {
		order = m.orderAt(at)
	}
	in := rollout.Input{
		Order: order, State: m.state, Elapsed: at, Sent: r.sent, InFlight: r.inFlight, BaselineAtMostOnce: r.atMostOnce,
		Runners: rollout.Counts{Baseline: m.runners, Candidate: m.newRunners(at)}, BaselineVersions: []string{"v1"}, CallTime: r.callTime,
	}
	if m.state != nil {
		m.history.Add(at, *m.state, r.evidence)
		if r.step < m.state.Step {
			in.Unconfirmed = instances
		}
	}
	m.history.Fill(&in)
	if m.change != nil {
		m.change(at, &in)
	}
	next, changed := rollout.Decide(in, m.bounds)
	if !changed {
		if refreshed, due := rollout.Refresh(in); due {
			m.state = &refreshed
		}
		return
	}
	m.state = &next
	m.states = append(m.states, next)
	m.at = append(m.at, at)
	if next.Phase != rollout.Running && m.decided == 0 {
		m.decided = at
		m.left, m.leftAtMostOnce = int(m.report.inFlight.Baseline), int(m.report.atMostOnce)
	}
}

// poisson draws the number of events with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// shares returns the shares of the states, without repetitions.
func (r result) shares() []float64 {
	var out []float64
	for _, s := range r.states {
		out = append(out, s.Share)
	}
	return slices.Compact(out)
}
