// Package target holds the state of runners as this instance observes it, next to
// the runners' own descriptions, and does the load balancing among them. It does no
// I/O.
package target

import (
	"sync"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
)

// Target is one incarnation of a runner with its load and health as observed by
// this instance.
type Target struct {
	mu     sync.Mutex
	runner *inventory.Runner

	// usage counts what this instance has at the runners of this version. It is nil
	// unless rollouts are carried out.
	usage *usage
	// running counts the calls from this instance that are in flight at the runner.
	running   int
	health    health
	coldPacer pacer
	// suspectRevision is the revision of the description that was in use when a
	// connection failed, and suspectSince the time of the failure. The runner may
	// have restarted, so it counts as cold until it has had the time to publish a
	// new description.
	suspectRevision era.Revision
	suspectSince    time.Time
	// pausedUntil is until when the runner takes no calls of this instance.
	pausedUntil time.Time
	limit       limit
	brittle     brittle
	reported    reported
}

// Runner returns the newest description of the runner.
func (t *Target) Runner() *inventory.Runner {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runner
}

// Running returns how many calls from this instance are in flight at the runner.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// Begin records the start of a call, which must not run more than once if atMostOnce
// is set, and returns a function that records its end. Further calls of the function
// have no effect. It is called before the last check with Set.AcceptsCalls, so that no
// call that passes the check is missing in Set.RolloutUsage.
func (t *Target) Begin(atMostOnce bool) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	usage := t.usage
	usage.begin(atMostOnce)
	var once sync.Once
	return func() {
		once.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.running--
			t.brittle.withdrawn = max(0, t.brittle.withdrawn-1)
			usage.end(atMostOnce)
		})
	}
}

// Hold records that results of stages on the runner are still needed, and returns a
// function that records that they no longer are. It returns nil if nothing depends on
// that. Further calls of the function have no effect.
func (t *Target) Hold(results int) (released func()) {
	u := t.usage
	if u == nil {
		return nil
	}
	u.held.Add(int64(results))
	return sync.OnceFunc(func() { u.held.Add(-int64(results)) })
}

// inBackoff reports whether the target is in backoff after failures.
func (t *Target) inBackoff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.health.backoffUntil)
}

// Succeeded records an answer of the runner with latency d. The latency is kept as it
// would be without the slowdown that the runner reports, which changes faster.
func (t *Target) Succeeded(now time.Time, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.reported.slowdownAt(now); s != 1 {
		d = time.Duration(float64(d) / s)
	}
	t.health.success(d)
}

// Failed records a call without a usable answer.
func (t *Target) Failed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.failure(now)
}

// ConnectionFailed records that a connection to the runner couldn't be opened or
// failed. The runner goes into backoff, and counts as cold because it may have
// restarted.
func (t *Target) ConnectionFailed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.connectionFailed(now)
	t.suspect(now)
}

// MayHaveRestarted has the runner count as cold, without a backoff.
func (t *Target) MayHaveRestarted(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspect(now)
}

// suspect has the runner count as cold. The caller holds mu.
func (t *Target) suspect(now time.Time) {
	t.brittle.restart()
	t.suspectRevision, t.suspectSince = t.runner.Revision, now
}

// forgetFailures undoes what followed from failures at since or later.
func (t *Target) forgetFailures(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.forget(since)
	if !t.suspectSince.Before(since) {
		t.suspectRevision, t.suspectSince = era.Revision{}, time.Time{}
	}
}

// coldAt reports whether the runner must be treated as cold: according to its
// description, or for up to lag after a failed connection or after its zone was
// taken back in, unless it published a newer description meanwhile. Runners that
// changed publish a new description within lag. The caller holds mu.
func (t *Target) coldAt(now time.Time, back inventory.ZoneReturn, lag time.Duration) bool {
	r := t.runner
	return r.ColdAt(now) ||
		(!t.suspectRevision.Before(r.Revision) && now.Before(t.suspectSince.Add(lag))) ||
		(back.Revision.After(r.Revision) && now.Before(back.SeenAt.Add(lag)))
}
