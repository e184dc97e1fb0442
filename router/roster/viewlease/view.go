// Package viewlease implements the membership protocol of one member: it decides
// which view is agreed and how long the member may act in it. A member may act
// only while it has a lease on the view's epoch; the package is named after this
// right. The lease is renewed by store reads and, for a limited time
// after a read, by promises of a majority.
// The package does no I/O and has no clock of its own: callers pass in the time
// of each event.
package viewlease

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of an instance. A restarted instance is another
// member.
type Member struct {
	ID string `json:"id"`
	// Incarnation differs between any two starts of an instance.
	Incarnation string `json:"incarnation"`
}

// View is the agreed set of members at one epoch, as stored. It is immutable.
type View struct {
	// Epoch increases by one with each change of the members. Zero means that
	// there is no view.
	Epoch uint64 `json:"epoch"`
	// Members are in ascending order of their identifiers.
	Members []Member `json:"members"`
	// Prior are the members of the epoch before.
	Prior []Member `json:"prior"`
	// Effective is true once the view is known to be in effect: no member can
	// act in an older one any more. It never becomes false again.
	Effective bool `json:"settled"`
}

// WithMembers returns the view of the next epoch with these members. It is not
// yet in effect.
func (v View) WithMembers(members []Member) View {
	next := slices.Clone(members)
	slices.SortFunc(next, compareMembers)
	return View{Epoch: v.Epoch + 1, Members: next, Prior: v.Members}
}

// WithEffective returns the view marked as in effect.
func (v View) WithEffective() View {
	v.Effective = true
	return v
}

// Has reports whether m is a member.
func (v View) Has(m Member) bool { return slices.Contains(v.Members, m) }

func compareMembers(a, b Member) int {
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// majoritySize returns the size of the smallest majority of n members.
func majoritySize(n int) int { return n/2 + 1 }

// blockingSize returns the least number of the n members without which the
// others are no majority.
func blockingSize(n int) int { return n - majoritySize(n) + 1 }

// Slots is the number of slots into which the key space is divided.
const Slots = 1024

// Slot is one partition of the key space. All keys of a slot have one home.
type Slot uint16

// SlotOf returns the slot of a team's key.
func SlotOf(team, key string) Slot {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return Slot(d.Sum64() % Slots)
}

// HomeOf returns which of the members is the home of a slot, by rendezvous
// hashing over their identifiers. ok is false if there are no members.
func HomeOf(members []Member, s Slot) (home Member, ok bool) {
	var best uint64
	for _, m := range members {
		if weight := rendezvousWeight(m.ID, s); !ok || weight > best {
			home, best, ok = m, weight, true
		}
	}
	return home, ok
}

func rendezvousWeight(id string, s Slot) uint64 {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], uint16(s))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
