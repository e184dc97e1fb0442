package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"cicadawell.dev/router/inventory"
	"github.com/cespare/xxhash/v2"
)

// strongest returns the quarantine of the part that was at most crashes. If several
// were at as many, in different calls, it returns all of theirs.
func strongest(crashes []*crash, now time.Time) []inventory.Quarantine {
	most := 0
	var list []candidate
	together := make(map[uint64][]string) // the common parts of suspects, by calledIn
	for _, k := range candidates(crashes) {
		n := independent(k.crashes)
		if n < most || n < minCrashes || (n < minCrashesProven && k.proven) {
			continue
		}
		if n > most {
			list, most = nil, n
		}
		if _, ok := together[k.calledIn]; !ok {
			together[k.calledIn] = common(k.crashes, k.part)
		}
		list = append(list, k.withQuarantine(together[k.calledIn], now))
	}
	slices.SortFunc(list, candidate.compare)
	list = slices.CompactFunc(list, func(a, b candidate) bool { return a.quarantine.ID == b.quarantine.ID })
	var out []inventory.Quarantine
	for _, k := range list {
		if len(out) < maxDecided && independent(k.unexplained(out)) == most {
			out = append(out, k.quarantine)
		}
	}
	return out
}

// candidate is a part of a service's prompts with the crashes at which it was
// suspect.
type candidate struct {
	service, part string
	crashes       []*crash
	// calls counts the suspects with the part. calledIn is the sum of their hashes, which
	// is the same for parts of the same suspects.
	calls    int
	calledIn uint64
	// proven is set if the part is proven at one of the crashes.
	proven bool
	// quarantine would refuse the calls with the part.
	quarantine inventory.Quarantine
}

// compare orders candidates at as many crashes by how likely they are the cause:
// those without earlier answers, at more runners, with more common parts and in
// more calls first.
func (k candidate) compare(other candidate) int {
	switch {
	case k.proven && !other.proven:
		return 1
	case other.proven && !k.proven:
		return -1
	}
	return cmp.Or(
		cmp.Compare(len(other.crashes), len(k.crashes)),
		cmp.Compare(len(other.quarantine.Parts), len(k.quarantine.Parts)),
		cmp.Compare(other.calls, k.calls),
		cmp.Compare(k.quarantine.ID, other.quarantine.ID),
	)
}

// withQuarantine returns the candidate with its quarantine, for the parts that all its
// suspects have.
func (k candidate) withQuarantine(parts []string, now time.Time) candidate {
	if len(parts) > maxRuleParts {
		parts = []string{k.part}
	}
	k.quarantine = New(k.service, parts, now.Sub(k.crashes[0].at))
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
	index := make(map[partKey]int)
	for at, c := range crashes {
		for part, calls := range c.parts() {
			key := partKey{c.service, part}
			i, ok := index[key]
			if !ok {
				i = len(list)
				index[key] = i
				list = append(list, candidate{service: c.service, part: part})
			}
			list[i].crashes = append(list[i].crashes, c)
			list[i].calls += len(calls)
			for _, n := range calls {
				list[i].calledIn += xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(at*maxCalls+n)))
			}
			_, proven := c.proven[part]
			list[i].proven = list[i].proven || proven
		}
	}
	return list
}

// common returns the parts that all suspects with a part have.
func common(crashes []*crash, part string) []string {
	var out []string
	for _, c := range crashes {
		for _, call := range c.calls {
			has := func(p string) bool {
				_, ok := slices.BinarySearch(call, p)
				return ok
			}
			if !has(part) {
				continue
			}
			if out == nil {
				out = slices.Clone(call)
			}
			out = slices.DeleteFunc(out, func(p string) bool { return !has(p) })
		}
	}
	return out
}
