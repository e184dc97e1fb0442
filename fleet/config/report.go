package config

import (
	"fmt"
	"strings"

	"cicadawell.dev/fleet/fault"
)

// rootField stands for the whole value.
const rootField = "(root)"

// Problem is one bad field.
type Problem struct {
	// Field is the path from the root, such as listen.callers or
	// operators[2].name.
	Field   string
	Found   string
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", p.Field, p.Found, p.Allowed)
}

// Report collects bad fields. The zero value is ready for use.
type Report struct {
	problems []Problem
}

// Add notes a bad field, unless the field or one that it is part of was noted
// before.
func (r *Report) Add(field, found, allowed string) {
	for _, p := range r.problems {
		if covers(p.Field, field) {
			return
		}
	}
	r.problems = append(r.problems, Problem{Field: field, Found: found, Allowed: allowed})
}

// covers reports whether field is outer or a part of it.
func covers(outer, field string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return outer == rootField || ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// Problems returns the bad fields in the order in which they were noted.
func (r *Report) Problems() []Problem { return append([]Problem(nil), r.problems...) }

// Err returns nil when no field is bad, and otherwise one error of kind
// BadRequest that names all of them; name stands for the whole.
func (r *Report) Err(name string) error {
	switch len(r.problems) {
	case 0:
		return nil
	case 1:
		return fault.New(fault.BadRequest, "%s", r.problems[0]).WithField(name)
	}
	lines := []string{fmt.Sprintf("%d bad fields", len(r.problems))}
	for _, p := range r.problems {
		lines = append(lines, p.String())
	}
	return fault.New(fault.BadRequest, "%s", strings.Join(lines, "\n  ")).WithField(name)
}
