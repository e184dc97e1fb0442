package config

import (
	"fmt"
	"strings"

	"cicadawell.dev/fleet/fault"
)

// rootField is the Field of a Problem that concerns the whole value.
const rootField = "(root)"

// Problem describes one invalid field.
type Problem struct {
	// Field is the path of the field from the root, such as listen.callers
	// or operators[2].name.
	Field   string
	Found   string
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", p.Field, p.Found, p.Allowed)
}

// Report collects invalid fields. The zero value is ready for use.
type Report struct {
	problems []Problem
}

// Add adds an invalid field, unless the field or one that contains it was added
// before.
func (r *Report) Add(field, found, allowed string) {
	for _, p := range r.problems {
		if covers(p.Field, field) {
			return
		}
	}
	r.problems = append(r.problems, Problem{Field: field, Found: found, Allowed: allowed})
}

// covers reports whether field is outer or lies inside it.
func covers(outer, field string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return outer == rootField || ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// Problems returns the invalid fields in the order in which they were added.
func (r *Report) Problems() []Problem { return append([]Problem(nil), r.problems...) }

// Err returns nil if no field is invalid, and otherwise one error of kind
// BadRequest that lists all of them; name is the name of the decoded data.
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
