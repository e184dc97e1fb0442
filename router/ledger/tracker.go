package ledger

import (
	"maps"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/viewlease"
)

// Roster provides the membership view, which assigns each slot its home
// instance.
type Roster interface {
	// State returns this instance's newest view and its lease on it.
	State() viewlease.State
	// Subscribe adds a function that is called after each change of the
	// view.
	Subscribe(changed func())
}

// homeEpoch identifies an uninterrupted period in which this instance is home
// of a slot, by the epoch in which the period began. Zero means that it is not
// home.
type homeEpoch uint64

// slotState is what this instance knows about one slot.
type slotState struct {
	homeEpoch homeEpoch
	// safeAfter is a mint time: no other instance has run a key of the slot
	// that was minted later and is missing from the table. The zero time
	// covers all keys.
	safeAfter time.Time
	// notInEffect is true until the view that assigned the slot, or a later
	// one in which the slot stayed here, is in effect. Until then this
	// instance starts no calls of the slot.
	notInEffect bool
	// previous is the previous home, which hands the slot over. Until
	// handoverDeadline, keys that safeAfter does not cover are refused as
	// not run; afterwards their outcome is unknown unless the handover has
	// arrived.
	previous         viewlease.Member
	handoverDeadline time.Time
}

// slotTracker tracks the slots of which this instance is home, and for which of
// their keys it is certain that no other instance ran them. It follows the
// view.
type slotTracker struct {
	// skewMargin is how much later than EffectiveAt, by this instance's
	// clock, a key may be minted that the previous home ran. It covers the
	// skew of the caller and of both instances.
	skewMargin time.Duration
	// handoverWait is how long to wait for the handover of a slot.
	handoverWait time.Duration

	mu    sync.Mutex
	epoch uint64
	// members are the members of the view of epoch.
	members []viewlease.Member
	// effective is true once the view of epoch is known to be in effect.
	effective bool
	states    [viewlease.Slots]slotState
	// received are the handovers received for the current epoch and later,
	// and for the last few before it.
	received map[handoverID]safeAfterBySlot
	// outgoing are the handovers that this instance has to send and has not
	// started.
	outgoing []outgoingHandover
	// forwards are the slots that moved on to another home before their
	// handover arrived here. The handover is forwarded when it arrives.
	forwards map[handoverID]map[viewlease.Slot]nextHome
}

// nextHome is the member that a slot moved on to, and the epoch of the view
// that moved it.
type nextHome struct {
	epoch  uint64
	member viewlease.Member
}

// safeAfterBySlot maps each slot of a handover to its safeAfter at the sender.
type safeAfterBySlot map[viewlease.Slot]time.Time

// outgoingHandover holds the slots that this instance lost in one change of the
// view.
type outgoingHandover struct {
	epoch uint64
	// slots are the lost slots by their new home.
	slots map[viewlease.Member]safeAfterBySlot
}

func (t safeAfterBySlot) with(slot viewlease.Slot, safeAfter time.Time) safeAfterBySlot {
	if t == nil {
		t = make(safeAfterBySlot)
	}
	t[slot] = safeAfter
	return t
}

// maxMissedViews is how many views this instance may miss and still know that
// it stayed home of a slot: a view names the members of the one before it.
const maxMissedViews = 1

// handoverRetentionEpochs is for how many epochs a received handover is kept.
const handoverRetentionEpochs = 4

// handoverID names the sender of a handover and the change of the view that
// moved the slots. It is not unique: a member that forwards handovers sends them
// with the same identifier as the handover of its own slots. received keeps only
// the slots of the last one that arrived, and the first one that arrives deletes
// all forwards of its identifier, also those of slots that it lacks. Those slots
// keep the cautious safeAfter of takeEffect, unless it was replaced before.
type handoverID struct {
	epoch uint64
	from  viewlease.Member
}

