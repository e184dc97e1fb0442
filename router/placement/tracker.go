// Package placement chooses the model engine for each prompt.
package placement

import (
	"strconv"
	"time"

	"cicadawell.dev/router/target"
	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPerToken is about what an engine spends on one token of a prompt.
	prefillPerToken = 16 * time.Microsecond
	// engineStart is about what an engine needs for a first event beside the
	// prompt.
	engineStart = 30 * time.Millisecond
	// decodePerCall is about how much one running request slows the next
	// prompt down.
	decodePerCall = 500 * time.Microsecond
	// crossPerMegabyte weighs results that are fetched from another zone
	// against time: links between zones are paid by the byte.
	crossPerMegabyte = 6 * time.Millisecond
	// keptShare is the part of an engine's memory in which prompt parts are
	// taken to be kept; the rest is for running requests.
	keptShare = 0.7
	// defaultMemory stands for the memory of engines that don't tell theirs.
	defaultMemory = 200_000
)

// FirstEvent returns about how long an engine with nothing else to do needs for
// the first event of an answer.
func FirstEvent(p target.Prompt) time.Duration {
	return engineStart + time.Duration(p.Tokens)*prefillPerToken
}

// ask is what a choice depends on.
type ask struct {
	prompt target.Prompt
	// zone is where the inputs of the call are, and bytes how long they are.
	zone  string
	bytes int64
	// home is the engine that is taken to keep the shared parts if the tracker
	// knows of none; nil if it does.
	home *target.Target
	// anywhere disregards what engines have read.
	anywhere bool
}

// engine is what the tracker holds of one engine.
type engine struct {
	// pending are the tokens that it has to read for calls without an event.
	pending int
	running int
	// kept has the prompt parts that it has read, with the time of their last
	// use.
	kept   map[string]part
	tokens int
}

type part struct {
	tokens int
	used   time.Time
}

// tracker tells what was sent to engines and hasn't ended. It is not safe for
// concurrent use.
type tracker struct {
	engines map[*target.Target]*engine
	// memory is an engine's memory in tokens.
	memory int
}

func newTracker() *tracker {
	return &tracker{engines: make(map[*target.Target]*engine), memory: defaultMemory}
}

func (b *tracker) of(t *target.Target) *engine {
	e := b.engines[t]
	if e == nil {
		e = &engine{kept: make(map[string]part)}
		b.engines[t] = e
	}
	return e
}

// retain forgets all engines but these.
func (b *tracker) retain(all []*target.Target) {
	next := make(map[*target.Target]*engine, len(all))
	for _, t := range all {
		if e := b.engines[t]; e != nil {
			next[t] = e
		}
	}
	b.engines = next
}

// unread returns how many tokens of a prompt the engine would have to read: a
// part that is kept counts only if all parts before it are kept too.
func (e *engine) unread(p target.Prompt) int {
	kept := 0
	for _, part := range p.Parts {
		if _, ok := e.kept[part.ID]; !ok {
			break
		}
		kept += part.Tokens
	}
	return max(0, p.Tokens-kept)
}

// sharedTokens returns how many tokens of a prompt other prompts may share.
func sharedTokens(p target.Prompt) int {
	sum := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		sum += part.Tokens
	}
	return sum
}

// home returns the engine that all instances take to keep the shared parts of a
// prompt as long as they know of none, by rendezvous hashing. Books are lost
// with their instance.
func (b *tracker) home(p target.Prompt, all []*target.Target) *target.Target {
	if len(p.Parts) < 2 {
		return nil
	}
	last := p.Parts[len(p.Parts)-2].ID
	var best *target.Target
	top := uint64(0)
	for _, t := range all {
		if _, ok := b.of(t).kept[last]; ok {
			return nil
		}
		r := t.Runner()
		if h := xxhash.Sum64String(last + "/" + r.ID + "/" + strconv.FormatInt(r.Born, 10)); best == nil || h > top {
			best, top = t, h
		}
	}
	return best
}

// cost is about how long the first event would take at an engine, together with
// what the way of the inputs is worth.
func (b *tracker) cost(t *target.Target, a ask) time.Duration {
	e := b.of(t)
	unread := e.unread(a.prompt)
	if t == a.home {
		unread -= sharedTokens(a.prompt)
	}
	if a.anywhere {
		unread = a.prompt.Tokens
	}
	cost := time.Duration(e.pending+unread)*prefillPerToken + time.Duration(e.running)*decodePerCall
	if a.zone != "" && t.Runner().Zone != a.zone {
		cost += time.Duration(a.bytes) * crossPerMegabyte / 1_000_000
	}
	return cost
}

// begin notes a call and returns how many tokens it adds.
func (b *tracker) begin(t *target.Target, p target.Prompt, now time.Time) int {
	e := b.of(t)
	tokens := e.unread(p)
	e.pending += tokens
	e.running++
	for _, p := range p.Parts {
		if _, ok := e.kept[p.ID]; !ok {
			e.tokens += p.Tokens
		}
		e.kept[p.ID] = part{tokens: p.Tokens, used: now}
	}
	e.evict(int(keptShare * float64(b.memory)))
	return tokens
}

// evict drops the parts that were used least recently until the rest fits.
func (e *engine) evict(limit int) {
	for e.tokens > limit && len(e.kept) > 1 {
		oldest := ""
		for id, p := range e.kept {
			if oldest == "" || p.used.Before(e.kept[oldest].used) {
				oldest = id
			}
		}
		e.tokens -= e.kept[oldest].tokens
		delete(e.kept, oldest)
	}
}
