package routing

import (
	"reflect"

	"cicadawell.dev/fleet/fault"
)

// Patch is a configuration as its difference from another one, its base. It has the
// routes and teams that differ. The other fields are few and always complete.
type Patch struct {
	// Base is the version of the base; zero if the patch needs none.
	Base     int64        `json:"base,omitempty"`
	Version  int64        `json:"version"`
	Routes   []Run[Route] `json:"routes,omitempty"`
	Teams    []Run[Team]  `json:"teams,omitempty"`
	Services []Service    `json:"services,omitempty"`
	Limits   Limits       `json:"limits"`
}

// Run is a part of a list: Count items of the base's list from index From on, followed
// by Items.
type Run[T any] struct {
	From  int `json:"from,omitempty"`
	Count int `json:"count,omitempty"`
	Items []T `json:"items,omitempty"`
}

// NewPatch returns the difference of a configuration from a base. Without a base it
// contains the whole configuration.
func NewPatch(base *Table, next *Table) Patch {
	p := Patch{Version: next.cfg.Version, Services: next.cfg.Services, Limits: next.cfg.Limits}
	var old Config
	if base != nil {
		p.Base, old = base.cfg.Version, base.cfg
	}
	p.Routes = runs(old.Routes, next.cfg.Routes, func(r Route) string { return r.Name })
	p.Teams = runs(old.Teams, next.cfg.Teams, func(t Team) string { return t.Name })
	return p
}

// Apply returns the configuration with the patch applied to its base, which is ignored
// if the patch needs none.
func (p Patch) Apply(base *Table) (Config, error) {
	var old Config
	if p.Base != 0 {
		if base == nil || base.Version() != p.Base {
			return Config{}, fault.New(fault.BadRequest, "the patch needs version %d", p.Base).WithField("base")
		}
		old = base.cfg
	}
	routes, err := join(old.Routes, p.Routes, "routes")
	if err != nil {
		return Config{}, err
	}
	teams, err := join(old.Teams, p.Teams, "teams")
	if err != nil {
		return Config{}, err
	}
	return Config{Version: p.Version, Routes: routes, Teams: teams, Services: p.Services, Limits: p.Limits}, nil
}

// runs returns a list as parts of an old one and new items. Items of both lists are
// compared if they have the same name.
func runs[T any](old, next []T, name func(T) string) []Run[T] {
	index := make(map[string]int, len(old))
	for i, item := range old {
		index[name(item)] = i
	}
	var out []Run[T]
	for _, item := range next {
		i, known := index[name(item)]
		known = known && reflect.DeepEqual(old[i], item)
		last := len(out) - 1
		switch {
		case !known && last < 0:
			out = append(out, Run[T]{Items: []T{item}})
		case !known:
			out[last].Items = append(out[last].Items, item)
		case last >= 0 && len(out[last].Items) == 0 && i == out[last].From+out[last].Count:
			out[last].Count++
		default:
			out = append(out, Run[T]{From: i, Count: 1})
		}
	}
	return out
}

// join returns the list that runs describe.
func join[T any](old []T, runs []Run[T], field string) ([]T, error) {
	n := 0
	for _, r := range runs {
		if r.From < 0 || r.Count < 0 || r.From > len(old) || r.Count > len(old)-r.From {
			return nil, fault.New(fault.BadRequest, "items %d to %d of %d are not known", r.From, r.From+r.Count, len(old)).WithField(field)
		}
		n += r.Count + len(r.Items)
	}
	if n == 0 {
		return nil, nil
	}
	out := make([]T, 0, n)
	for _, r := range runs {
		out = append(append(out, old[r.From:r.From+r.Count]...), r.Items...)
	}
	return out, nil
}
