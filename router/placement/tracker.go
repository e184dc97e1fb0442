// Package placement chooses the model engine for each prompt.
package placement

import (
	"slices"
	"strconv"
	"time"

	"cicadawell.dev/router/cost"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/target"
	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPerToken is the approximate time in which an engine processes one
	// prompt token. It and the next two are in force until answers show the times of a
	// service.
	prefillPerToken = 16 * time.Microsecond
	// firstEventOverhead is the approximate time until the first event in addition
	// to the processing of the prompt.
	firstEventOverhead = 30 * time.Millisecond
	// slowdownPerCall is the approximate delay that each running request adds to
	// the next prompt.
	slowdownPerCall = 500 * time.Microsecond
	// crossZonePerMegabyte converts the transfer of results from another zone into
	// time, since traffic between zones is paid by the byte.
	crossZonePerMegabyte = 6 * time.Millisecond
	// cacheShare is the share of an engine's memory that is assumed to cache
	// prompt parts; the rest is for running requests.
	cacheShare = 0.7
	// defaultMemoryTokens is the assumed memory, in tokens, of engines that don't
	// report theirs.
	defaultMemoryTokens = 200_000
)

// FirstEventTime returns the approximate time in which an idle engine sends the
// first event of an answer.
func FirstEventTime(p target.Prompt) time.Duration {
	return firstEventOverhead + time.Duration(p.Tokens)*prefillPerToken
}

// SharedPartsTime returns the approximate time that an engine saves if it has
// cached the shared parts of a prompt.
func SharedPartsTime(p target.Prompt) time.Duration {
	return time.Duration(sharedTokens(p)) * prefillPerToken
}

// criteria are the inputs to the choice of an engine.
type criteria struct {
	prompt target.Prompt
	// zone is where the inputs of the call are stored, and inputBytes is their
	// size.
	zone       string
	inputBytes int64
	// home is the engine that is assumed to cache the shared prompt parts if the
	// tracker knows no engine that does; otherwise it is nil.
	home *target.Target
	// ignoreCache disregards which prompt parts engines have cached.
	ignoreCache bool
	now         time.Time
}

// engineState is the tracked state of one engine.
type engineState struct {
	// pendingTokens is how many prompt tokens the engine still has to process for
	// calls without a first event.
	pendingTokens int
	running       int
	// cached has the prompt parts that the engine has processed.
	cached *partCache
	speed  cost.Speed
	// outputs has the calls at the engine whose output is expected to have some length,
	// if that is taken into account.
	outputs []callOutput
	// waiting has the calls without a first event, in the order in which they were
	// placed, if speeds are learned or their progress counts.
	waiting []*activeCall
	// frontSince is when the engine began to process the prompt of the first of them.
	frontSince time.Time
}

// callOutput is the output of a call at an engine. Times are in nanoseconds, since a
// choice looks at those of all calls at all engines.
type callOutput struct {
	call *activeCall
	// end is when the call is expected to end, least how long it is taken to run at
	// least: calls may be longer than expected.
	end, least int64
}

// tracker tracks the calls in progress at engines and the prompt parts that
// engines cache. It is not safe for concurrent use.
type tracker struct {
	engines map[*target.Target]*engineState
	// memoryTokens is the memory of each engine in tokens.
	memoryTokens int
	// learnSpeed is whether the times of the service and the speeds of its engines are
	// learned from answers.
	learnSpeed bool
	service    *cost.Service
	times      cost.Times
	// countProgress is whether the choice of an engine takes into account what has been
	// processed of the prompts of calls without a first event.
	countProgress bool
	// countOutput is whether the output that calls still have to generate is taken into
	// account.
	countOutput bool
	outputs     *cost.Outputs
	// ends is scratch space for the ends of the calls at one engine.
	ends []int64
}

// initialTimes are the times of a service without answers.
func initialTimes() cost.Times {
	return cost.Times{Overhead: firstEventOverhead, Token: prefillPerToken, Call: slowdownPerCall}
}

func newTracker(rules policy.Policy) *tracker {
	return &tracker{
		engines: make(map[*target.Target]*engineState), memoryTokens: defaultMemoryTokens,
		learnSpeed: rules.EngineSpeeds, service: cost.NewService(initialTimes()), times: initialTimes(),
		countProgress: rules.PromptProgress, countOutput: rules.OutputCost, outputs: cost.NewOutputs(),
	}
}

func (b *tracker) of(t *target.Target) *engineState {
	e := b.engines[t]
	if e == nil {
		e = &engineState{cached: newPartCache(maxCachedParts)}
		b.engines[t] = e
	}
	return e
}

