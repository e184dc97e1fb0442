// Package era orders the states of a store that may come back from an older copy of
// itself. Its revisions then go back and are given out again, and its era rises.
package era

import "cmp"

// Revision identifies a state of the store, or the state in which an item was last changed.
// It is meaningful only as a whole: equal numbers of two eras have nothing in common.
type Revision struct {
	// Era rises each time the store comes back from a copy. It is zero if the store states
	// none.
	Era int64
	// Number is the store's own revision. It is zero for what the store doesn't hold.
	Number int64
}

// New returns a revision.
func New(era, number int64) Revision { return Revision{Era: era, Number: number} }

// Compare returns -1, 0 or 1 if the revision is before, equal to or after another one. All
// revisions of an era are after those of earlier eras.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether the revision is before another one.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether the revision is after another one.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Stored reports whether the store holds what the revision belongs to.
func (r Revision) Stored() bool { return r.Number > 0 }

// Carried reports whether the revision is that of an item which was known in an earlier
// era, and which the store hasn't shown in its present era.
func (r Revision) Carried() bool { return r.Era > 0 && r.Number == 0 }

// CarriedInto returns the revision of an item that is kept in an era which may lack it.
func CarriedInto(era int64) Revision { return Revision{Era: era} }

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
