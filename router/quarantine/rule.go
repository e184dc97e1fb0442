// Package quarantine detects prompt parts that crash the runners of a service, and
// refuses calls that have them.
package quarantine

import (
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/target"
	"github.com/cespare/xxhash/v2"
)

const (
	// Life is how long a quarantine lasts. It then ends by itself, and one more
	// crash renews it.
	Life = 10 * time.Minute
	// maxRuleParts bounds the parts of a quarantine, maxPartBytes and
	// maxServiceBytes the lengths of the names.
	maxRuleParts    = 8
	maxPartBytes    = 64
	maxServiceBytes = 128
	// maxEvidenceAge bounds the age of the first crash that a quarantine is based on.
	maxEvidenceAge = evidenceLife
)

// New returns the quarantine of a set of parts of a service. evidence is the time
// since the first crash.
func New(service string, parts []string, evidence time.Duration) inventory.Quarantine {
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	return inventory.Quarantine{ID: identify(service, parts), Service: service, Parts: parts, Evidence: evidence}
}

// identify returns the identifier of a quarantine, by which all instances name the
// same one alike.
func identify(service string, parts []string) string {
	var b strings.Builder
	for _, s := range append([]string{service}, parts...) {
		b.WriteString(strconv.Itoa(len(s)) + ":" + s)
	}
	sum := xxhash.Sum64String(b.String())
	return hex.EncodeToString([]byte{
		byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32), byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum),
	})
}

// Validate checks a quarantine that was read from the store, to which anyone may
// write. The error names the invalid field.
func Validate(q *inventory.Quarantine) error {
	bad := func(field string) error {
		return fault.New(fault.BadRequest, "invalid quarantine").WithField(field)
	}
	switch {
	case q.Service == "" || len(q.Service) > maxServiceBytes:
		return bad("service")
	case len(q.Parts) == 0 || len(q.Parts) > maxRuleParts || !slices.IsSorted(q.Parts):
		return bad("parts")
	case slices.ContainsFunc(q.Parts, func(p string) bool { return p == "" || len(p) > maxPartBytes }):
		return bad("parts")
	case q.Evidence < 0 || q.Evidence > maxEvidenceAge:
		return bad("evidence")
	case q.ID != identify(q.Service, q.Parts):
		return bad("id")
	}
	return nil
}

// sharedParts returns the identifiers of the parts of a prompt that other prompts
// may share: all but the last.
func sharedParts(p target.Prompt) []string {
	var out []string
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		if part.ID != "" && len(part.ID) <= maxPartBytes {
			out = append(out, part.ID)
		}
	}
	return out
}

// withoutParts returns the parts that aren't among others.
func withoutParts(parts, others []string) []string {
	if len(others) == 0 {
		return parts
	}
	drop := make(map[string]struct{}, len(others))
	for _, p := range others {
		drop[p] = struct{}{}
	}
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool {
		_, ok := drop[p]
		return ok
	})
}

// containsAll reports whether parts has all elements of want.
func containsAll(parts, want []string) bool {
	for _, w := range want {
		if !slices.Contains(parts, w) {
			return false
		}
	}
	return true
}
