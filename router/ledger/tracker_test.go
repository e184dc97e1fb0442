package ledger

import (
	"testing"
	"time"

	"cicadawell.dev/router/roster/viewlease"
	"github.com/matryer/is"
)

// TestHandoverOfASlotThatMovedAgainIsForwarded moves a slot from a to b to c
// before the handover from a arrives at b, which has to forward it to c.
func TestHandoverOfASlotThatMovedAgainIsForwarded(t *testing.T) {
	is := is.New(t)
	a, b, c := viewlease.Member{ID: "a"}, viewlease.Member{ID: "b"}, viewlease.Member{ID: "c"}
	second := viewlease.View{Epoch: 2, Members: []viewlease.Member{a, b}, Prior: []viewlease.Member{a}}
	third := viewlease.View{Epoch: 3, Members: []viewlease.Member{a, b, c}, Prior: []viewlease.Member{a, b}}
	safeAfter := time.Unix(1000, 0)
	gained, moved := safeAfterBySlot{}, 0
	for slot := range viewlease.Slot(viewlease.Slots) {
		if home, _ := viewlease.HomeOf(second.Members, slot); home != b {
			continue
		}
		gained[slot] = safeAfter
		if home, _ := viewlease.HomeOf(third.Members, slot); home == c {
			moved++
		}
	}
	is.True(moved > 0)

	tracker := newSlotTracker(time.Second, time.Second)
	tracker.advance(viewlease.State{Self: b, View: second})
	tracker.advance(viewlease.State{Self: b, View: third})
	is.Equal(len(tracker.takeOutgoing()), 0) // the handover has not arrived yet
	tracker.receiveHandover(handoverID{2, a}, gained)
	outgoing := tracker.takeOutgoing()
	is.Equal(len(outgoing), 1)
	is.Equal(outgoing[0].epoch, uint64(3))
	is.Equal(len(outgoing[0].slots[c]), moved)
	for _, got := range outgoing[0].slots[c] {
		is.Equal(got, safeAfter)
	}
	tracker.receiveHandover(handoverID{2, a}, gained)
	is.Equal(len(tracker.takeOutgoing()), 0) // a duplicate is not forwarded again
}

// TestHandoversOfAMissedViewAreApplied adds an instance in a view that it
// never sees, since the next view follows at once. It must still apply or
// forward the handovers of that view.
func TestHandoversOfAMissedViewAreApplied(t *testing.T) {
	is := is.New(t)
	a, b, c := viewlease.Member{ID: "a"}, viewlease.Member{ID: "b"}, viewlease.Member{ID: "c"}
	first := viewlease.View{Epoch: 1, Members: []viewlease.Member{a}}
	joined := []viewlease.Member{a, b}
	third := viewlease.View{Epoch: 3, Members: []viewlease.Member{a, b, c}, Prior: joined}
	now := time.Unix(1000, 0)
	gained, kept, moved := safeAfterBySlot{}, 0, 0
	for slot := range viewlease.Slot(viewlease.Slots) {
		if home, _ := viewlease.HomeOf(joined, slot); home != b {
			continue
		}
		gained[slot] = time.Time{}
		if home, _ := viewlease.HomeOf(third.Members, slot); home == b {
			kept++
		} else {
			moved++
		}
	}

	tracker := newSlotTracker(time.Second, time.Second)
	tracker.advance(viewlease.State{Self: b, View: first, Effective: true})
	tracker.advance(viewlease.State{Self: b, View: third, Effective: true, EffectiveAt: now})
	tracker.receiveHandover(handoverID{2, a}, gained)
	served := 0
	for slot := range gained {
		if tracker.checkNotRunElsewhere(slot, now, now) == nil {
			served++
		}
	}
	is.Equal(served, kept) // the slots that stayed are served at once
	outgoing := tracker.takeOutgoing()
	is.Equal(len(outgoing), 1)
	is.Equal(len(outgoing[0].slots[c]), moved) // the others are forwarded
}