func newSlotTracker(skewMargin, handoverWait time.Duration) *slotTracker {
	return &slotTracker{skewMargin: skewMargin, handoverWait: handoverWait, received: make(map[handoverID]safeAfterBySlot), forwards: make(map[handoverID]map[viewlease.Slot]nextHome)}
}

// advance applies the newest state of the roster.
func (t *slotTracker) advance(s viewlease.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceLocked(s)
}

func (t *slotTracker) advanceLocked(s viewlease.State) {
	if s.View.Epoch > t.epoch {
		t.applyView(s)
	}
	if s.View.Epoch == t.epoch && s.Effective && !t.effective {
		t.takeEffect(s)
	}
}

// applyView applies a view that is newer than the current one.
func (t *slotTracker) applyView(s viewlease.State) {
	withinMaxMissed := s.View.Epoch <= t.epoch+maxMissedViews+1
	moved := make(map[viewlease.Member]safeAfterBySlot)
	for slot := range viewlease.Slot(viewlease.Slots) {
		p := &t.states[slot]
		home, _ := viewlease.HomeOf(s.View.Members, slot)
		before, _ := viewlease.HomeOf(s.View.Prior, slot)
		if p.homeEpoch == 0 && before == s.Self {
			*p = t.stateFromMissedView(s, slot)
		}
		kept := p.homeEpoch != 0 && before == s.Self && withinMaxMissed
		switch {
		case home != s.Self:
			if safeAfter, ok := t.safeAfterOrQueueForward(s.View.Epoch, slot, home); kept && ok {
				moved[home] = moved[home].with(slot, safeAfter)
			}
			*p = slotState{}
		case kept:
		default:
			*p = slotState{homeEpoch: homeEpoch(s.View.Epoch), notInEffect: true, previous: before}
		}
	}
	if len(moved) > 0 {
		t.outgoing = append(t.outgoing, outgoingHandover{epoch: s.View.Epoch, slots: moved})
	}
	t.epoch = s.View.Epoch
	t.members = s.View.Members
	t.effective = false
	t.pruneHandovers()
}

// stateFromMissedView returns the state of a slot that this instance gained in
// the only view that it missed. It has not started to serve the slot, and the
// home in the view before that one hands it over.
func (t *slotTracker) stateFromMissedView(s viewlease.State, slot viewlease.Slot) slotState {
	if t.epoch == 0 || t.epoch+maxMissedViews+1 != s.View.Epoch {
		return slotState{}
	}
	sender, ok := viewlease.HomeOf(t.members, slot)
	if !ok || sender == s.Self {
		return slotState{}
	}
	return slotState{homeEpoch: homeEpoch(s.View.Epoch - 1), notInEffect: true, previous: sender}
}

// pruneHandovers deletes the handovers and forwards that are older than
// handoverRetentionEpochs.
func (t *slotTracker) pruneHandovers() {
	expired := func(id handoverID) bool { return id.epoch+handoverRetentionEpochs <= t.epoch }
	maps.DeleteFunc(t.received, func(id handoverID, _ safeAfterBySlot) bool { return expired(id) })
	maps.DeleteFunc(t.forwards, func(id handoverID, _ map[viewlease.Slot]nextHome) bool { return expired(id) })
}

// safeAfterOrQueueForward returns the safeAfter to hand over now for a slot that
// moves to successor. If this instance has not started to serve the slot, it has
// run none of its keys and passes on the safeAfter of the previous home. If the
// previous home's handover of the slot has not arrived, ok is false and the slot is
// queued in forwards until it arrives. ok is also false, and nothing is queued,
// if there is no successor or this instance was not home of the slot.
func (t *slotTracker) safeAfterOrQueueForward(epoch uint64, slot viewlease.Slot, successor viewlease.Member) (safeAfter time.Time, ok bool) {
	p := t.states[slot]
	if successor.ID == "" || p.homeEpoch == 0 {
		return time.Time{}, false
	}
	if !p.notInEffect {
		return p.safeAfter, true
	}
	id := handoverID{uint64(p.homeEpoch), p.previous}
	if safeAfter, ok := t.received[id][slot]; ok {
		return safeAfter, true
	}
	if t.forwards[id] == nil {
		t.forwards[id] = make(map[viewlease.Slot]nextHome)
	}
	t.forwards[id][slot] = nextHome{epoch, successor}
	return time.Time{}, false
}

