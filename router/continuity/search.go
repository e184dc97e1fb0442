package continuity

import (
	"context"
	"maps"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxSearched bounds the runners of a service that are asked what they hold, and
	// maxSearchers the instances of a fleet that ask. Each list delays a runner's work.
	maxSearched  = 64
	maxSearchers = 32
	// searchInterval is how long an answer of a runner is used.
	searchInterval = 2 * time.Second
	// searchTimeout bounds the answers of all runners.
	searchTimeout = 500 * time.Millisecond
)

// search finds streams that no instance remembers at the runners, which outlive a loss of
// all instances: they hold the last part of each prompt for a while, and only runners that
// were sent the stream have it.
type search struct {
	clk      clock.Clock
	current  *inventory.Current
	contents Contents
	log      hclog.Logger

	mu       sync.Mutex
	services map[string]*findings
}

// findings are what the runners of a service held at a time.
type findings struct {
	at time.Time
	// since is when the oldest of them were found: runners drop parts by and by.
	since time.Time
	// done is closed once versions is set.
	done chan struct{}
	// versions has the versions whose runners hold each part.
	versions map[string]map[string]bool
}

func newSearch(clk clock.Clock, current *inventory.Current, contents Contents, log hclog.Logger) *search {
	return &search{clk: clk, current: current, contents: contents, log: log, services: make(map[string]*findings)}
}

// versionOf returns the only version whose runners hold a part.
func (s *search) versionOf(ctx context.Context, service, part string) (string, bool) {
	if part == "" {
		return "", false
	}
	f := s.find(ctx, service)
	select {
	case <-f.done:
	case <-ctx.Done():
		return "", false
	}
	for version := range f.versions[part] {
		return version, len(f.versions[part]) == 1
	}
	return "", false
}

// find returns recent findings, or new ones.
func (s *search) find(ctx context.Context, service string) *findings {
	s.mu.Lock()
	f, now := s.services[service], s.clk.Now()
	if f != nil && now.Sub(f.at) < searchInterval {
		s.mu.Unlock()
		return f
	}
	next := &findings{at: now, since: now, done: make(chan struct{}), versions: make(map[string]map[string]bool)}
	s.services[service] = next
	s.mu.Unlock()
	defer close(next.done)
	if f != nil && now.Sub(f.since) < minRetention {
		<-f.done
		next.since = f.since
		for part, versions := range f.versions {
			next.versions[part] = maps.Clone(versions)
		}
	}
	s.ask(ctx, service, next)
	return next
}

// ask asks the runners of a service what they hold.
func (s *search) ask(ctx context.Context, service string, f *findings) {
	var list []*inventory.Runner
	snapshot := s.current.Load()
	for _, r := range snapshot.Runners {
		if r.Service == service {
			list = append(list, r)
		}
	}
	if len(list) > maxSearched || len(snapshot.Instances) > maxSearchers {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), searchTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, r := range list {
		group.Go(func() {
			parts, err := s.contents.Parts(ctx, r)
			if err != nil {
				s.log.Debug("runner doesn't tell what it holds", "runner", r.ID, "error", err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, part := range parts {
				if f.versions[part] == nil {
					f.versions[part] = make(map[string]bool)
				}
				f.versions[part][r.Version] = true
			}
		})
	}
	group.Wait()
	s.log.Info("runners searched for streams", "service", service, "runners", len(list), "parts", len(f.versions), "tookMillis", s.clk.Now().Sub(f.at).Milliseconds())
}
