// Package hold decides, for one member, what the agreed view is and for how
// long the member may act in it. It does no I/O and has no clock of its own:
// the times of all events are passed in.
package hold

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one life of an instance. A restarted instance is another member.
type Member struct {
	ID string `json:"id"`
	// Incarnation differs between any two starts of an instance.
	Incarnation string `json:"incarnation"`
}

// View is the agreed set of members at one epoch, as it stands in the store. It
// is immutable.
type View struct {
	// Epoch grows by one with each change of the members. Zero is no view.
	Epoch uint64 `json:"epoch"`
	// Members are in ascending order of their identifiers.
	Members []Member `json:"members"`
	// Prior are the members of the epoch before.
	Prior []Member `json:"prior"`
	// Settled is true when the view is known to be in effect: no member can
	// act in an older one any more. It never becomes false again.
	Settled bool `json:"settled"`
}

// WithMembers returns the view of the next epoch with these members.
func (v View) WithMembers(members []Member) View {
	next := slices.Clone(members)
	slices.SortFunc(next, compareMembers)
	return View{Epoch: v.Epoch + 1, Members: next, Prior: v.Members}
}

// WithSettled returns the view marked as in effect.
func (v View) WithSettled() View {
	v.Settled = true
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

// majorityOf returns how many of n members are more than half.
func majorityOf(n int) int { return n/2 + 1 }

// blockingOf returns how many of n members leave no majority without them.
func blockingOf(n int) int { return n - majorityOf(n) + 1 }

// Slots is the number of parts into which the keys are divided.
const Slots = 1024

// Slot is one part of the keys. All keys of a slot have one home.
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

// HomeOf returns the member among members that is home for a slot, by
// rendezvous hashing over their identifiers. ok is false without members.
func HomeOf(members []Member, s Slot) (home Member, ok bool) {
	var best uint64
	for _, m := range members {
		if weight := weigh(m.ID, s); !ok || weight > best {
			home, best, ok = m, weight, true
		}
	}
	return home, ok
}

func weigh(id string, s Slot) uint64 {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], uint16(s))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
