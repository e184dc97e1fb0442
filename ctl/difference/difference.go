// Package difference compares two bundles item by item.
package difference

import (
	"encoding/json"
	"slices"

	"cicadawell.dev/fleet/bundle"
	"github.com/rotisserie/eris"
)

// Change is the kind of change to one item.
type Change string

// The kinds of change.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an added or removed item, or one changed field of an item.
type Difference struct {
	// List names the list of the bundle that contains the item, such as "runners".
	List   string `json:"part"`
	ID     string `json:"id"`
	Change Change `json:"change"`
	// Field names the changed field. Before and After are its values as JSON, and
	// are empty if the field is absent.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Between returns the differences that turn a into b, sorted by the order of the
// bundle's lists and then by identifier.
func Between(a, b bundle.Bundle) ([]Difference, error) {
	before, err := itemsByList(a)
	if err != nil {
		return nil, err
	}
	after, err := itemsByList(b)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, name := range listNames {
		all = append(all, compare(name, before[name], after[name])...)
	}
	return all, nil
}

// listNames are the names of the bundle's lists, in output order.
var listNames = []string{"tiers", "teams", "zones", "runners", "pipelines"}

// itemFields are the fields of one item, each as JSON.
type itemFields map[string]json.RawMessage

// itemsByID are the items of one list by identifier.
type itemsByID map[string]itemFields

func itemsByList(b bundle.Bundle) (map[string]itemsByID, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "encode bundle")
	}
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(data, &lists); err != nil {
		return nil, eris.Wrap(err, "decode bundle")
	}
	all := map[string]itemsByID{}
	for _, name := range listNames {
		var rows []itemFields
		if err := json.Unmarshal(lists[name], &rows); err != nil {
			return nil, eris.Wrapf(err, "decode %s", name)
		}
		all[name] = indexByID(rows)
	}
	return all, nil
}

func indexByID(rows []itemFields) itemsByID {
	items := itemsByID{}
	for _, row := range rows {
		var id string
		if err := json.Unmarshal(row["id"], &id); err == nil {
			items[id] = row
		}
	}
	return items
}

func compare(list string, before, after itemsByID) []Difference {
	var all []Difference
	for _, id := range union(before, after) {
		old, inBefore := before[id]
		current, inAfter := after[id]
		switch {
		case !inBefore:
			all = append(all, Difference{List: list, ID: id, Change: Added})
		case !inAfter:
			all = append(all, Difference{List: list, ID: id, Change: Removed})
		default:
			all = append(all, compareFields(list, id, old, current)...)
		}
	}
	return all
}

func compareFields(list, id string, old, current itemFields) []Difference {
	var all []Difference
	for _, f := range union(old, current) {
		if string(old[f]) == string(current[f]) {
			continue
		}
		all = append(all, Difference{
			List: list, ID: id, Change: Changed,
			Field: f, Before: string(old[f]), After: string(current[f]),
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
