package viewlease

import (
	"maps"
	"time"
)

// Machine is the membership state machine of one member. It is not safe for
// concurrent use.
type Machine interface {
	// HandleRead processes the result of a store read that began at start and
	// ended at now.
	HandleRead(now, start time.Time, r ViewRead)
	// HandleWriteResult processes the result of a write that Propose returned.
	HandleWriteResult(now time.Time, w ViewWrite, r WriteResult)
	// SetRegistrations replaces the registrations last read from the store.
	SetRegistrations(now time.Time, registrations []Registration)

	// StartRound begins a round of promise requests, and returns the request
	// and its recipients. Replies to earlier rounds no longer renew the lease.
	StartRound(now time.Time) (PromiseRequest, []Member)
	// HandleAsk processes another member's request and returns the reply.
	HandleAsk(now time.Time, a PromiseRequest) PromiseReply
	// HandleReply processes the reply to a request.
	HandleReply(now time.Time, r PromiseReply)

	// Propose returns the next write to attempt, if there is one. It returns no
	// other write until HandleWriteResult has been called for this one.
	Propose(now time.Time) (ViewWrite, bool)
	// State returns a snapshot at the time now.
	State(now time.Time) State
}

// ViewRead is the result of reading the view from the store.
type ViewRead struct {
	// View is the zero view if the store has none.
	View View
	// Revision is the revision of the view's entry; zero if there is none.
	Revision uint64
}

// ViewWrite is a compare-and-swap of the view's entry.
type ViewWrite struct {
	View View
	// IfRevision is the revision that the entry must have; zero means that the
	// entry must not exist.
	IfRevision uint64
}

// WriteResult is the outcome of a write.
type WriteResult int

// The outcomes of a write.
const (
	// Written means that the write took effect.
	Written WriteResult = iota
	// Conflict means that the comparison failed, and nothing was written.
	Conflict
	// OutcomeUnknown means that no answer arrived: the write may have taken
	// effect or may still do so.
	OutcomeUnknown
)

// Registration is an instance registered in the store.
type Registration struct {
	Member Member
	// Leaving is true for an instance that asks to be removed from the view.
	Leaving bool
}

// New returns the machine of a member that has not yet learned of any view.
func New(self Member, t Timing) Machine {
	return &machine{self: self, timing: t, lastReply: make(map[Member]time.Time)}
}

type machine struct {
	self   Member
	timing Timing

	// view is the newest view known. Its epoch never decreases.
	view View
	// adoptedAt is when this member learned of view, which is after view was
	// written.
	adoptedAt time.Time
	// effective is true once no member can act in an epoch before view's.
	effective bool
	// effectiveAt is when effective became true.
	effectiveAt time.Time
	// revision is the revision of view's entry; zero if it has not been read.
	revision uint64
	// effectiveInStore is true once a read showed view marked as in effect.
	effectiveInStore bool
	// viewAbsent is true if the last read found no view in the store and this
	// member knows none.
	viewAbsent bool

	// leaseStart is the start of the call that last renewed the lease on
	// view's epoch; zero for none.
	leaseStart time.Time
	// lastRead is a time at or before the start of the latest known store read
	// that showed view's epoch; zero for none.
	lastRead time.Time

	// promisedUntil is the time before which this member has promised not to
	// acknowledge the epoch after view's; zero if it made no promise.
	promisedUntil time.Time
	// priorPromisedUntil is the time before which this member must not
	// acknowledge view's epoch, because of promises made in the prior epoch.
	priorPromisedUntil time.Time

	// acked and released are the members of view.Prior known to have
	// acknowledged view's epoch, and to have given up their leases on the
	// prior one.
	acked    set[Member]
	released set[Member]

	round round

	registrations      []Registration
	registrationsKnown bool
	// lastReply is the time of the last reply of each member.
	lastReply map[Member]time.Time
	// changeDueSince is the time since which the store's view needs a write;
	// zero if it needs none.
	changeDueSince time.Time
	// writePending is true from Propose to HandleWriteResult.
	writePending bool
}

// adoptView replaces the view if v has a newer epoch, and marks it as in
// effect if v of the same epoch is. It ignores older views. v may come from
// the store, a request, a reply or this member's own write.
func (m *machine) adoptView(now time.Time, v View) {
	if v.Epoch < m.view.Epoch || v.Epoch == 0 {
		return
	}
	if v.Epoch == m.view.Epoch {
		if v.Effective && !m.effective {
			m.markEffective(now)
		}
		return
	}
	m.priorPromisedUntil = time.Time{}
	if v.Epoch == m.view.Epoch+1 {
		m.priorPromisedUntil = m.promisedUntil
	}
	m.promisedUntil = time.Time{}
	m.view = v
	m.adoptedAt = now
	m.revision = 0
	m.effectiveInStore = false
	m.viewAbsent = false
	m.leaseStart = time.Time{}
	m.lastRead = time.Time{}
	m.acked = set[Member]{}
	m.released = set[Member]{}
	m.round.epoch = 0
	m.changeDueSince = time.Time{}
	m.effective = false
	maps.DeleteFunc(m.lastReply, func(other Member, _ time.Time) bool { return !v.Has(other) })
	if v.Effective || len(v.Prior) == 0 {
		m.markEffective(now)
	}
}

// markEffective records that view is in effect.
func (m *machine) markEffective(now time.Time) {
	m.effective = true
	m.effectiveAt = now
	m.view = m.view.WithEffective()
}

func (m *machine) HandleRead(now, start time.Time, r ViewRead) {
	if r.Revision == 0 {
		m.viewAbsent = m.view.Epoch == 0
		return
	}
	m.adoptView(now, r.View)
	if r.View.Epoch != m.view.Epoch {
		return
	}
	m.revision = max(m.revision, r.Revision)
	m.effectiveInStore = m.effectiveInStore || r.View.Effective
	m.recordRead(start)
	m.advance(now)
}

// recordRead records a store read that showed the epoch and began at or after
// t, and renews the lease from t.
func (m *machine) recordRead(t time.Time) {
	if t.After(m.lastRead) {
		m.lastRead = t
	}
	m.renewLease(t)
}

// renewLease extends the lease to LeaseDuration after t. Only a member of the
// view has a lease, and its start never moves back.
func (m *machine) renewLease(t time.Time) {
	if m.view.Has(m.self) && t.After(m.leaseStart) {
		m.leaseStart = t
	}
}

func (m *machine) SetRegistrations(_ time.Time, registrations []Registration) {
	m.registrations = registrations
	m.registrationsKnown = true
}
