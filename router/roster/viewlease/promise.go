package viewlease

import (
	"slices"
	"time"
)

// PromiseRequest requests a promise from another member not to acknowledge the epoch
// after Epoch for the duration of a lease.
type PromiseRequest struct {
	From Member `json:"from"`
	// Round is the number of the sender's round.
	Round uint64 `json:"round"`
	// Epoch is the newest epoch that the sender knows; Effective is true if
	// the sender knows it to be in effect.
	Epoch     uint64 `json:"epoch"`
	Effective bool   `json:"settled,omitempty"`
	// View is the view of Epoch. It is sent until the view is in effect,
	// because some members may not have it yet.
	View *View `json:"view,omitempty"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	From  Member `json:"from"`
	Round uint64 `json:"round"`
	// Epoch is the newest epoch that the replier knows; Effective is true
	// if the replier knows it to be in effect.
	Epoch     uint64 `json:"epoch"`
	Effective bool   `json:"settled,omitempty"`
	// Promised is true if the replier made the promise for the requested
	// epoch.
	Promised bool `json:"promised,omitempty"`
	// Released is true if the replier was a member of the epoch before
	// Epoch and will not act in it any more. Acked is true if, in addition,
	// it makes no more promises in that epoch and all promises that it made
	// there have expired.
	Acked    bool `json:"acked,omitempty"`
	Released bool `json:"released,omitempty"`
	// ReadAge is the time since the start of a store read that showed
	// Epoch; nil if the replier has no such read.
	ReadAge *time.Duration `json:"readAge,omitempty"`
	// View is the view of Epoch if the request had an older epoch.
	View *View `json:"view,omitempty"`
}

// round is one round of promise requests to the other members.
type round struct {
	number uint64
	// epoch is the epoch for which promises are requested; zero if the
	// round has become invalid.
	epoch uint64
	start time.Time
	// promised are the members that made the promise, including this one.
	promised set[Member]
}

func (m *machine) StartRound(now time.Time) (PromiseRequest, []Member) {
	m.advance(now)
	m.round = round{number: m.round.number + 1, epoch: m.view.Epoch, start: now}
	m.promiseSelf()
	ask := PromiseRequest{From: m.self, Round: m.round.number, Epoch: m.view.Epoch, Effective: m.effective}
	if !m.effective {
		v := m.view
		ask.View = &v
	}
	m.renewByMajority()
	return ask, m.targets()
}

// promiseSelf counts this member's own promise. The promise needs no expiry
// time, because the member gives up its lease before it acknowledges the next
// epoch.
func (m *machine) promiseSelf() {
	if m.view.Has(m.self) {
		m.round.promised.add(m.self)
	}
}

// targets returns the other members of the view and, until it is in effect,
// those of the prior view. An instance outside both sends no requests.
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

func (m *machine) HandleAsk(now time.Time, a PromiseRequest) PromiseReply {
	if a.View != nil {
		m.adoptView(now, *a.View)
	}
	if a.Effective && a.Epoch == m.view.Epoch && !m.effective {
		m.markEffective(now)
	}
	m.advance(now)
	r := PromiseReply{From: m.self, Round: a.Round, Epoch: m.view.Epoch, Effective: m.effective}
	if m.mayPromise(a) {
		r.Promised = true
		m.promisedUntil = later(m.promisedUntil, now.Add(m.timing.DriftAdjusted(m.timing.LeaseDuration)))
	}
	if !m.effective {
		r.Acked = m.acked.has(m.self)
		r.Released = m.released.has(m.self)
	}
	if !m.lastRead.IsZero() {
		age := elapsed(m.lastRead, now)
		r.ReadAge = &age
	}
	if m.view.Epoch > a.Epoch {
		v := m.view
		r.View = &v
	}
	return r
}

// mayPromise reports whether this member may make the requested promise: the
// epoch is the newest that it knows, and it and the sender are members of it.
func (m *machine) mayPromise(a PromiseRequest) bool {
	return a.Epoch == m.view.Epoch && m.view.Has(m.self) && m.view.Has(a.From)
}

func (m *machine) HandleReply(now time.Time, r PromiseReply) {
	m.lastReply[r.From] = now
	if r.View != nil {
		m.adoptView(now, *r.View)
	}
	if r.Epoch != m.view.Epoch {
		return
	}
	if r.Effective && !m.effective {
		m.markEffective(now)
	}
	m.recordAck(r)
	if r.Round == m.round.number && m.round.epoch == m.view.Epoch {
		m.recordPromise(r)
	}
	m.advance(now)
}

// recordAck records which prior members have released the prior epoch and
// acknowledged this one.
func (m *machine) recordAck(r PromiseReply) {
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

// recordPromise records a store read and a promise reported in a reply to the
// current round.
func (m *machine) recordPromise(r PromiseReply) {
	if r.ReadAge != nil {
		// The age was taken after the round started, so the read began
		// no earlier than that age before the start of the round.
		m.recordRead(m.round.start.Add(-m.timing.DriftAdjusted(*r.ReadAge)))
	}
	if r.Promised && m.view.Has(r.From) {
		m.round.promised.add(r.From)
	}
	m.renewByMajority()
}

// renewByMajority renews the lease if a majority has promised in this round and
// the last store read is recent enough.
func (m *machine) renewByMajority() {
	switch {
	case m.round.promised.len() < majoritySize(len(m.view.Members)):
	case m.lastRead.IsZero():
	case elapsed(m.lastRead, m.round.start) > m.timing.maxReadAge(len(m.view.Members)):
	default:
		m.renewLease(m.round.start)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
