// Package permit divides the slots of one runner among the instances of an agreed
// view. Each instance computes the same division without communication.
package permit

import "github.com/cespare/xxhash/v2"

// View is the set of instances among which slots are divided. It is immutable.
type View struct {
	// members holds the hashes of the instances' identifiers, in the view's order.
	members []uint64
	// self is the index of this instance in members, or -1 if it is not a member.
	self int
}

// NewView returns the view of instances as seen by self. An instance that is not
// in the view has no share of any runner.
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

// symmetricDifference returns the number of members that are in only one of v
// and w.
func (v View) symmetricDifference(w View) int {
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

// Share returns how many of the runner's slots belong to this instance. The
// shares of all instances of a view add up to slots exactly: each instance gets
// the integer quotient, and the remainder goes to the instances that rank first
// by rendezvous hashing, so that one change of the view moves few slots.
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

// rank returns how many members rank before self. It stops counting at limit.
func (v View) rank(runner uint64, limit int) int {
	own := mix(v.members[v.self] ^ runner)
	rank := 0
	for i, m := range v.members {
		if rank >= limit {
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
