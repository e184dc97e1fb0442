package shard

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
)

// waitTTL is how long the reported wait of a shard is used: about the duration of
// a batch, in which a queue can change completely.
const waitTTL = 300 * time.Millisecond

// Balancer chooses the zone in which the stages of a call and the call itself
// run, if their services are divided. It answers uneven load: popular prompts,
// zones with more callers, and zones that lost runners or whose runners are slow.
type Balancer interface {
	// Layout returns the current layout.
	Layout() *Layout
	// Choose returns the zone for a call, or "" if none of its services is divided.
	Choose(c Choice) string
	// Report records how long an owner expects a new order to wait in its shard.
	Report(s Shard, wait time.Duration)
}

// Choice describes a call whose zone is to be chosen.
type Choice struct {
	// Key identifies the prompt parts that the call shares with others.
	Key string
	// Services are those of the stages of the call, one after the other, and of the
	// call itself.
	Services []string
	// MoveCost is the extra time that the call takes outside the first zone of its
	// key, where its shared prompt parts are cached.
	MoveCost time.Duration
	// Excluded are zones that already refused the call.
	Excluded map[string]bool
}

// Option changes a default of a balancer.
type Option func(*balancer)

// WithZones sets whether large services are divided by zone. The default is true.
func WithZones(on bool) Option { return func(b *balancer) { b.zones = on } }

// NewBalancer returns a balancer that follows the snapshots in current.
func NewBalancer(clk clock.Clock, current *inventory.Current, opts ...Option) Balancer {
	b := &balancer{clk: clk, zones: true, waits: make(map[Shard]reportedWait)}
	for _, opt := range opts {
		opt(b)
	}
	update := func(s *inventory.Snapshot) {
		if !b.zones {
			s = &inventory.Snapshot{}
		}
		b.layout.Store(NewLayout(s))
	}
	update(current.Load())
	current.Subscribe(update)
	return b
}

type balancer struct {
	clk clock.Clock
	// zones is whether large services are divided by zone.
	zones  bool
	layout atomic.Pointer[Layout]

	mu    sync.Mutex
	waits map[Shard]reportedWait
}

type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func (b *balancer) Layout() *Layout { return b.layout.Load() }

func (b *balancer) Report(s Shard, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waits[s] = reportedWait{wait: wait, at: b.clk.Now()}
}

func (b *balancer) Choose(c Choice) string {
	layout := b.Layout()
	best, lowest := "", time.Duration(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clk.Now()
	for i, zone := range layout.RankZones(c.Key, c.Services) {
		if c.Excluded[zone] {
			continue
		}
		cost := time.Duration(0)
		if i > 0 {
			cost = c.MoveCost
		}
		for _, service := range c.Services {
			if r := b.waits[layout.Of(service, zone)]; now.Sub(r.at) < waitTTL {
				cost += r.wait
			}
		}
		if best == "" || cost < lowest {
			best, lowest = zone, cost
		}
	}
	return best
}
