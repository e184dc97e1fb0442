// Package load generates open-loop load, in which calls arrive independently of
// earlier answers, and counts what the callers got.
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

// idleConnections is the maximum number of idle connections kept to each router.
const idleConnections = 1024

// Class describes a group of calls with equal settings.
type Class struct {
	Name     string          `json:"name"`
	Teams    []string        `json:"teams"`
	Pipeline bundle.Pipeline `json:"pipeline"`
	// Rate is in calls per second.
	Rate           float64 `json:"rate"`
	DeadlineMillis int64   `json:"deadlineMillis"`
	Stream         bool    `json:"stream"`
	Tokens         int     `json:"tokens"`
	// Prefixes is the number of prompt prefixes that the calls share.
	Prefixes int `json:"prefixes"`
	// RetryRefused retries calls after error responses that carry a retry delay.
	RetryRefused bool `json:"persist"`
}

// Burst multiplies the rates of all classes during a period of the run.
type Burst struct {
	FromMillis int64   `json:"fromMillis"`
	ToMillis   int64   `json:"toMillis"`
	Factor     float64 `json:"factor"`
}

// Config holds what to send, for how long and where to.
type Config struct {
	Classes  []Class
	Bursts   []Burst
	Duration time.Duration
	Seed     uint64
	// Routers returns the addresses of the routers that the balancer currently knows.
	Routers func() []string
	// Key returns the API key of a team.
	Key   func(team string) string
	Clock clock.Clock
}

// callSource generates the calls of one class. It must be used by one goroutine only.
type callSource struct {
	class  Class
	random *rand.Rand
	n      int
}

// next returns the next call.
func (s *callSource) next() Call {
	s.n++
	call := Call{
		Team:         s.class.Teams[s.random.IntN(len(s.class.Teams))],
		Pipeline:     s.class.Pipeline,
		Deadline:     millis(s.class.DeadlineMillis),
		Stream:       s.class.Stream,
		RetryRefused: s.class.RetryRefused,
		Work:         runner.Work{Text: fmt.Sprintf("%s %d %x", s.class.Name, s.n, s.random.Uint64()), Tokens: s.class.Tokens},
	}
	if s.class.Prefixes > 0 {
		call.Work.Prefix = fmt.Sprintf("prefix %d", s.random.IntN(s.class.Prefixes))
	}
	if !call.Pipeline.Idempotent() {
		call.Key = newKey()
	}
	return call
}

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// interarrival returns the time to the next arrival of a Poisson process, at the rate
// that applies at the time at.
func (s *callSource) interarrival(cfg Config, at time.Duration) time.Duration {
	rate := s.class.Rate
	for _, b := range cfg.Bursts {
		if at >= millis(b.FromMillis) && at < millis(b.ToMillis) {
			rate *= b.Factor
		}
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Run sends the calls of all classes, waits until the last one has ended and returns
// what the callers got.
func Run(ctx context.Context, cfg Config) *Result {
	result := newResult(cfg)
	lb := &balancer{routers: cfg.Routers}
	client := &Client{
		HTTP:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		Clock:  cfg.Clock,
		Key:    cfg.Key,
		Next:   lb.next,
		NewKey: newKey,
	}
	start := cfg.Clock.Now()
	var group errgroup.Group
	for i, class := range cfg.Classes {
		s := &callSource{class: class, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		classResult := result.Classes[i]
		group.Go(func() error {
			sendArrivals(ctx, cfg, s, start, &group, client, classResult)
			return nil
		})
	}
	// No goroutine of the group returns an error.
	_ = group.Wait()
	return result
}

// sendArrivals starts each call of a source at its arrival time.
func sendArrivals(
	ctx context.Context, cfg Config, s *callSource, start time.Time, group *errgroup.Group, client *Client, classResult *ClassResult,
) {
	for at := s.interarrival(cfg, 0); at < cfg.Duration; at += s.interarrival(cfg, at) {
		if cfg.Clock.Sleep(ctx, at-cfg.Clock.Now().Sub(start)) != nil {
			return
		}
		call := s.next()
		group.Go(func() error {
			classResult.add(at, call, client.Do(ctx, call))
			return nil
		})
	}
}

// balancer distributes attempts over the routers by round robin.
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
