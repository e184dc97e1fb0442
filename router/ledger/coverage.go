package ledger

import (
	"maps"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/hold"
)

// Roster tells who is home.
type Roster interface {
	// State returns what this instance knows of the agreed view, and its
	// hold.
	State() hold.State
	// Subscribe sets a function that is called after each change of the
	// view.
	Subscribe(changed func())
}

// tenure is one unbroken time of being home for a slot, named by the epoch in
// which it began. Zero is not being home.
type tenure uint64

// part is what this instance knows of one slot.
type part struct {
	tenure tenure
	// from is the time after which a key must have been minted for this
	// instance to know that no other one ran it. The zero time vouches for
	// all keys.
	from time.Time
	// pending is true until the view that gave the slot is in effect.
	pending bool
	// previous is the home before, whose handover may still come until
	// awaited.
	previous hold.Member
	awaited  time.Time
}

// coverage tells for which keys this instance can vouch that no other one ran
// them. It follows the view.
type coverage struct {
	// margin covers the skew between the clocks of callers and instances.
	margin time.Duration
	// awaitFor is how long the handover of a slot is waited for.
	awaitFor time.Duration

	mu    sync.Mutex
	epoch uint64
	// members are those of the view of epoch.
	members []hold.Member
	// effective is true once the view of epoch is known to be in effect.
	effective bool
	parts     [hold.Slots]part
	// handed are the handovers received for the present epoch and later.
	handed map[handoverID]slotTimes
	// yields are what this instance has to hand over and has not begun to.
	yields []yield
	// relays are the slots that moved on before their handover came here: it
	// is passed on when it comes.
	relays map[handoverID]map[hold.Slot]relay
}

// relay says to whom a slot moved on, in the view of which epoch.
type relay struct {
	epoch uint64
	heir  hold.Member
}

// slotTimes has, for each slot, the time after which a key must have been
// minted for the giver to vouch for it.
type slotTimes map[hold.Slot]time.Time

// yield is what one change of the view took from this instance.
type yield struct {
	epoch uint64
	// slots are by the new home.
	slots map[hold.Member]slotTimes
}

func (t slotTimes) with(slot hold.Slot, from time.Time) slotTimes {
	if t == nil {
		t = make(slotTimes)
	}
	t[slot] = from
	return t
}

// maxSkip is how many views may be missed without losing a tenure: a view names
// the members of the one before.
const maxSkip = 1

// keptHandovers is for how many epochs a handover is kept.
const keptHandovers = 4

// handoverID names the handover of one member at one change of the view.
type handoverID struct {
	epoch uint64
	from  hold.Member
}

func newCoverage(margin, awaitFor time.Duration) *coverage {
	return &coverage{margin: margin, awaitFor: awaitFor, handed: make(map[handoverID]slotTimes), relays: make(map[handoverID]map[hold.Slot]relay)}
}

// advance takes in the newest state.
func (c *coverage) advance(s hold.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advanceLocked(s)
}

func (c *coverage) advanceLocked(s hold.State) {
	if s.View.Epoch > c.epoch {
		c.change(s)
	}
	if s.View.Epoch == c.epoch && s.Effective && !c.effective {
		c.takeEffect(s)
	}
}

// change moves on to a newer view.
func (c *coverage) change(s hold.State) {
	adjacent := s.View.Epoch <= c.epoch+maxSkip+1
	lost := make(map[hold.Member]slotTimes)
	for slot := range hold.Slot(hold.Slots) {
		p := &c.parts[slot]
		home, _ := hold.HomeOf(s.View.Members, slot)
		before, _ := hold.HomeOf(s.View.Prior, slot)
		if p.tenure == 0 && before == s.Self {
			*p = c.missed(s, slot)
		}
		kept := p.tenure != 0 && before == s.Self && adjacent
		switch {
		case home != s.Self:
			if from, ok := c.yielded(s.View.Epoch, slot, home); kept && ok {
				lost[home] = lost[home].with(slot, from)
			}
			*p = part{}
		case kept:
		default:
			*p = part{tenure: tenure(s.View.Epoch), pending: true, previous: before}
		}
	}
	if len(lost) > 0 {
		c.yields = append(c.yields, yield{epoch: s.View.Epoch, slots: lost})
	}
	c.epoch = s.View.Epoch
	c.members = s.View.Members
	c.effective = false
	c.forget()
}

