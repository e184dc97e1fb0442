// Package permit divides the places of one runner among the instances of an
// agreed view. Every instance computes the same division without messages.
package permit

import "github.com/cespare/xxhash/v2"

// View is the set of instances among which places are divided. It is
// immutable.
type View struct {
	// members are the hashes of the identifiers, in the view's order.
	members []uint64
	// self is the index of this instance in members, or -1.
	self int
}

// NewView returns the view of instances as seen by self. An instance outside
// the view has no share of anything.
func NewView(instances []string, self string) View {
	v := View{members: make([]uint64, len(instances)), self: -1}
	for i, id := range instances {
		v.members[i] = xxhash.Sum64String(id)
		if id == self {
			v.self = i
		}
	}
	return v
}

// Len returns the number of instances.
func (v View) Len() int { return len(v.members) }

// changes returns how many members v and w do not share.
func (v View) changes(w View) int {
	in := make(map[uint64]bool, len(v.members))
	for _, m := range v.members {
		in[m] = true
	}
	common := 0
	for _, m := range w.members {
		if in[m] {
			common++
		}
	}
	return len(v.members) + len(w.members) - 2*common
}

// Share returns how many of the runner's slots belong to this instance. Over
// the instances of one view the shares add up to slots exactly: each has the
// whole part, and the remainder goes to the instances that rank first by
// rendezvous hashing, so that one change of the view moves few places.
func (v View) Share(runner string, slots int) int {
	if v.self < 0 || slots <= 0 {
		return 0
	}
	n := len(v.members)
	share := slots / n
	if v.rank(xxhash.Sum64String(runner), slots%n) < slots%n {
		share++
	}
	return share
}

// rank returns how many members come before self, counting no further than
// enough.
func (v View) rank(runner uint64, enough int) int {
	own := mix(v.members[v.self] ^ runner)
	rank := 0
	for i, m := range v.members {
		if rank >= enough {
			return rank
		}
		score := mix(m ^ runner)
		if score > own || (score == own && i < v.self) {
			rank++
		}
	}
	return rank
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