// forward queues the slots of a handover that moved on before it arrived.
func (t *slotTracker) forward(id handoverID, slots safeAfterBySlot) {
	byEpoch := make(map[uint64]map[viewlease.Member]safeAfterBySlot)
	for slot, next := range t.forwards[id] {
		safeAfter, ok := slots[slot]
		if !ok {
			continue
		}
		if byEpoch[next.epoch] == nil {
			byEpoch[next.epoch] = make(map[viewlease.Member]safeAfterBySlot)
		}
		byEpoch[next.epoch][next.member] = byEpoch[next.epoch][next.member].with(slot, safeAfter)
	}
	for epoch, slots := range byEpoch {
		t.outgoing = append(t.outgoing, outgoingHandover{epoch: epoch, slots: slots})
	}
	delete(t.forwards, id)
}

// takeEffect starts to serve the slots gained in this view.
func (t *slotTracker) takeEffect(s viewlease.State) {
	t.effective = true
	for slot := range viewlease.Slot(viewlease.Slots) {
		p := &t.states[slot]
		if !p.notInEffect {
			continue
		}
		p.notInEffect = false
		if s.View.Epoch == 1 {
			continue // the first view: no previous home
		}
		p.safeAfter = s.EffectiveAt.Add(t.skewMargin)
		if p.previous.ID != "" && p.previous != s.Self {
			p.handoverDeadline = s.EffectiveAt.Add(t.handoverWait)
		}
		t.applyHandover(slot, p)
	}
}

// applyHandover applies the handover of a slot if it has arrived. The handover
// belongs to the view in which the slot's current homeEpoch began.
func (t *slotTracker) applyHandover(slot viewlease.Slot, p *slotState) {
	safeAfter, ok := t.received[handoverID{uint64(p.homeEpoch), p.previous}][slot]
	if ok {
		p.safeAfter = safeAfter
		p.handoverDeadline = time.Time{}
	}
}

// receiveHandover applies a complete handover.
func (t *slotTracker) receiveHandover(id handoverID, slots safeAfterBySlot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id.epoch+handoverRetentionEpochs <= t.epoch {
		return
	}
	t.received[id] = slots
	t.forward(id, slots)
	for slot := range slots {
		p := &t.states[slot]
		if p.homeEpoch == homeEpoch(id.epoch) && p.previous == id.from && !p.notInEffect {
			t.applyHandover(slot, p)
		}
	}
}

// takeOutgoing returns the handovers that have not been started, and clears the
// list.
func (t *slotTracker) takeOutgoing() []outgoingHandover {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.outgoing
	t.outgoing = nil
	return all
}

// homeEpochOf applies the state s and returns the current homeEpoch of a slot.
func (t *slotTracker) homeEpochOf(s viewlease.State, slot viewlease.Slot) homeEpoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceLocked(s)
	return t.states[slot].homeEpoch
}

// checkNotRunElsewhere returns nil if no other instance can have run a key of
// the slot that was minted at the given time and is missing from the table.
func (t *slotTracker) checkNotRunElsewhere(slot viewlease.Slot, minted, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.states[slot]
	switch {
	case p.homeEpoch == 0 || p.notInEffect:
		return fault.New(fault.HomeUnsettled, "the key's home is changing").WithRetryAfter(viewRetryAfter)
	case p.safeAfter.IsZero() || minted.After(p.safeAfter):
		return nil
	case now.Before(p.handoverDeadline):
		return fault.New(fault.HomeUnsettled, "the home before has not handed over yet").WithRetryAfter(viewRetryAfter)
	default:
		return fault.New(fault.OutcomeUnknown, "another instance may have run the key").WithField(fieldKey)
	}
}
