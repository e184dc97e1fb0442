package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/cost"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// replay is a load on engines that process prompts one after the other.
type replay struct {
	engines int
	slots   int
	// speed returns how many times as long as usual an engine takes at a time.
	speed func(engine int, at time.Duration) float64
	// noise is the standard deviation of the logarithm of times.
	noise float64
	// perSecond is the number of calls a second, tokens the mean length of a prompt.
	perSecond float64
	tokens    int
	// output returns the length of an answer in tokens, and what the caller estimates.
	output    func(*rand.Rand) (used, hint int)
	perToken  time.Duration
	objective time.Duration
	length    time.Duration
}

// simEngine is an engine of a replay.
type simEngine struct {
	// prefillEnd is when the prompts that were sent to it are processed.
	prefillEnd time.Duration
	// ends has the ends of the calls that run.
	ends []time.Duration
}

// event is something that happens to a call of a replay.
type event struct {
	at time.Duration
	do func()
}

// inTime plays the load and returns the share of the calls whose first event came within
// the objective.
func (l replay) inTime(t testing.TB, rules policy.Policy, seed uint64) float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	table, err := routing.NewTable(routing.Config{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{MemoryTokens: 100_000}}}})
	is.New(t).NoErr(err)
	clk := clock.NewManual(origin)
	current := inventory.NewCurrent(clk)
	set := target.NewSet(clk, func(string, float64) float64 { return 1 }, time.Second)
	current.Subscribe(set.Update)
	s := &inventory.Snapshot{Table: table, Revision: era.New(0, 1), Runners: map[string]*inventory.Runner{}}
	index := map[string]int{}
	for i := range l.engines {
		id := fmt.Sprint("e", i)
		index[id] = i
		s.Runners[id] = &inventory.Runner{ID: id, Service: "s", Zone: "x", Slots: l.slots}
	}
	current.Advance(s)
	placer := placement.NewLocal(clk, rules, current, set, hclog.NewNullLogger())
	engines := make([]simEngine, l.engines)
	var events []event
	add := func(at time.Duration, do func()) {
		i, _ := slices.BinarySearchFunc(events, at, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
		events = slices.Insert(events, i, event{at: at, do: do})
	}
	total, ok := 0, 0
	now := time.Duration(0)
	var arrive func()
	arrive = func() {
		if now < l.length {
			add(now+time.Duration(random.ExpFloat64()/l.perSecond*float64(time.Second)), arrive)
		}
		total++
		id := fmt.Sprint("c", total)
		tokens := int(float64(l.tokens) * (0.25 + 1.5*random.Float64()))
		used, hint := l.output(random)
		r := placement.Request{
			ID: id, Shard: shard.Whole("s"), Deadline: clk.Now().Add(time.Minute),
			Prompt: target.Prompt{Parts: []target.Part{{ID: id, Tokens: tokens}}, Tokens: tokens},
		}
		if hint > 0 {
			r.Output = cost.Request{Route: "r", Max: 10_000, Hint: hint}
		}
		place := placer.Place(t.Context(), r)
		sent := now
		i := index[place.Target().Runner().ID]
		e := &engines[i]
		// The call waits for a slot and for the prompts before it.
		e.ends = slices.DeleteFunc(e.ends, func(end time.Duration) bool { return end <= now })
		start := max(now, e.prefillEnd)
		if n := len(e.ends) - l.slots; n >= 0 {
			slices.Sort(e.ends)
			start = max(start, e.ends[n])
		}
		ratio := l.speed(i, start) * math.Exp(l.noise*random.NormFloat64())
		running := 0
		for _, end := range e.ends {
			if end > start {
				running++
			}
		}
		took := time.Duration(ratio * float64(time.Duration(tokens)*16*time.Microsecond+time.Duration(running)*500*time.Microsecond))
		e.prefillEnd = start + took
		first := e.prefillEnd + time.Duration(ratio*float64(30*time.Millisecond))
		end := first + time.Duration(used)*time.Duration(l.speed(i, first)*float64(l.perToken))
		e.ends = append(e.ends, end)
		if first-sent <= l.objective {
			ok++
		}
		add(first, func() { place.Answered(first - sent) })
		add(end, func() {
			place.Completed(used)
			place.Ended()
		})
	}
	add(0, arrive)
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		clk.Advance(next.at - now)
		now = next.at
		next.do()
	}
	return float64(ok) / float64(total)
}

// mean returns the mean of the share in time over several seeds.
func (l replay) mean(t testing.TB, rules policy.Policy) float64 {
	t.Helper()
	sum := 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		sum += l.inTime(t, rules, seed) / seeds
	}
	return sum
}

func shortAnswers(*rand.Rand) (used, hint int) { return 20, 0 }

func alike(int, time.Duration) float64 { return 1 }

