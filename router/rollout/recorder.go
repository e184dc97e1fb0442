package rollout

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRoutes bounds the routes of a service that are counted apart, for the size of
	// reports. Answers on further routes are counted together as otherRoutes.
	maxRoutes   = 64
	otherRoutes = "*"
	// callTimeQuantile is the quantile that Recorder.CallTime returns.
	callTimeQuantile = 0.99
)

// Recorder counts what this instance observes of the rollouts. It is safe for concurrent
// use.
type Recorder interface {
	// Track starts to count answers of a service, those of target as the candidate's and
	// those of all other versions as the baseline's. If target is tracked already, as
	// after a repeated order, the counts go on.
	Track(service, target string)
	// Forget stops to count and drops the counts.
	Forget(service string)
	// Answered counts an answer of a runner with the given version.
	Answered(service, version, route string, failed bool, took time.Duration)
	// Ended counts a call to its end.
	Ended(service string, took time.Duration)
	// Evidence returns the answers since Track, or nil if the service isn't tracked.
	Evidence(service string) Evidence
	// CallTime returns a high quantile of the times of calls to their end, or zero if
	// there are none.
	CallTime(service string) time.Duration
}

// NewRecorder returns a recorder that tracks no service.
func NewRecorder() Recorder { return &recorder{} }

type recorder struct {
	// services is nil while no service is tracked, so that calls cost one load then.
	services atomic.Pointer[map[string]*counts]
	// mu is held while services is replaced.
	mu sync.Mutex
}

// counts has the answers of one service.
type counts struct {
	target string
	ended  histogram
	// routes has a *routeCounts by the name of each route, and known their number.
	routes sync.Map
	known  atomic.Int64
}

type routeCounts struct{ baseline, candidate tallyCounts }

type tallyCounts struct {
	failures atomic.Int64
	latency  histogram
}

type histogram [buckets]atomic.Int64

func (r *recorder) Track(service, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.service(service)
	if old != nil && old.target == target {
		return
	}
	r.replace(func(services map[string]*counts) {
		services[service] = &counts{target: target}
	})
}

func (r *recorder) Forget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.service(service) == nil {
		return
	}
	r.replace(func(services map[string]*counts) { delete(services, service) })
}

// replace publishes a changed copy of the services; r.mu is held.
func (r *recorder) replace(change func(map[string]*counts)) {
	services := make(map[string]*counts)
	if old := r.services.Load(); old != nil {
		maps.Copy(services, *old)
	}
	change(services)
	if len(services) == 0 {
		r.services.Store(nil)
		return
	}
	r.services.Store(&services)
}

// service returns the counts of a service, or nil if it isn't tracked.
func (r *recorder) service(name string) *counts {
	services := r.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[name]
}

func (r *recorder) Answered(service, version, route string, failed bool, took time.Duration) {
	c := r.service(service)
	if c == nil {
		return
	}
	counted := c.route(route)
	group := &counted.baseline
	if version == c.target {
		group = &counted.candidate
	}
	if failed {
		group.failures.Add(1)
		return
	}
	group.latency[bucketOf(took)].Add(1)
}

func (r *recorder) Ended(service string, took time.Duration) {
	if c := r.service(service); c != nil {
		c.ended[bucketOf(took)].Add(1)
	}
}

func (r *recorder) Evidence(service string) Evidence {
	c := r.service(service)
	if c == nil {
		return nil
	}
	out := make(Evidence)
	for route, v := range c.routes.Range {
		counted := v.(*routeCounts)
		out[route.(string)] = RouteEvidence{Baseline: counted.baseline.tally(), Candidate: counted.candidate.tally()}
	}
	return out
}

func (r *recorder) CallTime(service string) time.Duration {
	c := r.service(service)
	if c == nil {
		return 0
	}
	return Tally{Latency: c.ended.load()}.Quantile(callTimeQuantile)
}

// route returns the counts of a route, which it adds if it is new.
func (c *counts) route(name string) *routeCounts {
	if found, ok := c.routes.Load(name); ok {
		return found.(*routeCounts)
	}
	if c.known.Add(1) > maxRoutes {
		name = otherRoutes
	}
	found, _ := c.routes.LoadOrStore(name, &routeCounts{})
	return found.(*routeCounts)
}

// tally returns the counts. Answers is derived from the others, so that it never is at
// odds with them.
func (t *tallyCounts) tally() Tally {
	out := Tally{Failures: t.failures.Load(), Latency: t.latency.load()}
	out.Answers = out.Failures + out.Successes()
	return out
}

func (h *histogram) load() [buckets]int64 {
	var out [buckets]int64
	for i := range h {
		out[i] = h[i].Load()
	}
	return out
}
