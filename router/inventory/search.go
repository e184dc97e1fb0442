package inventory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/progress"
)

// An instance that starts reads what the store holds in its present era, which may be a copy
// without what was in force before. It asks others until one has answered that knows that, or
// until it is unlikely that any does.
const (
	// searchAtOnce is how many others are asked without a pause.
	searchAtOnce = 3
	// searchSteps is how many questions are asked at one interval. It starts with fetchEvery
	// and doubles up to maxSearchPause.
	searchSteps    = 8
	maxSearchPause = 8 * fetchEvery
	// maxSearchAsks is how often one instance is asked, and minSearchDelay the time until it
	// is asked again, which doubles.
	maxSearchAsks  = 5
	minSearchDelay = time.Second
	// minSearch is the time in which instances that the copy lacks register again. Until then
	// not all others are known.
	minSearch = carryInstancesFor
	// maxSearch bounds a search.
	maxSearch = carryFor
	// maxStart is how long an instance waits for the first answers before it takes calls: less
	// than the bound on applying a configuration.
	maxStart = time.Second
)

// search is an instance's search for what was in force before the present era. It is safe for
// concurrent use.
type search struct {
	mu sync.Mutex
	// open is set until the search is over.
	open bool
	// era is that of the search, and since its start; zero before the view is known.
	era   int64
	since time.Time
	// asked counts the questions of the search.
	asked int
	// others has the instances that were asked.
	others map[string]searched
}

// searched is an instance that was asked.
type searched struct {
	asks int
	// next is when it may be asked again.
	next time.Time
	// late is set if it has answered that it knows no more, and asks no others.
	late bool
}

// begin starts the search anew if the view is of another era than the search, and reports
// whether it goes on. A view without an era is of a store that never comes back from a copy.
func (s *search) begin(view era.Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.open || !view.Stored():
	case view.Era == 0:
		s.open = false
	case view.Era != s.era:
		s.era, s.since, s.others = view.Era, now, make(map[string]searched)
	}
	return s.open && view.Stored()
}

// choose returns the instance to ask next, of those with the fewest questions one at random,
// or "" if there is none now. It ends the search if no more is expected of any of the others.
func (s *search) choose(others []string, now time.Time, intN func(int) int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []string
	more := false
	for _, name := range others {
		o := s.others[name]
		if o.late || o.asks >= maxSearchAsks {
			continue
		}
		more = true
		if now.Before(o.next) {
			continue
		}
		if len(due) > 0 && o.asks < s.others[due[0]].asks {
			due = due[:0]
		}
		if len(due) == 0 || o.asks == s.others[due[0]].asks {
			due = append(due, name)
		}
	}
	took := now.Sub(s.since)
	s.open = s.open && took < maxSearch && (more || took < minSearch)
	if !s.open || len(due) == 0 {
		return ""
	}
	name := due[intN(len(due))]
	o := s.others[name]
	o.next = now.Add(minSearchDelay << o.asks)
	o.asks++
	s.others[name] = o
	return name
}

// noteAsked records the end of a question. late is set if the instance answered that it knows
// no more, and asks no others.
func (s *search) noteAsked(name string, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	o := s.others[name]
	o.late = late
	s.others[name] = o
}

// end ends the search, and reports whether it hadn't ended before.
func (s *search) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.open
	s.open = false
	return was
}

// pause returns the time until the next question.
func (s *search) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked < searchAtOnce {
		return 0
	}
	return min(maxSearchPause, fetchEvery<<min(s.asked/searchSteps, searchSteps))
}

// searching reports whether the search goes on.
func (s *search) searching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// starting reports whether the first answers of the search are outstanding, of n others.
func (s *search) starting(n int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open || s.since.IsZero() {
		return s.open
	}
	return s.asked < min(n, searchAtOnce) && now.Sub(s.since) < maxStart
}

// otherInstances returns the registered instances and the seeds that aren't registered, without
// this instance.
func (e *exchange) otherInstances() []string {
	known := e.current.Load().Instances
	out := slices.Sorted(maps.Keys(known))
	out = slices.DeleteFunc(out, func(name string) bool { return name == e.self })
	for _, seed := range e.seeds {
		if !registered(known, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// registered reports whether a seed has the address of an instance.
func registered(known map[string]Instance, seed string) bool {
	for _, i := range known {
		if instance.IDForAddress(i.Address) == seed {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of the registered instances and of those seeds that aren't
// registered, by identifier.
func (s *Snapshot) Addresses(seeds map[string]string) map[string]string {
	out := make(map[string]string, len(s.Instances)+len(seeds))
	for seed, address := range seeds {
		if !registered(s.Instances, seed) {
			out[seed] = address
		}
	}
	for name, i := range s.Instances {
		out[name] = i.Address
	}
	return out
}

func (e *exchange) Starting() bool {
	return e.search.starting(len(e.otherInstances()), e.clk.Now())
}

// runSearch asks others for what was in force before the present era, until the search or ctx
// ends.
func (e *exchange) runSearch(ctx context.Context) {
	pause := time.Duration(0)
	for e.search.searching() && e.clk.Sleep(ctx, pause) == nil {
		if !e.search.begin(e.current.Load().Revision, e.clk.Now()) {
			select {
			case <-ctx.Done():
			case <-e.known:
			}
			continue
		}
		name := e.search.choose(e.otherInstances(), e.clk.Now(), e.random.IntN)
		if pause = fetchEvery; name != "" {
			e.search.noteAsked(name, e.askForEarlier(ctx, name))
			pause = e.search.pause()
		}
	}
}

// askForEarlier requests what another instance knows of the time before the present era, and
// reports whether it answered that it knows no more, and asks no others.
func (e *exchange) askForEarlier(ctx context.Context, name string) bool {
	ctx, cancel := progress.WithLimits(ctx, e.clk, clock.SystemTimers(), fetchLimits)
	defer cancel()
	start, view := e.clk.Now(), e.current.Load()
	resp, err := e.fetch(ctx, name, view.Table, getRequest{Earlier: view.Revision.Era})
	if err != nil {
		e.log.Debug("could not ask another instance for what was in force before", "instance", name, "error", err)
		return false
	}
	if resp.Late && resp.Era >= view.Revision.Era {
		return !resp.Searching && resp.Era == view.Revision.Era
	}
	if err := e.adopt(name, resp, view.Table, start); err != nil {
		e.log.Warn("invalid answer from another instance", "instance", name, "error", err)
	}
	return false
}

// noteSnapshot ends the search with the snapshot of an instance that knows what was in force
// before the present era.
func (e *exchange) noteSnapshot(name string, resp getResponse) {
	view := e.current.Load()
	if resp.Late || resp.Searching || resp.Era < view.Revision.Era || !e.search.end() {
		return
	}
	e.log.Info("another instance told what was in force before", "instance", name, "era", resp.Era, "version", view.version())
}
