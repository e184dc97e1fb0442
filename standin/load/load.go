// Package load sends calls that arrive independently of their answers, and
// counts what the callers got.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/runner"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// idleConnections is how many connections to each router are kept.
const idleConnections = 1024

// Class is a stream of calls of one kind.
type Class struct {
	Name     string          `json:"name"`
	Teams    []string        `json:"teams"`
	Pipeline bundle.Pipeline `json:"pipeline"`
	// Rate is calls per second.
	Rate           float64 `json:"rate"`
	DeadlineMillis int64   `json:"deadlineMillis"`
	Stream         bool    `json:"stream"`
	Tokens         int     `json:"tokens"`
	// Prefixes is how many prompt prefixes the calls share.
	Prefixes int `json:"prefixes"`
	// Persist repeats calls after refusals that say when.
	Persist bool `json:"persist"`
}

// Burst multiplies the rates of all classes for a time.
type Burst struct {
	FromMillis int64   `json:"fromMillis"`
	ToMillis   int64   `json:"toMillis"`
	Factor     float64 `json:"factor"`
}

// Config is what to send, for how long and where to.
type Config struct {
	Classes  []Class
	Bursts   []Burst
	Duration time.Duration
	Seed     uint64
	// Routers returns the addresses that the balancer knows now.
	Routers func() []string
	// Key returns the API key of a team.
	Key   func(team string) string
	Clock clock.Clock
}

// source makes the calls of one class. It is used by one goroutine.
type source struct {
	class  Class
	random *rand.Rand
	n      int
}

// next returns the next call.
func (s *source) next() Call {
	s.n++
	call := Call{
		Team:     s.class.Teams[s.random.IntN(len(s.class.Teams))],
		Pipeline: s.class.Pipeline,
		Deadline: millis(s.class.DeadlineMillis),
		Stream:   s.class.Stream,
		Persist:  s.class.Persist,
		Work:     runner.Work{Text: fmt.Sprintf("%s %d %x", s.class.Name, s.n, s.random.Uint64()), Tokens: s.class.Tokens},
	}
	if s.class.Prefixes > 0 {
		call.Work.Prefix = fmt.Sprintf("prefix %d", s.random.IntN(s.class.Prefixes))
	}
	if !call.Pipeline.Idempotent() {
		call.Key = mint()
	}
	return call
}

// mint returns a new idempotency key.
func mint() string { return uuid.Must(uuid.NewV7()).String() }

// gap returns the time to the next arrival of a Poisson process.
func (s *source) gap(cfg Config, at time.Duration) time.Duration {
	rate := s.class.Rate
	for _, b := range cfg.Bursts {
		if at >= millis(b.FromMillis) && at < millis(b.ToMillis) {
			rate *= b.Factor
		}
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Run sends all classes and returns what the callers got, when the last of
// them has an answer.
func Run(ctx context.Context, cfg Config) *Result {
	result := newResult(cfg)
	balance := &balancer{routers: cfg.Routers}
	client := &Client{
		HTTP:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		Clock: cfg.Clock,
		Key:   cfg.Key,
		Next:  balance.next,
		Mint:  mint,
	}
	start := cfg.Clock.Now()
	var group errgroup.Group
	for i, class := range cfg.Classes {
		s := &source{class: class, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		into := result.Classes[i]
		group.Go(func() error {
			arrive(ctx, cfg, s, start, &group, client, into)
			return nil
		})
	}
	// No goroutine of the group returns an error.
	_ = group.Wait()
	return result
}

// arrive starts the calls of one source at their times.
func arrive(
	ctx context.Context, cfg Config, s *source, start time.Time, group *errgroup.Group, client *Client, into *ClassResult,
) {
	for at := s.gap(cfg, 0); at < cfg.Duration; at += s.gap(cfg, at) {
		if cfg.Clock.Sleep(ctx, at-cfg.Clock.Now().Sub(start)) != nil {
			return
		}
		call := s.next()
		group.Go(func() error {
			into.add(at, call, client.Do(ctx, call))
			return nil
		})
	}
}

// balancer spreads calls over the routers in turn.
type balancer struct {
	routers func() []string

	mu sync.Mutex
	n  int
}

func (b *balancer) next() string {
	routers := b.routers()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n++
	return routers[b.n%len(routers)]
}
