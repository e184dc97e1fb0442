// Package target keeps the live state of runners beside what they say of
// themselves, and chooses among them. It does no I/O.
package target

import (
	"sync"
	"time"

	"cicadawell.dev/router/inventory"
)

// Target is one incarnation of a runner with what this instance has learned of
// it.
type Target struct {
	mu     sync.Mutex
	runner *inventory.Runner

	// running counts the calls of this instance that the runner has.
	running int
	health  health
	cold    bucket
	// suspectRevision is the revision of the description under which a connection
	// broke, and suspectSince when. The runner may have started again, so that it
	// counts as cold until it had time to describe itself anew.
	suspectRevision int64
	suspectSince    time.Time
}

// Runner returns the newest description of the runner.
func (t *Target) Runner() *inventory.Runner {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runner
}

// Running returns how many calls of this instance the runner has.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// Begin notes a call and returns what notes its end.
func (t *Target) Begin() (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	var once sync.Once
	return func() {
		once.Do(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.running--
		})
	}
}

// busyTime returns about how long one more call would take.
func (t *Target) busyTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(1+t.running) * t.health.typical()
}

// rests reports whether the target is left alone after failures.
func (t *Target) backsOff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.health.backoffUntil)
}

// Succeeded notes an answer of the runner after d.
func (t *Target) Succeeded(now time.Time, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.success(d)
}

// Failed notes a call without a usable answer.
func (t *Target) Failed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.failure(now)
}

// Broke notes that a connection to the runner couldn't be opened or broke.
func (t *Target) Broke(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.broke(now)
	t.suspectRevision, t.suspectSince = t.runner.Revision, now
}

// coldAt reports whether the runner has to be taken for cold. Runners describe
// themselves anew within lag if something has changed. The caller holds mu.
func (t *Target) coldAt(now time.Time, back inventory.Return, lag time.Duration) bool {
	r := t.runner
	return r.ColdAt(now) ||
		(t.suspectRevision >= r.Revision && now.Before(t.suspectSince.Add(lag))) ||
		(back.Revision > r.Revision && now.Before(back.SeenAt.Add(lag)))
}