// prompts is a load of prompts of 1,000 to 7,000 tokens on twelve engines, at about
// two thirds of what they can process.
func prompts(speed func(int, time.Duration) float64) replay {
	return replay{
		engines: 12, slots: 64, speed: speed, noise: 0.1, perSecond: 0.65 * 12 / 0.064, tokens: 4000,
		output: shortAnswers, perToken: 20 * time.Millisecond, objective: 220 * time.Millisecond, length: 12 * time.Second,
	}
}

// TestEngineSpeedsKeepFirstEventsInTime guards against prompts placed at slow engines
// as if all were alike.
func TestEngineSpeedsKeepFirstEventsInTime(t *testing.T) {
	without := policy.Default()
	without.EngineSpeeds = false
	for name, speed := range map[string]func(int, time.Duration) float64{
		"engines of different speeds": func(i int, _ time.Duration) float64 { return []float64{0.6, 1, 1.6}[i%3] },
		"each engine slowed for half a second in turn": func(i int, at time.Duration) float64 {
			if i == int(at/(500*time.Millisecond))%12 {
				return 2.5
			}
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := prompts(speed)
			with, without := l.mean(t, policy.Default()), l.mean(t, without)
			t.Logf("in time: %.3f with learned speeds, %.3f without", with, without)
			is.New(t).True(with > without)
		})
	}
}

// TestAlikeEnginesAreServedAsBefore guards against calls that are late because noise
// was taken for differences between engines.
func TestAlikeEnginesAreServedAsBefore(t *testing.T) {
	without := policy.Default()
	without.EngineSpeeds = false
	l := prompts(alike)
	with, before := l.mean(t, policy.Default()), l.mean(t, without)
	t.Logf("in time: %.3f with learned speeds, %.3f without", with, before)
	is.New(t).True(with >= before-0.01)
}

// TestAlikeEnginesAreChosenAsBefore compares each choice on a fleet whose engines take
// the expected times.
func TestAlikeEnginesAreChosenAsBefore(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 8)
	rules := policy.Default()
	rules.EngineSpeeds = false
	before := placement.NewLocal(w.clk, rules, w.current, w.set, hclog.NewNullLogger())
	random := rand.New(rand.NewPCG(2, 2))
	type running struct{ one, two placement.Place }
	var calls []running
	for i := range 400 {
		r := request(fmt.Sprint("c", i), fmt.Sprint("s", random.IntN(30)), random.IntN(8000))
		r.Deadline = w.clk.Now().Add(time.Minute)
		c := running{one: w.local.Place(t.Context(), r), two: before.Place(t.Context(), r)}
		is.Equal(c.one.Target(), c.two.Target())
		calls = append(calls, c)
		if len(calls) > 12 {
			done := calls[0]
			calls = calls[1:]
			done.one.Answered(done.one.Expected())
			done.two.Answered(done.two.Expected())
			done.one.Ended()
			done.two.Ended()
		}
		w.clk.Advance(time.Millisecond)
	}
}

// TestPromptProgressKeepsFirstEventsInTime guards against prompts kept from an engine
// that has nearly processed those before.
func TestPromptProgressKeepsFirstEventsInTime(t *testing.T) {
	for _, speeds := range []bool{true, false} {
		t.Run(fmt.Sprintf("speeds learned %v", speeds), func(t *testing.T) {
			rules, without := policy.Default(), policy.Default()
			rules.EngineSpeeds, without.EngineSpeeds, without.PromptProgress = speeds, speeds, false
			l := prompts(alike)
			l.objective = 180 * time.Millisecond
			with, before := l.mean(t, rules), l.mean(t, without)
			t.Logf("in time: %.3f with the progress, %.3f without", with, before)
			is.New(t).True(with > before)
		})
	}
}

// TestOwnerLearnsSpeedsFromProgressReports has calls of another instance answered late
// by one engine. Reports of older builds, without a time, must not hinder the rest.
func TestOwnerLearnsSpeedsFromProgressReports(t *testing.T) {
	for name, after := range map[string]time.Duration{"slow": 400 * time.Millisecond, "no time": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				other, self := newFixture(t, 2, "other"), newFixture(t, 2, "other")
				m, peer := &fakeMesh{handlers: map[string]instance.Handler{}}, &fakeMesh{handlers: map[string]instance.Handler{}}
				_ = sharedPlacer(other, "other", peer)
				m.peer = peer
				p := sharedPlacer(self, "self", m)
				used := map[string]int{}
				for i := range 10 {
					r := request(fmt.Sprint(i), "", 0)
					r.Prompt = target.Prompt{Tokens: 2000}
					place := p.Place(t.Context(), r)
					id := place.Target().Runner().ID
					used[id]++
					is.True(place.Expected() > 60*time.Millisecond)
					if id == "e0" {
						place.Answered(after)
					} else {
						place.Answered(place.Expected())
					}
					synctest.Wait()
					place.Ended()
					synctest.Wait()
				}
				if after > 0 {
					is.True(used["e0"] <= 1) // it takes six times as long as the other
				}
			})
		})
	}
}
