package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadawell.dev/router/inventory"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined, and
	// minCrashesProven that for a part that is proven at one of them.
	minCrashes       = 3
	minCrashesProven = 5
	// relatedCrashes is the time within which crashes in one zone, or seen by the same
	// instance alone, count as one: they may be an outage of the zone or of the
	// instance's network.
	relatedCrashes = 200 * time.Millisecond
	// evidenceLife is how long a crash counts.
	evidenceLife = 2 * time.Minute
	// rememberedFor is how long parts that were quarantined need only one more crash
	// to be quarantined again.
	rememberedFor = time.Hour
	// endTolerance is how far before its computed end a quarantine may end by itself.
	endTolerance = 10 * time.Second
	// maxCrashes, maxCalls and maxCallParts bound the evidence: the crashes, the calls
	// of each crash and the parts of each call. maxAllCalls and maxAllParts bound the
	// calls of all crashes and their parts, of which the oldest yield. maxRemembered
	// bounds the quarantines that are remembered, maxAnswered the parts that were cleared.
	maxCrashes    = 256
	maxCalls      = 64
	maxAllCalls   = 4096
	maxCallParts  = 256
	maxAllParts   = 1 << 16
	maxRemembered = 256
	maxAnswered   = 1024
	// maxDecided bounds the quarantines of one decision.
	maxDecided = 16
)

// Suspect is a call that was in flight at a runner that crashed and that had no
// event of its answer yet.
type Suspect struct {
	Service string `json:"service"`
	// Runner and Born identify the incarnation of the runner.
	Runner string `json:"runner"`
	Born   int64  `json:"born"`
	Zone   string `json:"zone"`
	// Parts are the shared parts of the call's prompt. Proven are those of them that
	// the reporting instance has seen an answer for before, or all if the runner still
	// accepts connections.
	Parts  []string `json:"parts"`
	Proven []string `json:"proven,omitempty"`
	// AgeMillis is the time since the crash.
	AgeMillis int64 `json:"ageMillis,omitempty"`
}

// Detector finds the parts that crash runners. It counts, for each part, the
// crashes at which calls with it waited for their first event, since the last
// answer to a call with that part. It is not safe for concurrent use.
type Detector struct {
	// crashes is in the order of their times.
	crashes []*crash
	// remembered has the quarantines that this detector decided or has seen in force,
	// with the times until which they are remembered.
	remembered map[string]memory
	// answered has the times of the answers that cleared parts, so that reports that
	// are repeated later don't count again.
	answered map[partKey]time.Time
}

type memory struct {
	quarantine inventory.Quarantine
	until      time.Time
	// inForceUntil is when a quarantine that another detector decided ends by itself.
	inForceUntil time.Time
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{remembered: make(map[string]memory), answered: make(map[partKey]time.Time)}
}

