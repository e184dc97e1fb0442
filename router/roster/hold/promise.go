package hold

import (
	"slices"
	"time"
)

// Ask asks another member to promise that it will not acknowledge the epoch
// after Epoch for the length of a hold.
type Ask struct {
	From Member `json:"from"`
	// Round numbers the asker's rounds.
	Round uint64 `json:"round"`
	// Epoch is the newest that the asker knows, and Settled tells whether
	// it knows it to be in effect.
	Epoch   uint64 `json:"epoch"`
	Settled bool   `json:"settled,omitempty"`
	// View goes along while some member may not know it.
	View *View `json:"view,omitempty"`
}

// Reply answers an Ask.
type Reply struct {
	From  Member `json:"from"`
	Round uint64 `json:"round"`
	// Epoch is the newest that the replier knows, and Settled tells whether
	// it knows it to be in effect.
	Epoch   uint64 `json:"epoch"`
	Settled bool   `json:"settled,omitempty"`
	// Promised is true when the promise was given, at the asked epoch.
	Promised bool `json:"promised,omitempty"`
	// Acked is true when the replier was a member of the epoch before Epoch
	// and will neither act nor promise in it any more, and all promises
	// that it gave in it have run out. Released is true when it was a
	// member of it and will not act in it any more.
	Acked    bool `json:"acked,omitempty"`
	Released bool `json:"released,omitempty"`
	// ReadAge is the time since a store read began that showed Epoch; nil
	// where the replier knows of none.
	ReadAge *time.Duration `json:"readAge,omitempty"`
	// View is the view of Epoch where the asker knew only an older one.
	View *View `json:"view,omitempty"`
}

// round is one turn of asking the other members.
type round struct {
	number uint64
	// epoch is that of the promises asked for; zero voids the round.
	epoch uint64
	start time.Time
	// promised are those who gave their promise, this member included.
	promised set[Member]
}

func (m *machine) Round(now time.Time) (Ask, []Member) {
	m.advance(now)
	m.round = round{number: m.round.number + 1, epoch: m.view.Epoch, start: now}
	m.promiseSelf()
	ask := Ask{From: m.self, Round: m.round.number, Epoch: m.view.Epoch, Settled: m.effective}
	if !m.effective {
		v := m.view
		ask.View = &v
	}
	m.renewByPromises()
	return ask, m.targets()
}

// promiseSelf counts this member among those that promised. It gives its hold
// up before it acknowledges the next epoch, and so needs no time for itself.
func (m *machine) promiseSelf() {
	if m.view.Has(m.self) {
		m.round.promised.add(m.self)
	}
}

// targets returns the other members of the view, and those of the one before
// until the view is in effect. An instance outside of both asks nobody.
func (m *machine) targets() []Member {
	all := slices.Clone(m.view.Members)
	if !m.effective {
		all = append(all, m.view.Prior...)
	}
	if !slices.Contains(all, m.self) {
		return nil
	}
	slices.SortFunc(all, compareMembers)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(other Member) bool { return other == m.self })
}

func (m *machine) Asked(now time.Time, a Ask) Reply {
	if a.View != nil {
		m.learn(now, *a.View)
	}
	if a.Settled && a.Epoch == m.view.Epoch && !m.effective {
		m.settle(now)
	}
	m.advance(now)
	r := Reply{From: m.self, Round: a.Round, Epoch: m.view.Epoch, Settled: m.effective}
	if m.mayPromise(a) {
		r.Promised = true
		m.promised = later(m.promised, now.Add(m.timing.Stretch(m.timing.Hold)))
	}
	if !m.effective {
		r.Acked = m.acked.has(m.self)
		r.Released = m.released.has(m.self)
	}
	if !m.read.IsZero() {
		age := elapsed(m.read, now)
		r.ReadAge = &age
	}
	if m.view.Epoch > a.Epoch {
		v := m.view
		r.View = &v
	}
	return r
}

// mayPromise reports whether the asker and this member are members of the
// asked epoch, and no newer one is known here.
func (m *machine) mayPromise(a Ask) bool {
	return a.Epoch == m.view.Epoch && m.view.Has(m.self) && m.view.Has(a.From)
}

func (m *machine) Replied(now time.Time, r Reply) {
	m.heard[r.From] = now
	if r.View != nil {
		m.learn(now, *r.View)
	}
	if r.Epoch != m.view.Epoch {
		return
	}
	if r.Settled && !m.effective {
		m.settle(now)
	}
	m.countAck(r)
	if r.Round == m.round.number && m.round.epoch == m.view.Epoch {
		m.takePromise(r)
	}
	m.advance(now)
}

func (m *machine) countAck(r Reply) {
	if !slices.Contains(m.view.Prior, r.From) {
		return
	}
	if r.Acked {
		m.acked.add(r.From)
	}
	if r.Released {
		m.released.add(r.From)
	}
}

func (m *machine) takePromise(r Reply) {
	if r.ReadAge != nil {
		// The read began no earlier than its age before the round did.
		m.readAt(m.round.start.Add(-m.timing.Stretch(*r.ReadAge)))
	}
	if r.Promised && m.view.Has(r.From) {
		m.round.promised.add(r.From)
	}
	m.renewByPromises()
}

// renewByPromises renews the hold when a majority promised in this round and
// the last store read is recent enough.
func (m *machine) renewByPromises() {
	switch {
	case m.round.promised.len() < majorityOf(len(m.view.Members)):
	case m.read.IsZero():
	case elapsed(m.read, m.round.start) > m.timing.limit(len(m.view.Members)):
	default:
		m.renew(m.round.start)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
