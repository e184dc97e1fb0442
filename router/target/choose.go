package target

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prompt is what a choice of an engine depends on.
type Prompt struct {
	// Parts are the prompt's parts in order; the last one is its own.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

const (
	// crossZone is what a call into another zone costs beside the runner's own
	// time: a round trip and its bytes.
	crossZone = 2 * time.Millisecond
	// prefillPerToken is about what an engine spends on one token of a prompt.
	prefillPerToken = 16 * time.Microsecond
	// engineStart is about what an engine needs for a first event beside the
	// prompt.
	engineStart = 30 * time.Millisecond
	// decodePerCall is about how much one running request slows another down
	// until its first event.
	decodePerCall = 2 * time.Millisecond
)

// candidate is a target with what it costs to choose it.
type candidate struct {
	target *Target
	cost   time.Duration
	aside  bool
}

func (s *set) Plain(service, zone string, avoid []*Target) *Target {
	return s.choose(service, zone, avoid, func(t *Target) time.Duration {
		return time.Duration(1+t.running) * t.health.typical()
	})
}

// FirstEvent returns about how long an engine with nothing else to do needs for
// the first event of an answer.
func FirstEvent(p Prompt) time.Duration {
	return engineStart + time.Duration(p.Tokens)*prefillPerToken
}

// Home returns the zone of the engine that is preferred for a prompt, or "".
func (s *set) Home(service string, p Prompt) string {
	if t := s.Find(s.homeOf(service, p)); t != nil {
		return t.Runner().Zone
	}
	return ""
}

// homeOf returns the runner that is preferred for the shared parts of a prompt,
// or "".
func (s *set) homeOf(service string, p Prompt) string {
	if len(p.Parts) < 2 {
		return ""
	}
	return s.home(service, p.Parts[len(p.Parts)-2].ID)
}

// Engine prefers the engine that read the prompt's shared parts before, as long
// as waiting there costs less than reading them elsewhere.
func (s *set) Engine(service, zone string, p Prompt, avoid []*Target) *Target {
	shared := p.Parts[:max(0, len(p.Parts)-1)]
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	home := s.homeOf(service, p)
	return s.choose(service, zone, avoid, func(t *Target) time.Duration {
		cost := time.Duration(t.tokens)*prefillPerToken + time.Duration(t.running)*decodePerCall
		if t.runner.ID != home {
			cost += time.Duration(tokens) * prefillPerToken
		}
		return cost
	})
}

// home returns the runner that all instances prefer for a part, by rendezvous
// hashing over the usable ones.
func (s *set) home(service, part string) string {
	best, top := "", uint64(0)
	for _, t := range s.Usable(service) {
		r := t.Runner()
		h := xxhash.Sum64String(part + "/" + r.ID + "/" + strconv.FormatInt(r.Born, 10))
		if best == "" || h > top {
			best, top = r.ID, h
		}
	}
	return best
}

// choose returns the cheapest target, those that failed last. Of a cold target
// the permit is taken.
func (s *set) choose(service, zone string, avoid []*Target, cost func(*Target) time.Duration) *Target {
	v := s.view.Load()
	now := s.clk.Now()
	var list []candidate
	for _, t := range v.usable[service] {
		if slices.Contains(avoid, t) {
			continue
		}
		t.mu.Lock()
		c := candidate{target: t, cost: cost(t), aside: now.Before(t.health.restUntil)}
		if t.runner.Zone != zone {
			c.cost += crossZone
		}
		t.mu.Unlock()
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.aside != b.aside {
			if a.aside {
				return 1
			}
			return -1
		}
		return int(a.cost - b.cost)
	})
	for _, c := range list {
		c.target.mu.Lock()
		ok := s.mayCall(v, c.target, now)
		c.target.mu.Unlock()
		if ok {
			return c.target
		}
	}
	return nil
}