// Report records a suspect that an instance has seen, and reports whether it is new.
func (d *Detector) Report(reporter string, s Suspect, now time.Time) bool {
	d.prune(now)
	if s.Service == "" || len(s.Service) > maxServiceBytes || s.AgeMillis < 0 || s.AgeMillis >= evidenceLife.Milliseconds() {
		return false
	}
	at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
	parts := slices.DeleteFunc(validParts(s.Parts), func(p string) bool {
		answered, ok := d.answered[partKey{s.Service, p}]
		return ok && !answered.Before(at)
	})
	if len(parts) == 0 {
		return false
	}
	isNew := d.crashOf(s, at).add(reporter, parts, s.Proven)
	for calls, all := d.size(); calls > maxAllCalls || all > maxAllParts; calls, all = d.size() {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	return isNew
}

// size returns the number of calls in the evidence, and that of their parts.
func (d *Detector) size() (calls, parts int) {
	for _, c := range d.crashes {
		calls += len(c.calls)
		parts += c.size()
	}
	return calls, parts
}

// crashOf returns the crash of a suspect's runner, which is new if the suspect is
// its first.
func (d *Detector) crashOf(s Suspect, at time.Time) *crash {
	i := slices.IndexFunc(d.crashes, func(c *crash) bool {
		return c.runner == s.Runner && c.born == s.Born && c.service == s.Service
	})
	if i >= 0 {
		return d.crashes[i]
	}
	if len(d.crashes) == maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	c := &crash{service: s.Service, runner: s.Runner, born: s.Born, zone: s.Zone, at: at, proven: make(map[string]struct{})}
	next := slices.IndexFunc(d.crashes, func(other *crash) bool { return other.at.After(at) })
	if next < 0 {
		next = len(d.crashes)
	}
	d.crashes = slices.Insert(d.crashes, next, c)
	return c
}

// Answered records that calls with these parts have had an answer, which clears
// the parts of all earlier evidence.
func (d *Detector) Answered(service string, parts []string, now time.Time) {
	for _, p := range parts {
		k := partKey{service, p}
		if _, ok := d.answered[k]; ok || len(d.answered) < maxAnswered {
			d.answered[k] = now
		}
	}
	for _, c := range d.crashes {
		if c.service != service {
			continue
		}
		for i, call := range c.calls {
			c.calls[i] = slices.DeleteFunc(slices.Clone(call), func(p string) bool { return slices.Contains(parts, p) })
		}
	}
	for id, m := range d.remembered {
		q := m.quarantine
		if q.Service != service || !slices.ContainsFunc(q.Parts, func(p string) bool { return slices.Contains(parts, p) }) {
			continue
		}
		delete(d.remembered, id)
		if rest, ok := without(q, parts); ok {
			d.remembered[rest.ID] = memory{quarantine: rest, until: m.until}
		}
	}
}

// without returns a quarantine without some of its parts, or false if none would
// be left.
func without(q inventory.Quarantine, parts []string) (inventory.Quarantine, bool) {
	rest := slices.DeleteFunc(slices.Clone(q.Parts), func(p string) bool { return slices.Contains(parts, p) })
	return New(q.Service, rest, q.Evidence), len(rest) > 0
}

// Decide returns the quarantines that the evidence calls for. known are those in
// force: parts that are quarantined for one service need only one crash at
// another. It also returns the identifiers of known quarantines whose crashes are
// all explained by others that were at more of them.
func (d *Detector) Decide(known []inventory.Quarantine, now time.Time) (due []inventory.Quarantine, refuted []string) {
	d.prune(now)
	left := slices.Clone(d.crashes)
	explain := func(found []inventory.Quarantine) {
		for _, q := range found {
			due = append(due, q)
			left = slices.DeleteFunc(left, func(c *crash) bool { return c.service == q.Service && c.has(q.Parts) })
		}
	}
	for found := strongest(left, now); len(found) > 0 && len(due) < maxDecided; found = strongest(left, now) {
		explain(found)
	}
	refuted = d.review(known, due, left, now)
	all := slices.Clone(known)
	for _, m := range d.remembered {
		all = append(all, m.quarantine)
	}
	slices.SortFunc(all, func(a, b inventory.Quarantine) int {
		return cmp.Or(cmp.Compare(len(a.Parts), len(b.Parts)), cmp.Compare(a.ID, b.ID))
	})
	for _, q := range all {
		if i := slices.IndexFunc(left, func(c *crash) bool { return c.has(q.Parts) }); i >= 0 && !slices.Contains(refuted, q.ID) {
			explain([]inventory.Quarantine{New(left[i].service, q.Parts, now.Sub(left[i].at))})
		}
	}
	due = withoutCovered(due, known, refuted)
	for _, q := range due {
		d.remember(q, now)
	}
	return due, refuted
}

// review returns the identifiers of the known quarantines that are refuted, and
// remembers the others.
func (d *Detector) review(known, due []inventory.Quarantine, left []*crash, now time.Time) (refuted []string) {
	for _, q := range known {
		if d.refutes(due, left, q) {
			refuted = append(refuted, q.ID)
			delete(d.remembered, q.ID)
		} else if !d.hasAnswered(q) {
			d.remember(q, now)
		}
	}
	d.forgetWithdrawn(known, now)
	return refuted
}

// withoutCovered returns the quarantines that no known one covers that isn't refuted.
func withoutCovered(due, known []inventory.Quarantine, refuted []string) []inventory.Quarantine {
	return slices.DeleteFunc(due, func(q inventory.Quarantine) bool {
		return slices.ContainsFunc(known, func(k inventory.Quarantine) bool {
			return k.ID != q.ID && covers(k, q) && !slices.Contains(refuted, k.ID)
		})
	})
}

// covers reports whether a quarantine refuses all calls that another one refuses.
func covers(q, other inventory.Quarantine) bool {
	return q.Service == other.Service && containsAll(other.Parts, q.Parts)
}

// refutes reports whether the crashes of a known quarantine, enough to have caused
// it, are all explained by those that are due. One that covers another that is due may
// be based on crashes that this detector doesn't know.
func (d *Detector) refutes(due []inventory.Quarantine, left []*crash, q inventory.Quarantine) bool {
	with := func(crashes []*crash) []*crash {
		return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return c.service != q.Service || !c.has(q.Parts) })
	}
	covered := func(other inventory.Quarantine) bool { return covers(q, other) }
	return !slices.ContainsFunc(due, covered) && independent(with(d.crashes)) >= minCrashes && len(with(left)) == 0
}

// hasAnswered reports whether a part of a quarantine had an answer lately.
func (d *Detector) hasAnswered(q inventory.Quarantine) bool {
	return slices.ContainsFunc(q.Parts, func(p string) bool {
		_, ok := d.answered[partKey{q.Service, p}]
		return ok
	})
}

// remember keeps a quarantine that was decided or is in force.
func (d *Detector) remember(q inventory.Quarantine, now time.Time) {
	m, ok := d.remembered[q.ID]
	if !ok && len(d.remembered) >= maxRemembered {
		return
	}
	switch {
	case q.SeenAt.IsZero():
		m.inForceUntil = time.Time{}
	case !ok || !m.inForceUntil.IsZero():
		m.inForceUntil = q.SeenAt.Add(Life)
	}
	m.quarantine, m.until = q, now.Add(rememberedFor)
	d.remembered[q.ID] = m
}

// forgetWithdrawn drops the quarantines that other detectors decided and that are no
// longer in force although they haven't ended by themselves.
func (d *Detector) forgetWithdrawn(known []inventory.Quarantine, now time.Time) {
	maps.DeleteFunc(d.remembered, func(id string, m memory) bool {
		inForce := slices.ContainsFunc(known, func(q inventory.Quarantine) bool { return q.ID == id })
		return !inForce && now.Before(m.inForceUntil.Add(-endTolerance))
	})
}

// prune drops evidence that is too old.
func (d *Detector) prune(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) >= evidenceLife })
	maps.DeleteFunc(d.remembered, func(_ string, m memory) bool { return !now.Before(m.until) })
	maps.DeleteFunc(d.answered, func(_ partKey, at time.Time) bool { return now.Sub(at) >= evidenceLife })
}
