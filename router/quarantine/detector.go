package quarantine

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/router/inventory"
)

const (
	// crashesToConvict is the number of crashes after which parts are quarantined.
	crashesToConvict = 3
	// relatedCrashes is the time within which crashes in one zone, or seen by one
	// instance, count as one: they may be an outage of the zone or of the instance's
	// network.
	relatedCrashes = 200 * time.Millisecond
	// evidenceLife is how long a crash counts.
	evidenceLife = 2 * time.Minute
	// rememberedFor is how long parts that were quarantined need only one more crash
	// to be quarantined again.
	rememberedFor = time.Hour
	// maxCrashes, maxCalls and maxCallParts bound the evidence: the crashes, the calls
	// of each crash and the parts of each call. maxRemembered bounds the quarantines
	// that are remembered.
	maxCrashes    = 256
	maxCalls      = 32
	maxCallParts  = 16
	maxRemembered = 256
)

// Suspect is a call that was in flight at a runner that crashed and that had no
// event of its answer yet.
type Suspect struct {
	Service string `json:"service"`
	// Runner and Born identify the incarnation of the runner.
	Runner string `json:"runner"`
	Born   int64  `json:"born"`
	Zone   string `json:"zone"`
	// Parts are the shared parts of the call's prompt.
	Parts []string `json:"parts"`
}

// Detector finds the parts that crash runners. It counts, for each part, the
// crashes at which calls with it waited for their first event, since the last
// answer to a call with that part. It is not safe for concurrent use.
type Detector struct {
	// crashes is in the order of their times.
	crashes []*crash
	// remembered has the quarantines that this detector decided, with the times until
	// which they are remembered.
	remembered map[string]memory
}

// crash is the crash of one incarnation of a runner.
type crash struct {
	service, runner, zone string
	born                  int64
	at                    time.Time
	// reporters has the instances that saw the crash.
	reporters []string
	// calls has the parts of each suspect.
	calls [][]string
}

type memory struct {
	quarantine inventory.Quarantine
	until      time.Time
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector { return &Detector{remembered: make(map[string]memory)} }

// Report records a suspect that an instance has seen.
func (d *Detector) Report(reporter string, s Suspect, now time.Time) {
	d.prune(now)
	parts := validParts(s.Parts)
	if len(parts) == 0 || s.Service == "" || len(s.Service) > maxServiceBytes {
		return
	}
	i := slices.IndexFunc(d.crashes, func(c *crash) bool {
		return c.runner == s.Runner && c.born == s.Born && c.service == s.Service
	})
	if i < 0 {
		if len(d.crashes) == maxCrashes {
			d.crashes = slices.Delete(d.crashes, 0, 1)
		}
		d.crashes = append(d.crashes, &crash{service: s.Service, runner: s.Runner, born: s.Born, zone: s.Zone, at: now})
		i = len(d.crashes) - 1
	}
	c := d.crashes[i]
	if !slices.Contains(c.reporters, reporter) && len(c.reporters) < maxCalls {
		c.reporters = append(c.reporters, reporter)
	}
	same := func(call []string) bool { return slices.Equal(call, parts) }
	if len(c.calls) < maxCalls && !slices.ContainsFunc(c.calls, same) {
		c.calls = append(c.calls, parts)
	}
}

// validParts returns the parts in order, without those that can't be quarantined.
func validParts(parts []string) []string {
	parts = slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return p == "" || len(p) > maxPartBytes })
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), maxCallParts)]
}

