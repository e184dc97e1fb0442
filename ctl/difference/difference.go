// Package difference compares two bundles part by part.
package difference

import (
	"encoding/json"
	"slices"

	"cicadawell.dev/fleet/bundle"
	"github.com/rotisserie/eris"
)

// Change says what happened to one part.
type Change string

// The changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one part that differs.
type Difference struct {
	// Part is the list that the part stands in, such as "runners".
	Part   string `json:"part"`
	ID     string `json:"id"`
	Change Change `json:"change"`
	// Field names the field of a changed part.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Between returns what turns a into b, in the order of the bundle's lists and
// of the identifiers.
func Between(a, b bundle.Bundle) ([]Difference, error) {
	before, err := partsOf(a)
	if err != nil {
		return nil, err
	}
	after, err := partsOf(b)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, name := range partNames {
		all = append(all, compare(name, before[name], after[name])...)
	}
	return all, nil
}

// partNames are the lists of a bundle in their order.
var partNames = []string{"tiers", "teams", "zones", "runners", "pipelines"}

// fields are the fields of one part, each as JSON.
type fields map[string]json.RawMessage

// parts are the parts of one list by identifier.
type parts map[string]fields

func partsOf(b bundle.Bundle) (map[string]parts, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "encode bundle")
	}
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(data, &lists); err != nil {
		return nil, eris.Wrap(err, "decode bundle")
	}
	all := map[string]parts{}
	for _, name := range partNames {
		var rows []fields
		if err := json.Unmarshal(lists[name], &rows); err != nil {
			return nil, eris.Wrapf(err, "decode %s", name)
		}
		all[name] = byID(rows)
	}
	return all, nil
}

func byID(rows []fields) parts {
	p := parts{}
	for _, row := range rows {
		var id string
		if err := json.Unmarshal(row["id"], &id); err == nil {
			p[id] = row
		}
	}
	return p
}

func compare(name string, before, after parts) []Difference {
	var all []Difference
	for _, id := range union(before, after) {
		old, was := before[id]
		now, is := after[id]
		switch {
		case !was:
			all = append(all, Difference{Part: name, ID: id, Change: Added})
		case !is:
			all = append(all, Difference{Part: name, ID: id, Change: Removed})
		default:
			all = append(all, compareFields(name, id, old, now)...)
		}
	}
	return all
}

func compareFields(name, id string, old, now fields) []Difference {
	var all []Difference
	for _, f := range union(old, now) {
		if string(old[f]) == string(now[f]) {
			continue
		}
		all = append(all, Difference{
			Part: name, ID: id, Change: Changed,
			Field: f, Before: string(old[f]), After: string(now[f]),
		})
	}
	return all
}

// union returns the keys of both maps in ascending order.
func union[V any](a, b map[string]V) []string {
	seen := map[string]bool{}
	for k := range a {
		seen[k] = true
	}
	for k := range b {
		seen[k] = true
	}
	keys := make([]string, 0, len(seen))
	for k := range seen {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