// retain drops the state of all engines but these and those with calls in progress. An
// engine may be unusable for a moment, and the end of a call at one without state would
// make its load negative.
func (b *tracker) retain(all []*target.Target) {
	next := make(map[*target.Target]*engineState, len(all))
	for t, e := range b.engines {
		if e.running > 0 {
			next[t] = e
		}
	}
	for _, t := range all {
		if e := b.engines[t]; e != nil {
			next[t] = e
		}
	}
	b.engines = next
}

// uncachedTokens returns how many tokens of a prompt the engine would have to
// process. A cached part counts only if all parts before it are cached too.
func (e *engineState) uncachedTokens(p target.Prompt) int {
	cached := 0
	for _, part := range p.Parts {
		if !e.cached.has(part.ID) {
			break
		}
		cached += part.Tokens
	}
	return max(0, p.Tokens-cached)
}

// sharedTokens returns how many tokens of a prompt may be shared with other
// prompts: all but those of its last part.
func sharedTokens(p target.Prompt) int {
	sum := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		sum += part.Tokens
	}
	return sum
}

// home returns the engine that all instances assume to cache the shared parts
// of a prompt, chosen by rendezvous hashing. It returns nil if the tracker
// knows an engine that caches them, or if the prompt has no shared parts. When
// an instance is lost, its tracker's state is lost too, but the hash that
// selects the home doesn't depend on that state.
func (b *tracker) home(p target.Prompt, all []*target.Target) *target.Target {
	last := p.SharedKey()
	if last == "" {
		return nil
	}
	var best *target.Target
	top := uint64(0)
	for _, t := range all {
		if b.of(t).cached.has(last) {
			return nil
		}
		r := t.Runner()
		if h := xxhash.Sum64String(last + "/" + r.ID + "/" + strconv.FormatInt(r.Born, 10)); best == nil || h > top {
			best, top = t, h
		}
	}
	return best
}

// work returns what an engine would have to do until the first event of a call.
func (b *tracker) work(t *target.Target, a criteria) cost.Work {
	e := b.of(t)
	uncached := e.uncachedTokens(a.prompt)
	if t == a.home {
		uncached -= sharedTokens(a.prompt)
	}
	if a.ignoreCache {
		uncached = a.prompt.Tokens
	}
	w := cost.Work{Tokens: e.pendingTokens + uncached, Running: float64(e.running)}
	if b.countProgress {
		w.Tokens -= e.processedTokens(a.now, b.times.Token)
	}
	if len(e.outputs) > 0 {
		b.addOutput(&w, t, a.now)
	}
	return w
}

// addOutput takes into account how long the calls at an engine will run: a call that
// ends before the prompt is processed delays it only for a part of that time, and if all
// slots are taken, the prompt waits until one is free.
func (b *tracker) addOutput(w *cost.Work, t *target.Target, now time.Time) {
	e := b.of(t)
	ratio := e.ratio(now)
	prompt := int64(ratio * float64(b.times.Of(cost.Work{Tokens: w.Tokens})))
	nanos := now.UnixNano()
	b.ends = b.ends[:0]
	for _, o := range e.outputs {
		left := max(o.end-nanos, o.least)
		if left < prompt {
			w.Running -= 1 - float64(left)/float64(prompt)
		}
		b.ends = append(b.ends, left)
	}
	full := e.running - t.Runner().Slots
	if full < 0 || full >= len(b.ends) {
		return
	}
	sortFirst(b.ends, full+1)
	// Prompts that are sent before are processed meanwhile.
	wait := time.Duration(float64(b.ends[full])/ratio) - time.Duration(e.pendingTokens)*b.times.Token
	w.Wait = max(0, wait)
}

// minOutputLeft is the part of the expected output that a call is taken to have left at
// least.
const minOutputLeft = 0.1

// addCall records what is expected of the output of a call that begins.
func (b *tracker) addCall(e *engineState, c *activeCall) {
	c.outputTokens = b.outputs.Tokens(c.request)
	if c.outputTokens == 0 {
		return
	}
	c.outputTime = time.Duration(e.ratio(c.begunAt) * float64(time.Duration(c.outputTokens)*b.outputs.PerToken()))
	e.outputs = append(e.outputs, callOutput{call: c, end: c.begunAt.Add(c.expected + c.outputTime).UnixNano(), least: int64(minOutputLeft * float64(c.outputTime))})
}

// outputOf returns the index of a call in the outputs of its engine, or -1.
func (e *engineState) outputOf(c *activeCall) int {
	return slices.IndexFunc(e.outputs, func(o callOutput) bool { return o.call == c })
}