// Answered records that calls with these parts have had an answer, which clears
// the parts of all earlier evidence.
func (d *Detector) Answered(service string, parts []string) {
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
// another.
func (d *Detector) Decide(known []inventory.Quarantine, now time.Time) []inventory.Quarantine {
	d.prune(now)
	known = slices.Clone(known)
	for _, m := range d.remembered {
		known = append(known, m.quarantine)
	}
	slices.SortFunc(known, func(a, b inventory.Quarantine) int { return cmp.Compare(a.ID, b.ID) })
	var out []inventory.Quarantine
	left := slices.Clone(d.crashes)
	for {
		found := next(left, known, now)
		if len(found) == 0 {
			return out
		}
		for _, q := range found {
			out = append(out, q)
			d.remember(q, now)
			left = slices.DeleteFunc(left, func(c *crash) bool { return c.service == q.Service && c.has(q.Parts) })
		}
	}
}

// remember keeps a quarantine that was decided.
func (d *Detector) remember(q inventory.Quarantine, now time.Time) {
	if _, ok := d.remembered[q.ID]; ok || len(d.remembered) < maxRemembered {
		d.remembered[q.ID] = memory{quarantine: q, until: now.Add(rememberedFor)}
	}
}

// next returns the quarantine that explains most of the crashes. If several explain
// as many by different calls, it returns all of them. If none explains enough, it
// returns a known one that explains any.
func next(crashes []*crash, known []inventory.Quarantine, now time.Time) []inventory.Quarantine {
	most := crashesToConvict
	var list []candidate
	for _, k := range candidates(crashes) {
		n := independent(k.crashes)
		if n > most {
			list, most = nil, n
		}
		if n == most {
			list = append(list, k.withQuarantine(now))
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(b.quarantine.Parts), len(a.quarantine.Parts)), cmp.Compare(a.quarantine.ID, b.quarantine.ID))
	})
	var out []inventory.Quarantine
	for _, k := range list {
		if independent(k.unexplained(out)) == most {
			out = append(out, k.quarantine)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, q := range known {
		for _, c := range crashes {
			if c.has(q.Parts) {
				return []inventory.Quarantine{New(c.service, q.Parts, now.Sub(c.at))}
			}
		}
	}
	return nil
}

// candidate is a part of a service's prompts with the crashes at which it was
// suspect.
type candidate struct {
	service, part string
	crashes       []*crash
	// quarantine would refuse the calls with the part.
	quarantine inventory.Quarantine
}

// withQuarantine returns the candidate with its quarantine.
func (k candidate) withQuarantine(now time.Time) candidate {
	k.quarantine = New(k.service, common(k.crashes, k.part), now.Sub(k.crashes[0].at))
	return k
}

// unexplained returns the crashes with a suspect that has the part and that no
// quarantine refuses.
func (k candidate) unexplained(by []inventory.Quarantine) []*crash {
	return slices.DeleteFunc(slices.Clone(k.crashes), func(c *crash) bool {
		return !slices.ContainsFunc(c.calls, func(call []string) bool {
			refused := func(q inventory.Quarantine) bool { return q.Service == k.service && containsAll(call, q.Parts) }
			return slices.Contains(call, k.part) && !slices.ContainsFunc(by, refused)
		})
	})
}

// candidates returns all suspect parts.
func candidates(crashes []*crash) []candidate {
	var list []candidate
	index := make(map[[2]string]int)
	for _, c := range crashes {
		for _, part := range c.parts() {
			key := [2]string{c.service, part}
			i, ok := index[key]
			if !ok {
				i = len(list)
				index[key] = i
				list = append(list, candidate{service: c.service, part: part})
			}
			list[i].crashes = append(list[i].crashes, c)
		}
	}
	return list
}

// independent counts the crashes, with related ones as one.
func independent(crashes []*crash) int {
	n := 0
	for i, c := range crashes {
		related := func(other *crash) bool {
			return c.at.Sub(other.at) < relatedCrashes && (c.zone == other.zone ||
				slices.ContainsFunc(c.reporters, func(r string) bool { return slices.Contains(other.reporters, r) }))
		}
		if !slices.ContainsFunc(crashes[:i], related) {
			n++
		}
	}
	return n
}

// common returns the parts that all suspects with a part have.
func common(crashes []*crash, part string) []string {
	var out []string
	for _, c := range crashes {
		for _, call := range c.calls {
			if !slices.Contains(call, part) {
				continue
			}
			if out == nil {
				out = slices.Clone(call)
			}
			out = slices.DeleteFunc(out, func(p string) bool { return !slices.Contains(call, p) })
		}
	}
	if len(out) > maxRuleParts {
		return []string{part}
	}
	return out
}

// parts returns the parts of all suspects, each once.
func (c *crash) parts() []string {
	var out []string
	for _, call := range c.calls {
		for _, p := range call {
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// has reports whether one of the suspects has all the parts.
func (c *crash) has(parts []string) bool {
	return slices.ContainsFunc(c.calls, func(call []string) bool { return containsAll(call, parts) })
}

// prune drops evidence that is too old.
func (d *Detector) prune(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool { return now.Sub(c.at) >= evidenceLife })
	for id, m := range d.remembered {
		if !now.Before(m.until) {
			delete(d.remembered, id)
		}
	}
}