// missed returns the part of a slot that this instance gained in the one view
// that it did not see: it has not begun to serve it, and the home of the view
// before that one hands it over.
func (c *coverage) missed(s hold.State, slot hold.Slot) part {
	if c.epoch == 0 || c.epoch+maxSkip+1 != s.View.Epoch {
		return part{}
	}
	giver, ok := hold.HomeOf(c.members, slot)
	if !ok || giver == s.Self {
		return part{}
	}
	return part{tenure: tenure(s.View.Epoch - 1), pending: true, previous: giver}
}

// forget drops the handovers and relays of views long past.
func (c *coverage) forget() {
	past := func(id handoverID) bool { return id.epoch+keptHandovers <= c.epoch }
	maps.DeleteFunc(c.handed, func(id handoverID, _ slotTimes) bool { return past(id) })
	maps.DeleteFunc(c.relays, func(id handoverID, _ map[hold.Slot]relay) bool { return past(id) })
}

// yielded returns the time from which this instance vouches for a slot that
// moves on to heir. A slot that it has not begun to serve it never ran a key of:
// it passes on what the home before hands over, now or when that comes.
func (c *coverage) yielded(epoch uint64, slot hold.Slot, heir hold.Member) (from time.Time, ok bool) {
	p := c.parts[slot]
	if heir.ID == "" || p.tenure == 0 {
		return time.Time{}, false
	}
	if !p.pending {
		return p.from, true
	}
	id := handoverID{uint64(p.tenure), p.previous}
	if from, ok := c.handed[id][slot]; ok {
		return from, true
	}
	if c.relays[id] == nil {
		c.relays[id] = make(map[hold.Slot]relay)
	}
	c.relays[id][slot] = relay{epoch, heir}
	return time.Time{}, false
}

// passOn yields the slots of a handover that moved on before it came.
func (c *coverage) passOn(id handoverID, slots slotTimes) {
	byEpoch := make(map[uint64]map[hold.Member]slotTimes)
	for slot, r := range c.relays[id] {
		from, ok := slots[slot]
		if !ok {
			continue
		}
		if byEpoch[r.epoch] == nil {
			byEpoch[r.epoch] = make(map[hold.Member]slotTimes)
		}
		byEpoch[r.epoch][r.heir] = byEpoch[r.epoch][r.heir].with(slot, from)
	}
	for epoch, slots := range byEpoch {
		c.yields = append(c.yields, yield{epoch: epoch, slots: slots})
	}
	delete(c.relays, id)
}

// takeEffect lets the slots gained in this view begin.
func (c *coverage) takeEffect(s hold.State) {
	c.effective = true
	for slot := range hold.Slot(hold.Slots) {
		p := &c.parts[slot]
		if !p.pending {
			continue
		}
		p.pending = false
		if s.View.Epoch == 1 {
			continue // nobody was home before
		}
		p.from = s.EffectiveAt.Add(c.margin)
		if p.previous.ID != "" && p.previous != s.Self {
			p.awaited = s.EffectiveAt.Add(c.awaitFor)
		}
		c.fulfil(slot, p)
	}
}

// fulfil applies the handover of a slot if it has come. The handover belongs to
// the view in which the present tenure began.
func (c *coverage) fulfil(slot hold.Slot, p *part) {
	from, ok := c.handed[handoverID{uint64(p.tenure), p.previous}][slot]
	if ok {
		p.from = from
		p.awaited = time.Time{}
	}
}

// receive takes in a complete handover.
func (c *coverage) receive(id handoverID, slots slotTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id.epoch+keptHandovers <= c.epoch {
		return
	}
	c.handed[id] = slots
	c.passOn(id, slots)
	for slot := range slots {
		p := &c.parts[slot]
		if p.tenure == tenure(id.epoch) && p.previous == id.from && !p.pending {
			c.fulfil(slot, p)
		}
	}
}

// drain returns the yields that have not been begun, and forgets them.
func (c *coverage) drain() []yield {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.yields
	c.yields = nil
	return all
}

// tenureOf returns the present tenure of a slot.
func (c *coverage) tenureOf(s hold.State, slot hold.Slot) tenure {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advanceLocked(s)
	return c.parts[slot].tenure
}

// vouch returns nil when no other instance can have run a key of the slot that
// was minted at this time.
func (c *coverage) vouch(slot hold.Slot, minted, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.parts[slot]
	switch {
	case p.tenure == 0 || p.pending:
		return fault.New(fault.HomeUnsettled, "the key's home is changing").WithRetryAfter(retryView)
	case p.from.IsZero() || minted.After(p.from):
		return nil
	case now.Before(p.awaited):
		return fault.New(fault.HomeUnsettled, "the home before has not handed over yet").WithRetryAfter(retryView)
	default:
		return fault.New(fault.OutcomeUnknown, "another instance may have run the key").WithField(fieldKey)
	}
}