// sortFirst moves the n least values to the front, in order. Usually n is small: about
// the number of calls that wait for a slot.
func sortFirst(list []int64, n int) {
	const few = 8
	if n > few {
		slices.Sort(list)
		return
	}
	for i := range n {
		least := i
		for j := i + 1; j < len(list); j++ {
			if list[j] < list[least] {
				least = j
			}
		}
		list[i], list[least] = list[least], list[i]
	}
}

// cost returns the approximate time until the first event at an engine beyond that of
// an idle engine of usual speed, plus a penalty if the inputs have to be transferred
// from another zone.
func (b *tracker) cost(t *target.Target, a criteria) time.Duration {
	w := b.work(t, a)
	total := b.times.Queue(w)
	if ratio := b.of(t).ratio(a.now); ratio != 1 {
		total = time.Duration(ratio*float64(b.times.Of(w))) - b.times.Overhead
	}
	if a.zone != "" && t.Runner().Zone != a.zone {
		total += time.Duration(a.inputBytes) * crossZonePerMegabyte / 1_000_000
	}
	return total
}

// ratio returns how many times as long as expected of the service the engine takes, by
// the calls that it has answered and by those that are overdue.
func (e *engineState) ratio(now time.Time) float64 {
	known := e.speed.Ratio(now)
	ratio := known
	for _, c := range e.waiting {
		if !c.learn {
			continue
		}
		ratio = max(ratio, cost.Overdue(known, now.Sub(c.begunAt), c.usual))
	}
	return ratio
}

// processedTokens returns how many of the pending tokens the engine has processed by
// now. Those of the front call count as pending until its first event, which is too
// coarse to tell the speed of the engine.
func (e *engineState) processedTokens(now time.Time, perToken time.Duration) int {
	if len(e.waiting) == 0 {
		return 0
	}
	processed := now.Sub(e.frontSince).Seconds() / (perToken.Seconds() * e.speed.Ratio(now))
	return min(e.waiting[0].pendingTokens, int(max(0, processed)))
}

// begin records a call at an engine.
func (b *tracker) begin(c *activeCall, a criteria) {
	e := b.of(c.target)
	c.tracker, c.begunAt, c.work = b, a.now, b.work(c.target, a)
	if !b.countProgress {
		c.work.Tokens -= e.processedTokens(a.now, b.times.Token)
	}
	c.usual = b.times.Of(c.work)
	c.expected = time.Duration(e.ratio(a.now) * float64(c.usual))
	// The time of a prompt whose shared parts are only assumed to be cached shows whether
	// they were, that of one that waits for a slot when another call ended, and neither
	// the speed of the engine.
	c.learn = b.learnSpeed && c.target != a.home && c.work.Wait == 0
	c.pendingTokens = e.uncachedTokens(a.prompt)
	e.pendingTokens += c.pendingTokens
	e.running++
	if b.countOutput {
		b.addCall(e, c)
	}
	if len(e.waiting) == 0 {
		e.frontSince = a.now
	}
	if b.learnSpeed || b.countProgress {
		e.waiting = append(e.waiting, c)
	}
	e.cached.use(a.prompt, int(cacheShare*float64(b.memoryTokens)))
}

// answered records the first event of a call, or that there will be none. after is the
// time that it took, or zero if that isn't known.
func (b *tracker) answered(c *activeCall, after time.Duration, now time.Time) {
	e := b.of(c.target)
	e.pendingTokens -= c.pendingTokens
	c.pendingTokens = 0
	if c.answeredAt.IsZero() {
		c.answeredAt = now
		if i := e.outputOf(c); i >= 0 {
			e.outputs[i].end = now.Add(c.outputTime).UnixNano()
		}
	}
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		if i == 0 && len(e.waiting) > 0 {
			// The engine processes the next prompt while the first event is on its way.
			e.frontSince = now.Add(-time.Duration(e.speed.Ratio(now) * float64(b.times.Overhead)))
			if begun := e.waiting[0].begunAt; begun.After(e.frontSince) {
				e.frontSince = begun
			}
		}
	}
	if !c.learn || after <= 0 {
		return
	}
	// What the engine's ratio explains isn't counted for the service as well.
	b.service.Observe(c.work, time.Duration(float64(after)/e.speed.Ratio(now)))
	e.speed.Observe(now, after, c.usual)
	b.times = b.service.Times()
}

// ended records the end of a call with some output tokens, or zero if its answer isn't
// complete.
func (b *tracker) ended(c *activeCall, output int, now time.Time) {
	e := b.of(c.target)
	e.running--
	if i := e.outputOf(c); i >= 0 {
		e.outputs = slices.Delete(e.outputs, i, i+1)
	}
	if b.countOutput {
		b.outputs.Observe(c.request, output, time.Duration(float64(now.Sub(c.answeredAt))/e.speed.Ratio(now)))
	}
}
